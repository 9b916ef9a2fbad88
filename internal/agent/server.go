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

// unackedTimeout closes a connection whose peer acknowledges no data for this long. Without it the kernel retransmits to a failed
// VM for about 15 minutes, and the memory of its streams stays reserved.
const unackedTimeout = 10 * time.Second

const (
	// bodyOverheadBytes is allowed on top of the setting max_body_bytes, for the other fields of a request and generated tokens.
	bodyOverheadBytes = 4 << 20
	// writeTimeout bounds the write of one frame. A connection that accepts no data for this long is closed; the stream can
	// still be resumed.
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
		listen = (&net.ListenConfig{Control: transport.UserTimeout(unackedTimeout)}).Listen
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

// closeServer closes the listener and waits for open responses until ctx ends, then closes the connections.
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
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected
}

func (a *Agent) maxBodyBytes() int64 {
	limit := int64(fleet.DefaultMaxBodyBytes)
	if s := a.peer.Epochs().Snapshot(); s != nil {
		limit = s.Text.Settings.MaxBodyBytes
	}
	return limit + bodyOverheadBytes
}

// decodeBody reads a protobuf message from the request body.
func (a *Agent) decodeBody(w http.ResponseWriter, r *http.Request, m proto.Message) error {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, a.maxBodyBytes()))
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
	if err := a.decodeBody(w, r, req); err != nil {
		writeError(w, err)
		return
	}
	att := a.submit(r.Context(), req)
	a.serveStream(w, r, att, 0)
}

func (a *Agent) serveResume(w http.ResponseWriter, r *http.Request) {
	req := new(wire.ResumeRequest)
	if err := a.decodeBody(w, r, req); err != nil {
		writeError(w, err)
		return
	}
	att := a.findAttempt(req.GetAttemptId())
	if att == nil || att.buffer.RequestID() != req.GetRequestId() {
		a.refuseResume(w, req)
		return
	}
	a.serveStream(w, r, att, req.GetNextSequence())
}

func (a *Agent) findAttempt(id string) *attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.attempts[id]
}

// refuseResume responds with 404 to the resume of an unknown attempt, which an earlier incarnation may have run. If the attempt
// arrives later, it is refused.
func (a *Agent) refuseResume(w http.ResponseWriter, req *wire.ResumeRequest) {
	a.mu.Lock()
	a.pastIDs.add(req.GetAttemptId(), time.Now())
	a.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusNotFound)
	_ = json.NewEncoder(w).Encode(errkind.Body{Error: errkind.BodyError{Kind: errkind.StreamBroken,
		Message: "the attempt is not known here", RunState: errkind.RunUnknown}}) // fails only if the client has disconnected
}

func (a *Agent) serveStream(w http.ResponseWriter, r *http.Request, att *attempt, nextSequence uint64) {
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	flush := func() {
		_ = controller.Flush() // the write of the next frame returns the error
		_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout + stream.HeartbeatInterval))
	}
	flush()
	if err := att.buffer.Serve(r.Context(), stream.NewWriter(w, flush), nextSequence, a.currentLoad); err != nil {
		a.log.WithError(err).Debug("stream connection ended early")
	}
	_ = controller.SetWriteDeadline(time.Time{})
}

func (a *Agent) serveCancel(w http.ResponseWriter, r *http.Request) {
	req := new(wire.CancelRequest)
	if err := a.decodeBody(w, r, req); err != nil {
		writeError(w, err)
		return
	}
	reply, _ := a.Cancel(r.Context(), req) // the error is always nil
	data, err := proto.Marshal(reply)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", contentType)
	_, _ = w.Write(data) // fails only if the client has disconnected
}
