package gatewayd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/exchange"
	"github.com/bilberrylink/bilberrylink/gateway"
	"github.com/bilberrylink/bilberrylink/platform"
)

const settingsText = `
NodeName: entry-1
Zone: domain-1
Ip: 10.0.0.1
Listen: {Front: "10.0.0.1:1", Ready: "10.0.0.1:2"}
PortRange: [7000, 7010]
SeedNodes: ["10.0.0.2:9"]
Bounds: {GraceS: 8, RetryRatio: 0.2, BudgetWindowS: 10, RetrySlack: %s}
Provider: {Address: "%s:80"}
`

// A changed settings file must take effect as far as it can without a restart, one line must say what waits for the next start, and
// an invalid file must change nothing.
func TestChangedSettingsTakeEffect(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(slack, store string) {
		require.NoError(t, os.WriteFile(path, fmt.Appendf(nil, settingsText, slack, store), 0o600))
	}
	write("0", "10.0.0.9")
	current, err := platform.LoadSettings(path)
	require.NoError(t, err)
	var logged bytes.Buffer
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	log.SetOutput(&logged)
	d := &daemon{log: log, settings: current, opts: Options{SettingsPath: path}, exchange: exchange.New(exchange.Options{}),
		retryBudget: gateway.NewRetryBudget(current.RetryRatio, current.RetrySlack, current.RetryWindow, func() int { return 1 }, time.Now)}
	require.False(t, d.retryBudget.TryWithdraw("s"))

	write("x", "10.0.0.9")
	require.Equal(t, *current, d.reloadSettings(*current))
	require.False(t, d.retryBudget.TryWithdraw("s"))
	require.Contains(t, logged.String(), "invalid")

	logged.Reset()
	write("20", "10.0.0.8")
	inForce := d.reloadSettings(*current)
	require.Equal(t, 20.0, inForce.RetrySlack)
	require.Equal(t, current.StoreURL, inForce.StoreURL)
	require.True(t, d.retryBudget.TryWithdraw("s"))
	var line struct {
		Applied     []string `json:"applied"`
		AtNextStart []string `json:"at_next_start"`
	}
	require.NoError(t, json.Unmarshal(logged.Bytes(), &line))
	require.Equal(t, []string{"retry budget"}, line.Applied)
	require.Equal(t, []string{"store"}, line.AtNextStart)
}
