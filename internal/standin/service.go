package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/endpoint"
)

// ServiceOptions configures a plain service. Zero values take the defaults.
type ServiceOptions struct {
	CallTime    time.Duration // per call; default 5 ms
	RestartTime time.Duration // after a crash; default 2 s
}

// DefaultCallTime is the default of ServiceOptions.CallTime.
const DefaultCallTime = 5 * time.Millisecond

func (o ServiceOptions) withDefaults() ServiceOptions {
	return ServiceOptions{CallTime: DefaultCallTime, RestartTime: DefaultRestartTime}.override(o)
}

func (o ServiceOptions) override(overrides ServiceOptions) ServiceOptions {
	return ServiceOptions{CallTime: orDefault(overrides.CallTime, o.CallTime),
		RestartTime: orDefault(overrides.RestartTime, o.RestartTime)}
}

// Service emulates a plain service with orders, deposits, stock lookups and kit bookings. It does not deduplicate: it
// executes every call that it receives and counts executions by Idempotency-Key. It implements endpoint.Service.
type Service struct {
	platform *Platform
	name     string
	opts     ServiceOptions

	mu        sync.Mutex
	downUntil time.Time
	crashed   chan struct{} // closed by the next crash
}

func newService(p *Platform, name string, o ServiceOptions) *Service {
	return &Service{platform: p, name: name, opts: o, crashed: make(chan struct{})}
}

// Name returns the endpoint's name.
func (s *Service) Name() string { return s.name }

// Crash fails the calls in progress and refuses new ones until the restart time has passed.
func (s *Service) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downUntil = time.Now().Add(s.platform.opts.scaled(s.opts.RestartTime))
	close(s.crashed)
	s.crashed = make(chan struct{})
}

// CheckHealth implements endpoint.Service.
func (s *Service) CheckHealth(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.downUntil) || slices.Contains(s.platform.faults.State().EngineDown, s.name) {
		return endpoint.ErrDown
	}
	return nil
}

// Do implements endpoint.Service. A call counts as executed before its duration passes, also if the caller disconnects or
// the service crashes meanwhile.
func (s *Service) Do(ctx context.Context, c endpoint.Call) (endpoint.Response, error) {
	if err := s.CheckHealth(ctx); err != nil {
		return endpoint.Response{}, err
	}
	u, err := url.ParseRequestURI(c.Path)
	if err != nil {
		return jsonResponse(http.StatusBadRequest, map[string]any{"error": "invalid path"}), nil
	}
	answer, status := s.execute(c, strings.Split(strings.Trim(u.Path, "/"), "/"))
	if status < http.StatusBadRequest {
		s.platform.counters.countCall(callKey{key: c.Header.Get("Idempotency-Key"), endpoint: s.name, method: c.Method, path: u.Path})
	}
	if err = s.waitCallTime(ctx, c.Method); err != nil {
		return endpoint.Response{}, err
	}
	return jsonResponse(status, answer), nil
}

// waitCallTime waits for the duration of a call, including injected delays.
func (s *Service) waitCallTime(ctx context.Context, method string) error {
	s.mu.Lock()
	crashed := s.crashed
	s.mu.Unlock()
	timer := time.NewTimer(s.platform.opts.scaled(s.opts.CallTime) + s.injectedDelay(method))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-crashed:
		return endpoint.ErrDown
	case <-timer.C:
		return nil
	}
}

func (s *Service) injectedDelay(method string) time.Duration {
	state := s.platform.faults.State()
	if method != http.MethodGet {
		return milliseconds(state.SlowCallsMS)
	}
	if len(state.SlowLookupEndpoints) > 0 && !slices.Contains(state.SlowLookupEndpoints, s.name) {
		return 0
	}
	return milliseconds(state.SlowLookupsMS)
}

// execute returns the answer to a call. GET and HEAD are stock lookups; POST, PUT, PATCH and DELETE return the number of
// what they created or changed.
func (s *Service) execute(c endpoint.Call, path []string) (answer map[string]any, status int) {
	switch c.Method {
	case http.MethodGet, http.MethodHead:
		item := path[len(path)-1]
		return map[string]any{"item": item, "available": stockOf(item)}, http.StatusOK
	case http.MethodPost:
		return map[string]any{"kind": path[0], "number": s.platform.nextNumber()}, http.StatusCreated
	case http.MethodPut, http.MethodPatch, http.MethodDelete:
		return map[string]any{"kind": path[0], "item": path[len(path)-1], "change": s.platform.nextNumber()}, http.StatusOK
	default:
		return map[string]any{"error": "method not allowed"}, http.StatusMethodNotAllowed
	}
}

// stockOf returns the stock of an item, derived from its name so that all endpoints agree.
func stockOf(item string) int {
	n := 0
	for _, r := range item {
		n = (n*31 + int(r)) % 100
	}
	return n
}

func jsonResponse(status int, v any) endpoint.Response {
	body, err := json.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "marshal a response")) // cannot happen: responses are maps of strings and numbers
	}
	return endpoint.Response{Status: status, Header: http.Header{"Content-Type": {"application/json"}}, Body: body}
}
