package dev

import (
	"bytes"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"go.uber.org/fx"

	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/internal/standin"
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

// A limit on the number of engines must leave each model at least one.
func TestFleetStartsEnginesOfEveryModel(t *testing.T) {
	f, err := New(Options{Text: []byte(testText), Engines: 4, OnlyStandins: true})
	require.NoError(t, err)
	defer f.platform.Close()
	require.Equal(t, []string{"large-1", "large-2", "large-3", "small-1"}, f.engines)
	require.Equal(t, []string{"order-01", "order-02", "order-03"}, f.services)
	s, err := parseText(f.configText)
	require.NoError(t, err)
	name, _, ok := s.WorkspaceByKey(CallerKey)
	require.True(t, ok)
	require.Equal(t, callerWorkspace, name)
	require.Contains(t, s.Text.Workspaces, "other")
}

func TestOnlyStandinsServesControls(t *testing.T) {
	var out bytes.Buffer
	f, err := New(Options{Text: []byte(testText), StandinListen: "127.0.0.1:0", OnlyStandins: true, Out: &out, Log: logrus.New()})
	require.NoError(t, err)
	defer f.Stop()
	require.NoError(t, f.Start(t.Context()))
	require.Contains(t, out.String(), f.opts.StandinListen)
	resp, err := http.Get("http://" + f.opts.StandinListen + "/faults")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

// fakeEntry accepts a text submitted with the operator's token and reports ready once it has accepted one.
func fakeEntry(accepted *atomic.Int32) func(EntryConfig) fx.Option {
	return func(c EntryConfig) fx.Option {
		mux := http.NewServeMux()
		mux.HandleFunc("PUT /v1/fleet", func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Authorization") != "Bearer "+OperatorToken || OperatorName+"="+fleet.Hash([]byte(OperatorToken)) != c.OperatorTokenHashes[0] {
				w.WriteHeader(http.StatusUnauthorized)
				return
			}
			accepted.Add(1)
		})
		mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
			if accepted.Load() == 0 {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		})
		server := &http.Server{Handler: mux}
		return fx.Invoke(func(lc fx.Lifecycle) {
			lc.Append(fx.StartStopHook(func() error {
				l, err := net.Listen("tcp", c.CallerListenAddr)
				if err == nil {
					go func() { _ = server.Serve(l) }()
				}
				return err
			}, server.Close))
		})
	}
}

// Each endpoint must get an agent with an address of its own, and the text must be accepted exactly once before the fleet
// is ready.
func TestStartConnectsDaemons(t *testing.T) {
	var accepted atomic.Int32
	agents := make(map[string]AgentConfig)
	snapshot, faults := fleet.NewSnapshot(1, []byte(testText))
	require.Empty(t, faults)
	addr, err := freeAddr()
	require.NoError(t, err)
	var out bytes.Buffer
	f, err := New(Options{Text: []byte(testText), Listen: []string{addr}, StandinListen: "127.0.0.1:0", Engines: 4,
		Out: &out, Log: logrus.New(), Daemons: Daemons{
			Entry: fakeEntry(&accepted),
			Agent: func(c AgentConfig) fx.Option {
				agents[c.Endpoint] = c
				if e, ok := c.Engine.(*standin.Engine); ok {
					for _, v := range snapshot.AssignedVersions(c.Endpoint) {
						e.Load(v)
					}
				}
				return fx.Options()
			},
		}})
	require.NoError(t, err)
	defer f.Stop()
	require.NoError(t, f.Start(t.Context()))
	require.EqualValues(t, 1, accepted.Load())
	require.Contains(t, out.String(), addr)
	require.Len(t, agents, 7)
	seen := make(map[string]bool)
	for name, c := range agents {
		require.NotEqual(t, c.Engine == nil, c.Service == nil, name)
		require.False(t, seen[c.Node.Listen], "two agents share an address")
		seen[c.Node.Listen] = true
		require.Len(t, c.Seeds, 1)
	}
}
