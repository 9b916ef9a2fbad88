package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/epoch"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/limit"
	"github.com/bilberrylink/bilberrylink/membership"
)

// timeoutHeader carries a request's deadline as a Go duration.
const timeoutHeader = "X-Request-Timeout"

// server answers callers.
type server struct {
	epochs   epoch.View
	members  membership.View
	dispatch *dispatcher
	rates    *limit.RateLimiter
	metrics  *metrics
	gatherer prometheus.Gatherer
	log      *logrus.Logger
	draining atomic.Bool
}

// router returns the callers' routes. register adds the operators' ones.
func (s *server) router(register ...func(*mux.Router)) http.Handler {
	r := mux.NewRouter().UseEncodedPath().SkipClean(true)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc("/readyz", s.ready)
	r.Handle("/metrics", promhttp.HandlerFor(s.gatherer, promhttp.HandlerOpts{}))
	for _, f := range register {
		f(r)
	}
	r.HandleFunc("/v1/models", s.answer(s.models)).Methods(http.MethodGet)
	r.HandleFunc("/v1/chat/completions", s.answer(s.chat)).Methods(http.MethodPost)
	r.HandleFunc("/services/{service}/{path:.*}", s.answer(s.plain))
	r.NotFoundHandler = s.answer(func(http.ResponseWriter, *http.Request) error {
		return errkind.New(errkind.UnknownService, "no such path")
	})
	r.MethodNotAllowedHandler = s.answer(func(http.ResponseWriter, *http.Request) error {
		return errkind.New(errkind.MethodNotAllowed, "method not allowed on this path")
	})
	return r
}

func (s *server) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.draining.Load():
		writeError(w, errkind.New(errkind.Draining, "entry is stopping"))
	case s.epochs.Snapshot() == nil:
		writeError(w, errkind.New(errkind.NotReady, "no configuration is known yet"))
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// errAnswered means that the handler already told the caller of the failure.
type errAnswered struct{ kind errkind.Kind }

func (e errAnswered) Error() string { return "answered: " + string(e.kind) }

// answer turns a handler's error into the caller's answer and counts the result.
func (s *server) answer(h func(http.ResponseWriter, *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.metrics.inFlight.Inc()
		defer s.metrics.inFlight.Dec()
		err := h(w, r)
		var told errAnswered
		switch {
		case err == nil:
			s.metrics.requests.WithLabelValues("ok").Inc()
		case errors.As(err, &told):
			s.metrics.requests.WithLabelValues(string(told.kind)).Inc()
		default:
			s.metrics.requests.WithLabelValues(string(errkind.From(err).Kind)).Inc()
			writeError(w, err)
		}
	}
}

// writeError writes the body of an error; a failed write means that the caller is gone.
func writeError(w http.ResponseWriter, err error) {
	status, body := errkind.Response(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// identity is who sends a request, under which configuration.
type identity struct {
	snap      *fleet.Snapshot
	name      string
	workspace *fleet.Workspace
}

// identify authenticates the caller. The key is compared in constant time and never logged.
func (s *server) identify(r *http.Request) (identity, error) {
	snap := s.epochs.Snapshot()
	if snap == nil {
		return identity{}, errkind.New(errkind.NotReady, "no configuration is known yet")
	}
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	name, workspace, ok := snap.WorkspaceByKey(strings.TrimSpace(key))
	if !strings.EqualFold(scheme, "Bearer") || !ok || workspace == nil {
		return identity{}, errkind.New(errkind.Unauthorized, "missing or wrong key")
	}
	return identity{snap: snap, name: name, workspace: workspace}, nil
}

// allowed reports whether the workspace may use a service or model.
func (id identity) allowed(service string) bool {
	return len(id.workspace.Services) == 0 || slices.Contains(id.workspace.Services, service)
}

// open makes the request of an authenticated caller for a service or model.
func (s *server) open(id identity, asked string, hr *http.Request, arrived time.Time) (*request, error) {
	target, err := id.snap.Resolve(asked)
	if err != nil {
		return nil, err
	}
	if !id.allowed(asked) {
		return nil, errkind.New(errkind.Forbidden, "this workspace may not use "+asked)
	}
	timeout, err := timeoutOf(hr, target.Spec)
	if err != nil {
		return nil, err
	}
	weight := id.workspace.Weight
	if weight <= 0 {
		weight = 1
	}
	return &request{
		id:        newID(),
		workspace: id.name,
		weight:    weight,
		asked:     asked,
		snap:      id.snap,
		target:    target,
		arrived:   arrived,
		deadline:  arrived.Add(timeout),
	}, nil
}

func timeoutOf(hr *http.Request, spec *fleet.Service) (time.Duration, error) {
	normal, most := spec.Timeout, spec.MaxTimeout
	if normal <= 0 {
		normal = defaultTimeout
	}
	if most <= 0 {
		most = max(defaultMaxTimeout, normal)
	}
	values := hr.Header.Values(timeoutHeader)
	if len(values) == 0 {
		return min(normal, most), nil
	}
	d, err := time.ParseDuration(values[0])
	if err != nil || len(values) > 1 {
		return 0, errkind.New(errkind.InvalidDeadline, timeoutHeader+" must be one duration such as 30s")
	}
	if d <= 0 || d > most {
		return 0, errkind.New(errkind.InvalidDeadline, timeoutHeader+" must be positive and at most "+most.String())
	}
	return d, nil
}

// admit checks the freshness and the workspace's rate limits.
func (s *server) admit(id identity, r *request) error {
	if err := s.dispatch.fresh(r); err != nil {
		return err
	}
	share := limit.WorkspaceLimits{
		RequestsPerSecond: id.workspace.RequestsPerSecond,
		TokensPerSecond:   id.workspace.TokensPerSecond,
		Entries:           s.liveEntries(),
	}
	if !s.rates.Allow(id.name, share, int(r.promptTokens)) {
		return errkind.New(errkind.RateLimited, "rate limit of the workspace is reached")
	}
	return nil
}

func (s *server) liveEntries() int {
	live := 0
	for _, n := range s.members.Entries() {
		if n.Live && !n.Leaving {
			live++
		}
	}
	return max(live, 1)
}

// writeGrace lets the error answer of a request leave that was refused or failed at its deadline. Without it a deadline
// of a few milliseconds closes the connection without an answer.
const writeGrace = 250 * time.Millisecond

// boundWrite limits the writes to the deadline: a caller that does not read cannot hold the connection longer.
func boundWrite(w http.ResponseWriter, deadline time.Time) {
	_ = http.NewResponseController(w).SetWriteDeadline(deadline.Add(writeGrace)) // unsupported only by test recorders
}

// readBody reads a request's body until the deadline. The read deadline must not outlive the body: net/http reads on to
// notice a disconnect, and would take an expired deadline for one.
func readBody(w http.ResponseWriter, hr *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	if hr.ContentLength == 0 {
		return nil, nil
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(deadline) // unsupported only by test recorders
	data, err := io.ReadAll(http.MaxBytesReader(w, hr.Body, limit))
	_ = rc.SetReadDeadline(time.Time{}) // likewise
	if err != nil {
		return nil, bodyError(err)
	}
	return data, nil
}

// maxBody returns the largest body that the configuration allows.
func maxBody(snap *fleet.Snapshot) int64 {
	if n := snap.Text.Settings.MaxBodyBytes; n > 0 {
		return n
	}
	return fleet.DefaultMaxBodyBytes
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errkind.New(errkind.BodyTooLarge, "body is larger than the limit")
	}
	return errkind.New(errkind.InvalidRequest, "body could not be read")
}

// modelList is the answer of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models lists the services and models that the workspace may ask for and that are not recalled.
func (s *server) models(w http.ResponseWriter, r *http.Request) error {
	id, err := s.identify(r)
	if err != nil {
		return err
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range chatNames(id.snap.Text) {
		target, err := id.snap.Resolve(name)
		if err == nil && target.Spec.Kind != fleet.KindPlain && id.allowed(name) {
			list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: owner(target.Version)})
		}
	}
	return writeJSON(w, list)
}

func chatNames(text *fleet.Text) []string {
	var names []string
	for name := range text.Services {
		names = append(names, name)
	}
	for name := range text.Models {
		if text.Services[name] == nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func owner(v endpoint.Version) string { return v.Model + "@" + v.Version }

func writeJSON(w http.ResponseWriter, v any) error {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return errAnswered{kind: errkind.Canceled}
	}
	return nil
}

// serve runs a request under the caller's connection.
func (s *server) serve(ctx context.Context, r *request) error {
	err := s.dispatch.run(ctx, r)
	if r.isChat() {
		s.rates.ChargeTokens(r.workspace, len(r.tokens))
	}
	return err
}
