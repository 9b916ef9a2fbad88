package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/fx"
	"go.uber.org/fx/fxtest"

	"github.com/bilberrylink/bilberrylink/wire"
)

// moduleOptions are the options of a daemon over fakes, with a route of the operators' interface.
func moduleOptions(f *fakeFleet, epochs *fakeEpochs, lag time.Duration) Options {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return Options{CallerListenAddr: "127.0.0.1:0", Log: log, BalancerLag: lag, DrainTimeout: 5 * time.Second,
		NewComponents: func(ComponentParams) (Components, error) {
			operators := func(r *mux.Router) {
				r.HandleFunc("/v1/fleet", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "text") })
			}
			return Components{Epochs: epochs, Members: f.members, OperatorRoutes: []func(*mux.Router){operators}}, nil
		}}
}

// Guards against a planned stop that cuts off streams or refuses callers before the balancer has noticed.
func TestStopFinishesStreamsAndAcceptsDuringTheLag(t *testing.T) {
	release := make(chan struct{})
	f := newFleet(t, func(_ *fakeAgent, r *wire.RunRequest, out *frames) {
		out.started().tokens(0, "a")
		if strings.Contains(r.GetModel().GetPrompt(), "leak") {
			<-release
		}
		out.tokens(1, "b").end()
	})
	epochs := new(fakeEpochs)
	epochs.accept(t, 1, "")
	d, err := newDaemon(moduleOptions(f, epochs, 200*time.Millisecond), Timing{}, Disabled{})
	require.NoError(t, err)
	require.NoError(t, d.start(t.Context()))
	b := &bench{url: "http://" + d.listener.Addr().String()}
	assert.Equal(t, http.StatusOK, b.do(t, http.MethodGet, "/readyz", "").status)
	assert.Equal(t, "text", b.do(t, http.MethodGet, "/v1/fleet", "").body)
	assert.Contains(t, b.do(t, http.MethodGet, "/metrics", "").body, "bilberry_entry_requests_in_flight")

	answer := make(chan reply, 1)
	go func() { answer <- b.chat(t, streamChat) }()
	require.Eventually(t, func() bool { runs, _ := f.total(); return runs == 1 }, time.Second, time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- d.stop(context.Background()) }()
	require.Eventually(t, d.server.draining.Load, time.Second, time.Millisecond)
	assert.Equal(t, http.StatusServiceUnavailable, b.do(t, http.MethodGet, "/readyz", "").status)
	assert.Equal(t, http.StatusOK, b.chat(t, strings.Replace(plainChat, "leak", "last", 1)).status, "accepted during the lag")
	time.Sleep(300 * time.Millisecond) // past the lag, with one stream open
	assert.Empty(t, stopped)
	close(release)
	assert.Contains(t, (<-answer).body, "[DONE]")
	assert.NoError(t, <-stopped)
}

// Guards against a process that answers before it knows a configuration.
func TestUnknownConfigurationIsNotReady(t *testing.T) {
	d, err := newDaemon(moduleOptions(newFleet(t, serveTokens), new(fakeEpochs), time.Millisecond), Timing{}, Disabled{})
	require.NoError(t, err)
	require.NoError(t, d.start(t.Context()))
	b := &bench{url: "http://" + d.listener.Addr().String()}
	assert.Equal(t, http.StatusOK, b.do(t, http.MethodGet, "/healthz", "").status)
	assert.Contains(t, b.do(t, http.MethodGet, "/readyz", "").body, `"kind":"not_ready"`)
	assert.Contains(t, b.chat(t, plainChat).body, `"kind":"not_ready"`)
	assert.NoError(t, d.stop(t.Context()))
}

// Guards against a module that cannot be composed, or that hides why it cannot start.
func TestModuleComposes(t *testing.T) {
	epochs := new(fakeEpochs)
	epochs.accept(t, 1, "")
	app := fxtest.New(t, Module(moduleOptions(newFleet(t, serveTokens), epochs, time.Millisecond)))
	app.RequireStart().RequireStop()
	opts := moduleOptions(nil, nil, 0)
	opts.NewComponents = func(ComponentParams) (Components, error) { return Components{}, errors.New("no table") }
	assert.ErrorContains(t, fx.New(Module(opts), fx.NopLogger).Err(), "no table")
	opts.Policy = "guess"
	assert.ErrorContains(t, fx.New(Module(opts), fx.NopLogger).Err(), "guess")
}
