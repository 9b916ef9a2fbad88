package agent

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"google.golang.org/protobuf/proto"

	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/internal/transport"
	"github.com/bilberrylink/bilberrylink/stream"
	"github.com/bilberrylink/bilberrylink/wire"
)

const (
	// bodyOverhead is allowed on top of the text's max_body_bytes for the request's other fields and the generated tokens.
	bodyOverhead = 4 << 20
	// writeTimeout bounds one frame's write. A connection that takes no data for this long is given up; the stream
	// stays for resume.
	writeTimeout = 5 * time.Second
	contentType  = "application/x-protobuf"
)

// Handler returns the handler of the internal listener.
func (a *Agent) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/agent/v1/run", a.serveRun).Methods(http.MethodPost)
	r.HandleFunc("/agent/v1/resume", a.serveResume).Methods(http.MethodPost)
	r.HandleFunc("/agent/v1/cancel", a.serveCancel).Methods(http.MethodPost)
	r.Handle("/metrics", promhttp.HandlerFor(a.registry, promhttp.HandlerOpts{}))
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	r.HandleFunc("/readyz", a.serveReady)
	r.PathPrefix(wire.AgentPathPrefix).Handler(wire.NewAgentServer(a))
	return r
}

func (a *Agent) listen(failed func(error)) error {
	config, err := transport.ServerTLSConfig(a.opts.TLS)
	if err != nil {
		return err
	}
	listen := a.opts.Listen
	if listen == nil {
		listen = (&net.ListenConfig{Control: setUserTimeout}).Listen
	}
	listener, err := listen(a.ctx, "tcp", a.opts.Node.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	a.listener = listener
	a.server = transport.NewHTTPServer(a.Handler(), config)
	go func() {
		if err := transport.Serve(a.server, listener); err != nil {
			failed(err)
		}
	}()
	return nil
}

// Addr returns the address of the internal listener after Start.
func (a *Agent) Addr() string { return a.listener.Addr().String() }

// closeServer waits for open answers until ctx ends, then closes the connections.
func (a *Agent) closeServer(ctx context.Context) error {
	if a.server == nil {
		return nil
	}
	if err := a.server.Shutdown(ctx); err != nil {
		return errors.Wrap(a.server.Close(), "close listener")
	}
	return nil
}

func (a *Agent) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := a.ready(); err != nil {
		writeError(w, err)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (a *Agent) ready() error {
	if a.isDraining() {
		return errkind.New(errkind.Draining, "endpoint is leaving")
	}
	if a.peer.Epochs().Snapshot() == nil {
		return errkind.New(errkind.NotReady, "no configuration is known yet")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if fault := a.faultLocked(); fault != "" {
		return errkind.New(errkind.NoEndpoint, fault)
	}
	return nil
}

func writeError(w http.ResponseWriter, err error) {
	status, body := errkind.Response(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller has gone
}

func (a *Agent) maxBody() int64 {
	limit := int64(fleet.DefaultMaxBodyBytes)
	if s := a.peer.Epochs().Snapshot(); s != nil {
		limit = s.Text.Settings.MaxBodyBytes
	}
	return limit + bodyOverhead
}

// decode reads a protobuf body.
func (a *Agent) decode(w http.ResponseWriter, r *http.Request, m proto.Message) error {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, a.maxBody()))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errkind.Wrap(err, errkind.BodyTooLarge, "body is over the limit")
	}
	if err != nil {
		return errkind.Wrap(err, errkind.InvalidRequest, "body cannot be read")
	}
	if err := proto.Unmarshal(data, m); err != nil {
		return errkind.Wrap(err, errkind.InvalidRequest, "body is not a valid message")
	}
	return nil
}

func (a *Agent) serveRun(w http.ResponseWriter, r *http.Request) {
	req := new(wire.RunRequest)
	if err := a.decode(w, r, req); err != nil {
		writeError(w, err)
		return
	}
	att := a.submit(r.Context(), req)
	a.serveStream(w, r, att, 0)
}

func (a *Agent) serveResume(w http.ResponseWriter, r *http.Request) {
	req := new(wire.ResumeRequest)
	if err := a.decode(w, r, req); err != nil {
		writeError(w, err)
		return
	}
	att := a.attempt(req.GetAttemptId())
	if att == nil || att.buffer.RequestID() != req.GetRequestId() {
		a.refuseResume(w, req)
		return
	}
	a.serveStream(w, r, att, req.GetNextSequence())
}

func (a *Agent) attempt(id string) *attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.attempts[id]
}

// refuseResume answers 404 for an attempt that this agent does not know. An earlier incarnation may have run it. If its run
// arrives later, it is refused.
func (a *Agent) refuseResume(w http.ResponseWriter, req *wire.ResumeRequest) {
	a.mu.Lock()
	a.past.add(req.GetAttemptId(), time.Now())
	a.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusNotFound)
	_ = json.NewEncoder(w).Encode(errkind.Body{Error: errkind.BodyError{Kind: errkind.StreamBroken,
		Message: "the attempt is not known here", RunState: errkind.RunUnknown}}) // the caller has gone
}

func (a *Agent) serveStream(w http.ResponseWriter, r *http.Request, att *attempt, next uint64) {
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	flush := func() {
		_ = control.Flush() // a failed write shows at the next frame
		_ = control.SetWriteDeadline(time.Now().Add(writeTimeout + stream.HeartbeatInterval))
	}
	flush()
	if err := att.buffer.Serve(r.Context(), stream.NewWriter(w, flush), next, a.load); err != nil {
		a.log.WithError(err).Debug("stream connection ended early")
	}
	_ = control.SetWriteDeadline(time.Time{})
}

func (a *Agent) serveCancel(w http.ResponseWriter, r *http.Request) {
	req := new(wire.CancelRequest)
	if err := a.decode(w, r, req); err != nil {
		writeError(w, err)
		return
	}
	reply, _ := a.Cancel(r.Context(), req) // Cancel has no errors
	data, err := proto.Marshal(reply)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", contentType)
	_, _ = w.Write(data) // the caller has gone
}
