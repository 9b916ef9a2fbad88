package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
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
	"github.com/bilberrylink/bilberrylink/intake"
	"github.com/bilberrylink/bilberrylink/internal/transport"
	"github.com/bilberrylink/bilberrylink/limit"
	"github.com/bilberrylink/bilberrylink/membership"
)

// timeoutHeader is the request header that carries the caller's timeout as a Go duration.
const timeoutHeader = "X-Request-Timeout"

// server implements the callers' HTTP API.
type server struct {
	epochs      epoch.View
	members     membership.View
	dispatch    *dispatcher
	rateLimiter *limit.RateLimiter
	metrics     *metrics
	gatherer    prometheus.Gatherer
	log         *logrus.Logger
	draining    atomic.Bool
	startedAt   time.Time
	settled     atomic.Bool // what the entry needs to serve has been known once
}

// maxSettleTime bounds the time after its start in which an entry waits to hear from endpoints before it says that it is ready: services
// whose endpoints are all away must not keep it from serving others.
const maxSettleTime = 10 * time.Second

// router returns the routes of the callers' API, extended by the register functions.
func (s *server) router(register ...func(*mux.Router)) http.Handler {
	r := mux.NewRouter().UseEncodedPath().SkipClean(true)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc("/readyz", s.handleReady)
	r.Handle("/metrics", promhttp.HandlerFor(s.gatherer, promhttp.HandlerOpts{}))
	for _, addRoutes := range register {
		addRoutes(r)
	}
	r.HandleFunc("/v1/models", s.handle(s.handleModels)).Methods(http.MethodGet)
	r.HandleFunc("/v1/chat/completions", s.handle(s.handleChat)).Methods(http.MethodPost)
	r.HandleFunc("/services/{service}/{path:.*}", s.handle(s.handleCall))
	r.NotFoundHandler = s.handle(func(http.ResponseWriter, *http.Request) error {
		return errkind.New(errkind.UnknownService, "no such path")
	})
	r.MethodNotAllowedHandler = s.handle(func(http.ResponseWriter, *http.Request) error {
		return errkind.New(errkind.MethodNotAllowed, "method not allowed on this path")
	})
	return r
}

func (s *server) handleReady(w http.ResponseWriter, _ *http.Request) {
	switch snap := s.epochs.Snapshot(); {
	case s.draining.Load():
		writeError(w, errkind.New(errkind.Draining, "entry is stopping"))
	case snap == nil:
		writeError(w, errkind.New(errkind.NotReady, "no configuration is known yet"))
	case !s.isSettled(snap):
		writeError(w, errkind.New(errkind.NotReady, "configuration is not confirmed, or no endpoint of a service is known yet"))
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// isSettled reports whether the entry has once had fresh evidence of its configuration and a live endpoint for each service. Before
// that it refuses requests that others can serve.
func (s *server) isSettled(snap *fleet.Snapshot) bool {
	if s.settled.Load() || time.Since(s.startedAt) > maxSettleTime {
		return true
	}
	if !s.epochs.Fresh() {
		return false
	}
	for name := range snap.Text.Services {
		target, err := snap.Resolve(name)
		if err == nil && len(target.Endpoints) > 0 && !slices.ContainsFunc(target.Endpoints, s.isLive) {
			return false
		}
	}
	s.settled.Store(true)
	return true
}

func (s *server) isLive(endpoint string) bool {
	n, ok := s.members.Endpoint(endpoint)
	return ok && n.Live && !n.Leaving
}

// handledError is returned by a handler that has sent the error itself or whose caller has disconnected: the request is
// counted, but no error response is written.
type handledError struct{ kind errkind.Kind }

func (e handledError) Error() string { return "answered: " + string(e.kind) }

// handle wraps a handler: it counts the request by result and writes the error response.
func (s *server) handle(handler func(http.ResponseWriter, *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.metrics.inFlight.Inc()
		defer s.metrics.inFlight.Dec()
		err := handler(w, r)
		var handled handledError
		switch {
		case err == nil:
			s.metrics.requests.WithLabelValues("ok").Inc()
		case errors.As(err, &handled):
			s.metrics.requests.WithLabelValues(string(handled.kind)).Inc()
		default:
			s.metrics.requests.WithLabelValues(string(errkind.From(err).Kind)).Inc()
			writeError(w, err)
			transport.DiscardBody(w, r)
		}
	}
}

// writeError writes an error response; a failed write means that the caller has disconnected.
func writeError(w http.ResponseWriter, err error) {
	status, body := errkind.Response(err)
	data, _ := json.Marshal(body) // strings and numbers always marshal
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// identity is an authenticated workspace and the configuration that it was authenticated with.
type identity struct {
	snap      *fleet.Snapshot
	name      string
	workspace *fleet.Workspace
}

// identify authenticates the caller by its bearer key, which is compared in constant time and never logged.
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
	intake.FromContext(r.Context()).SetWorkspace(name)
	return identity{snap: snap, name: name, workspace: workspace}, nil
}

// allowed reports whether the workspace may use a service or model.
func (caller identity) allowed(service string) bool {
	return len(caller.workspace.Services) == 0 || slices.Contains(caller.workspace.Services, service)
}

// newRequest returns a request of an authenticated caller for a service or model, with recalls and fallbacks resolved.
func (s *server) newRequest(caller identity, requestedName string, hr *http.Request, arrived time.Time) (*request, error) {
	target, err := caller.snap.Resolve(requestedName)
	if err != nil {
		return nil, err
	}
	if !caller.allowed(requestedName) {
		return nil, errkind.New(errkind.Forbidden, "this workspace may not use "+requestedName)
	}
	timeout, err := requestTimeout(hr, target.Spec)
	if err != nil {
		return nil, err
	}
	weight := caller.workspace.Weight
	if weight <= 0 {
		weight = 1
	}
	return &request{
		id:            newID(),
		workspace:     caller.name,
		weight:        weight,
		requestedName: requestedName,
		snap:          caller.snap,
		target:        target,
		arrived:       arrived,
		deadline:      arrived.Add(timeout),
	}, nil
}

func requestTimeout(hr *http.Request, spec *fleet.Service) (time.Duration, error) {
	timeout, maxTimeout := spec.Timeout, spec.MaxTimeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if maxTimeout <= 0 {
		maxTimeout = max(defaultMaxTimeout, timeout)
	}
	values := hr.Header.Values(timeoutHeader)
	if len(values) == 0 {
		return min(timeout, maxTimeout), nil
	}
	d, err := time.ParseDuration(values[0])
	if err != nil || len(values) > 1 {
		return 0, errkind.New(errkind.InvalidDeadline, timeoutHeader+" must be one duration such as 30s")
	}
	if d <= 0 || d > maxTimeout {
		return 0, errkind.New(errkind.InvalidDeadline, timeoutHeader+" must be positive and at most "+maxTimeout.String())
	}
	return d, nil
}

// admit checks that this entry may answer and that the workspace is within its rate limits.
func (s *server) admit(caller identity, r *request) error {
	if err := s.dispatch.checkFresh(r); err != nil {
		return err
	}
	limits := limit.WorkspaceLimits{
		RequestsPerSecond: caller.workspace.RequestsPerSecond,
		TokensPerSecond:   caller.workspace.TokensPerSecond,
		Entries:           s.liveEntries(),
	}
	if !s.rateLimiter.Allow(caller.name, limits, int(r.promptTokens)) {
		return errkind.New(errkind.RateLimited, "rate limit of the workspace is reached")
	}
	return nil
}

// liveEntries returns the number of entries that share the workspaces' rate limits.
func (s *server) liveEntries() int {
	live := 0
	for _, n := range s.members.Entries() {
		if n.Live && !n.Leaving {
			live++
		}
	}
	return max(live, 1)
}

// writeGracePeriod extends the write deadline beyond the request's deadline, so that the error response of a request that
// was refused or failed at its deadline can be written. Without it, a deadline of a few milliseconds closes the connection
// without a response.
const writeGracePeriod = 250 * time.Millisecond

// setWriteDeadline sets the write deadline of the response: a caller that does not read cannot hold the connection longer.
func setWriteDeadline(w http.ResponseWriter, deadline time.Time) {
	_ = http.NewResponseController(w).SetWriteDeadline(deadline.Add(writeGracePeriod)) // unsupported only by test recorders
}

// readBody reads a request's body until the deadline. The read deadline is removed after the body: net/http goes on
// reading to detect a disconnect and would treat an expired deadline as one.
func readBody(w http.ResponseWriter, hr *http.Request, maxBytes int64, deadline time.Time) ([]byte, error) {
	account := intake.FromContext(hr.Context())
	if err := account.Charge(intake.RequestCost); err != nil {
		return nil, refuseRest(w, account, err)
	}
	if hr.ContentLength == 0 {
		return nil, nil
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(deadline) // unsupported only by test recorders
	account.ExpectBody(hr.ContentLength)
	body, err := intake.ReadAll(hr.Body, hr.ContentLength, maxBytes, account)
	defer body.Release()
	if err == nil {
		err = account.Charge(bodyCopies * body.Len())
	}
	if err != nil {
		return nil, refuseRest(w, account, err)
	}
	_ = controller.SetReadDeadline(time.Time{}) // as above
	return bytes.Join(body.Segments(), nil), nil
}

// bodyCopies is how often a body is held while its request runs: as one piece or as decoded text, and as a prompt or a call.
const bodyCopies = 2

// refuseRest returns the error for a body that could not be read. If there is no memory for it or it comes too slowly, its rest is not read.
func refuseRest(w http.ResponseWriter, account *intake.Account, err error) error {
	switch ended := account.Ended(); {
	case errors.Is(err, intake.ErrTooLarge):
		account.CountRefusal(intake.ReasonLargeBody)
		return errkind.New(errkind.BodyTooLarge, "body is larger than the limit")
	case ended == intake.ReasonSlowBody:
		transport.RefuseRest(w)
		return errkind.New(errkind.InvalidRequest, "body came too slowly")
	case ended != intake.ReasonNone || errors.Is(err, intake.ErrShort):
		transport.RefuseRest(w)
		return errkind.New(errkind.Overloaded, "no memory for the request")
	}
	return errkind.New(errkind.InvalidRequest, "body could not be read")
}

// maxBodyBytes returns the largest body that the configuration allows.
func maxBodyBytes(snap *fleet.Snapshot) int64 {
	if n := snap.Text.Settings.MaxBodyBytes; n > 0 {
		return n
	}
	return fleet.DefaultMaxBodyBytes
}

// modelList is the response of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// handleModels handles GET /v1/models: it lists the services and models that the workspace may use and that are not
// recalled.
func (s *server) handleModels(w http.ResponseWriter, r *http.Request) error {
	caller, err := s.identify(r)
	if err != nil {
		return err
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range serviceAndModelNames(caller.snap.Text) {
		target, err := caller.snap.Resolve(name)
		if err == nil && target.Spec.Kind != fleet.KindPlain && caller.allowed(name) {
			list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: ownedBy(target.Version)})
		}
	}
	return writeJSON(w, list)
}

func serviceAndModelNames(text *fleet.Text) []string {
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

func ownedBy(v endpoint.Version) string { return v.Model + "@" + v.Version }

func writeJSON(w http.ResponseWriter, v any) error {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return handledError{kind: errkind.Canceled}
	}
	return nil
}

// execute executes a request and charges the tokens of a chat's answer to the workspace's rate limit.
func (s *server) execute(ctx context.Context, r *request) error {
	err := s.dispatch.run(ctx, r)
	if r.isChat() {
		s.rateLimiter.ChargeTokens(r.workspace, len(r.tokens))
	}
	return err
}
