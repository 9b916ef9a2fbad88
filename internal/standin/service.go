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

func (o ServiceOptions) override(w ServiceOptions) ServiceOptions {
	return ServiceOptions{CallTime: orDefault(w.CallTime, o.CallTime), RestartTime: orDefault(w.RestartTime, o.RestartTime)}
}

// Service emulates a plain service: orders, deposits, stock lookups and kit bookings. It executes every call that it
// gets, repeated or not, and counts each by its Idempotency-Key. It implements endpoint.Service.
type Service struct {
	p    *Platform
	name string
	o    ServiceOptions

	mu        sync.Mutex
	downUntil time.Time
	crashed   chan struct{} // closed by the next crash
}

func newService(p *Platform, name string, o ServiceOptions) *Service {
	return &Service{p: p, name: name, o: o, crashed: make(chan struct{})}
}

// Name returns the endpoint's name.
func (s *Service) Name() string { return s.name }

// Crash breaks the calls in progress and refuses new ones until the restart time has passed.
func (s *Service) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downUntil = time.Now().Add(s.p.opts.scaled(s.o.RestartTime))
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
	if time.Now().Before(s.downUntil) || slices.Contains(s.p.faults.State().EngineDown, s.name) {
		return endpoint.ErrDown
	}
	return nil
}

// Do implements endpoint.Service. A call is counted when it starts to execute, before its duration passes, so a caller
// that goes away or a crash leaves it executed.
func (s *Service) Do(ctx context.Context, c endpoint.Call) (endpoint.Response, error) {
	if err := s.CheckHealth(ctx); err != nil {
		return endpoint.Response{}, err
	}
	u, err := url.ParseRequestURI(c.Path)
	if err != nil {
		return jsonResponse(http.StatusBadRequest, map[string]any{"error": "invalid path"}), nil
	}
	answer, status := s.answer(c, strings.Split(strings.Trim(u.Path, "/"), "/"))
	if status < http.StatusBadRequest {
		s.p.counters.call(callKey{key: c.Header.Get("Idempotency-Key"), endpoint: s.name, method: c.Method, path: u.Path})
	}
	if err = s.work(ctx, c.Method); err != nil {
		return endpoint.Response{}, err
	}
	return jsonResponse(status, answer), nil
}

// work lets the duration of a call pass.
func (s *Service) work(ctx context.Context, method string) error {
	s.mu.Lock()
	crashed := s.crashed
	s.mu.Unlock()
	timer := time.NewTimer(s.p.opts.scaled(s.o.CallTime) + s.slowness(method))
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

func (s *Service) slowness(method string) time.Duration {
	state := s.p.faults.State()
	if method != http.MethodGet {
		return milliseconds(state.SlowCallsMS)
	}
	if len(state.SlowLookupEndpoints) > 0 && !slices.Contains(state.SlowLookupEndpoints, s.name) {
		return 0
	}
	return milliseconds(state.SlowLookupsMS)
}

// answer executes a call. Collections such as orders, deposits and bookings number what is created in them; any GET is
// a lookup.
func (s *Service) answer(c endpoint.Call, path []string) (answer map[string]any, status int) {
	switch c.Method {
	case http.MethodGet, http.MethodHead:
		item := path[len(path)-1]
		return map[string]any{"item": item, "available": stockOf(item)}, http.StatusOK
	case http.MethodPost:
		return map[string]any{"kind": path[0], "number": s.p.nextNumber()}, http.StatusCreated
	case http.MethodPut, http.MethodPatch, http.MethodDelete:
		return map[string]any{"kind": path[0], "item": path[len(path)-1], "change": s.p.nextNumber()}, http.StatusOK
	default:
		return map[string]any{"error": "method not allowed"}, http.StatusMethodNotAllowed
	}
}

// stockOf is the same for an item on every endpoint.
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
		panic(errors.Wrap(err, "marshal an answer")) // the answers are maps of strings and numbers
	}
	return endpoint.Response{Status: status, Header: http.Header{"Content-Type": {"application/json"}}, Body: body}
}
