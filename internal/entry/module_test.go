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

	"github.com/bilberrylink/bilberrylink/membership"
	"github.com/bilberrylink/bilberrylink/wire"
)

// moduleOptions returns the options of a daemon with fake components and one route of the operators' API.
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

// Guards against a planned stop that cuts streams off, or that refuses requests before load balancers have noticed it.
func TestStopFinishesStreamsAndAcceptsDuringBalancerLag(t *testing.T) {
	release := make(chan struct{})
	f := newFleet(t, func(_ *fakeAgent, r *wire.RunRequest, out *frameWriter) {
		out.started().tokens(0, "a")
		if strings.Contains(r.GetModel().GetPrompt(), "leak") {
			<-release
		}
		out.tokens(1, "b").end()
	})
	epochs := new(fakeEpochs)
	epochs.set(t, 1, "")
	d, err := newDaemon(moduleOptions(f, epochs, 200*time.Millisecond), Timing{}, Disabled{})
	require.NoError(t, err)
	require.NoError(t, d.start(t.Context()))
	e := &testEntry{url: "http://" + d.callerListener.Addr().String()}
	assert.Equal(t, http.StatusOK, e.do(t, http.MethodGet, "/readyz", "").status)
	assert.Equal(t, "text", e.do(t, http.MethodGet, "/v1/fleet", "").body)
	assert.Contains(t, e.do(t, http.MethodGet, "/metrics", "").body, "bilberry_entry_requests_in_flight")

	answer := make(chan reply, 1)
	go func() { answer <- e.chat(t, streamingChatBody) }()
	require.Eventually(t, func() bool { runs, _ := f.totalCounts(); return runs == 1 }, time.Second, time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- d.stop(context.Background()) }()
	require.Eventually(t, d.server.draining.Load, time.Second, time.Millisecond)
	assert.Equal(t, http.StatusServiceUnavailable, e.do(t, http.MethodGet, "/readyz", "").status)
	assert.Equal(t, http.StatusOK, e.chat(t, strings.Replace(chatBody, "leak", "last", 1)).status, "accepted during the lag")
	time.Sleep(300 * time.Millisecond) // past the lag, with one stream open
	assert.Empty(t, stopped)
	close(release)
	assert.Contains(t, (<-answer).body, "[DONE]")
	assert.NoError(t, <-stopped)
}

// Guards against a process that serves requests before it knows a configuration.
func TestUnknownConfigurationIsNotReady(t *testing.T) {
	d, err := newDaemon(moduleOptions(newFleet(t, answerTokens), new(fakeEpochs), time.Millisecond), Timing{}, Disabled{})
	require.NoError(t, err)
	require.NoError(t, d.start(t.Context()))
	e := &testEntry{url: "http://" + d.callerListener.Addr().String()}
	assert.Equal(t, http.StatusOK, e.do(t, http.MethodGet, "/healthz", "").status)
	assert.Contains(t, e.do(t, http.MethodGet, "/readyz", "").body, `"kind":"not_ready"`)
	assert.Contains(t, e.chat(t, chatBody).body, `"kind":"not_ready"`)
	assert.NoError(t, d.stop(t.Context()))
}

// Guards against an entry that says it is ready, so that the next one is restarted, before it has heard of the endpoints that it needs and
// before its configuration is confirmed.
func TestEntryIsReadyWhenItKnowsWhatItNeeds(t *testing.T) {
	epochs := new(fakeEpochs)
	epochs.set(t, 1, "")
	f := newFleet(t, answerTokens)
	d, err := newDaemon(moduleOptions(f, epochs, time.Millisecond), Timing{}, Disabled{})
	require.NoError(t, err)
	require.NoError(t, d.start(t.Context()))
	e := &testEntry{url: "http://" + d.callerListener.Addr().String()}
	ready := func() int { return e.do(t, http.MethodGet, "/readyz", "").status }
	setLive := func(live bool, prefix string) {
		for name := range f.agents {
			if strings.HasPrefix(name, prefix) {
				f.members.update(name, func(n *membership.Node) { n.Live = live })
			}
		}
	}
	epochs.stale.Store(true)
	assert.Equal(t, http.StatusServiceUnavailable, ready())
	epochs.stale.Store(false)
	setLive(false, "order-")
	assert.Equal(t, http.StatusServiceUnavailable, ready())
	setLive(true, "order-")
	assert.Equal(t, http.StatusOK, ready())
	setLive(false, "")
	assert.Equal(t, http.StatusOK, ready(), "it has served; the endpoints are away for all entries")
	assert.NoError(t, d.stop(t.Context()))
}

// Guards against a module whose dependencies are incomplete, and against one that hides why it cannot start.
func TestModuleStarts(t *testing.T) {
	epochs := new(fakeEpochs)
	epochs.set(t, 1, "")
	app := fxtest.New(t, Module(moduleOptions(newFleet(t, answerTokens), epochs, time.Millisecond)))
	app.RequireStart().RequireStop()
	opts := moduleOptions(nil, nil, 0)
	opts.NewComponents = func(ComponentParams) (Components, error) { return Components{}, errors.New("no table") }
	assert.ErrorContains(t, fx.New(Module(opts), fx.NopLogger).Err(), "no table")
	opts.Policy = "guess"
	assert.ErrorContains(t, fx.New(Module(opts), fx.NopLogger).Err(), "guess")
}

// A request that is still open at the end of the drain must get an answer that tells whether it may have run, not a closed connection.
func TestRequestsThatOutliveTheDrainAreAnswered(t *testing.T) {
	f := newFleet(t, func(_ *fakeAgent, _ *wire.RunRequest, out *frameWriter) { <-out.ctx.Done() })
	epochs := new(fakeEpochs)
	epochs.set(t, 1, "")
	opts := moduleOptions(f, epochs, time.Millisecond)
	opts.DrainTimeout = 600 * time.Millisecond
	d, err := newDaemon(opts, Timing{}, Disabled{})
	require.NoError(t, err)
	require.NoError(t, d.start(t.Context()))
	e := &testEntry{url: "http://" + d.callerListener.Addr().String()}
	answer := make(chan reply, 1)
	go func() { answer <- e.chat(t, chatBody) }()
	require.Eventually(t, func() bool { runs, _ := f.totalCounts(); return runs == 1 }, time.Second, time.Millisecond)
	assert.NoError(t, d.stop(t.Context()))
	got := <-answer
	assert.Contains(t, got.body, `"kind":"draining"`)
	assert.Contains(t, got.body, `"run":"unknown"`)
}
