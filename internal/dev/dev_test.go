package dev

import (
	"bytes"
	"net/http"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

const testText = `
settings: {failure_domains: [north, south]}
services:
  orders: {kind: plain, endpoints: ["order-{01..03}"]}
models:
  large: {version: "1", endpoints: ["large-{1..9}"]}
  small: {version: "1", endpoints: ["small-1"]}
workspaces:
  other: {key_hashes: []}
`

// The limit on engines must leave every model at least one engine.
func TestFleetStartsEnginesOfEveryModel(t *testing.T) {
	f, err := New(Options{Text: []byte(testText), Engines: 4, OnlyStandins: true})
	require.NoError(t, err)
	defer f.platform.Close()
	require.Equal(t, []string{"large-1", "large-2", "large-3", "small-1"}, f.engines)
	require.Equal(t, []string{"order-01", "order-02", "order-03"}, f.services)
	s, err := snapshot(f.text)
	require.NoError(t, err)
	name, _, ok := s.WorkspaceByKey(CallerKey)
	require.True(t, ok)
	require.Equal(t, workspace, name)
	require.Contains(t, s.Text.Workspaces, "other")
}

func TestOnlyStandinsServesControls(t *testing.T) {
	var out bytes.Buffer
	f, err := New(Options{Text: []byte(testText), StandinListen: "127.0.0.1:0", OnlyStandins: true, Out: &out, Log: logrus.New()})
	require.NoError(t, err)
	defer f.Stop()
	require.NoError(t, f.Start(t.Context()))
	require.Contains(t, out.String(), f.o.StandinListen)
	resp, err := http.Get("http://" + f.o.StandinListen + "/faults")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	require.Equal(t, http.StatusOK, resp.StatusCode)
}
