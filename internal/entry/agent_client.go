package entry

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/internal/transport"
	"github.com/bilberrylink/bilberrylink/wire"
)

// Paths of the agent's answer streams.
const (
	runPath    = "/agent/v1/run"
	resumePath = "/agent/v1/resume"
)

// maxRefusalBody bounds what is read of an agent's HTTP error.
const maxRefusalBody = 64 << 10

// errNotSent means that the request did not leave this process: no connection could be made.
var errNotSent = errors.New("no connection to the agent")

// errUnknownAttempt means that the agent does not know the attempt that should be resumed.
var errUnknownAttempt = errors.New("agent does not know the attempt")

// agents is the client side of the agents' interface.
type agents struct {
	pooled *http.Client // keeps connections
	fresh  *http.Client // a new connection per request, for when pooled ones may have gone silent
	scheme string
}

// newAgents returns the client side. config is the result of transport.Client, nil for plain TCP.
func newAgents(dial transport.DialFunc, config *tls.Config) *agents {
	return &agents{
		pooled: agentClient(dial, config, false),
		fresh:  agentClient(dial, config, true),
		scheme: transport.Scheme(config != nil),
	}
}

func agentClient(dial transport.DialFunc, config *tls.Config, newConnections bool) *http.Client {
	client := transport.NewHTTPClient(config, dial)
	connections := client.Transport.(*http.Transport) // transport.HTTPClient makes no other kind
	connections.DialContext = markDialErrors(connections.DialContext)
	if config != nil {
		connections.DialTLSContext = markDialErrors(connections.DialTLSContext)
	}
	connections.DisableKeepAlives = newConnections
	return client
}

// markDialErrors makes failures to connect, the TLS handshake included, recognizable: such a request certainly did not
// reach the agent.
func markDialErrors(dial transport.DialFunc) transport.DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, &dialError{cause: err}
		}
		return conn, nil
	}
}

type dialError struct{ cause error }

func (e *dialError) Error() string        { return errNotSent.Error() + ": " + e.cause.Error() }
func (e *dialError) Is(target error) bool { return target == errNotSent }

func (a *agents) run(ctx context.Context, addr string, r *wire.RunRequest) (io.ReadCloser, error) {
	return a.stream(ctx, a.pooled, addr, runPath, r)
}

func (a *agents) resume(ctx context.Context, addr string, r *wire.ResumeRequest) (io.ReadCloser, error) {
	return a.stream(ctx, a.fresh, addr, resumePath, r)
}

// stream posts a message and returns the body of frames. Errors: errNotSent, errUnknownAttempt, *errkind.Error.
func (a *agents) stream(ctx context.Context, c *http.Client, addr, path string, m proto.Message) (io.ReadCloser, error) {
	body, err := proto.Marshal(m)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "request is not valid UTF-8").WithRunState(errkind.NotRun)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, a.scheme+"://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "agent address").WithRunState(errkind.NotRun)
	}
	// Without GetBody the transport cannot repeat the request on another connection by itself.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/x-protobuf")
	resp, err := c.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "agent")
	}
	if resp.StatusCode != http.StatusOK {
		defer func() { _ = resp.Body.Close() }() // the body is read as far as needed
		return nil, refusalOf(resp)
	}
	return resp.Body, nil
}

// refusalOf returns the error of an answer that is not a stream.
func refusalOf(resp *http.Response) error {
	if resp.StatusCode == http.StatusNotFound || resp.StatusCode == http.StatusGone {
		return errUnknownAttempt
	}
	var body errkind.Body
	err := json.NewDecoder(io.LimitReader(resp.Body, maxRefusalBody)).Decode(&body)
	if err != nil || body.Error.Kind == "" {
		return errkind.New(errkind.EndpointFailed, "agent answered "+resp.Status)
	}
	return errkind.New(body.Error.Kind, body.Error.Message).WithRunState(body.Error.RunState)
}

// unary returns a unary client that opens a new connection per call, because a pooled one may have gone silent.
func (a *agents) unary(addr string) wire.Agent {
	return wire.NewAgentProtobufClient(a.scheme+"://"+addr, a.fresh)
}

// dropIdle closes unused pooled connections; the ones to a host that went silent may be silent too.
func (a *agents) dropIdle() { a.pooled.CloseIdleConnections() }

func (a *agents) close() {
	a.pooled.CloseIdleConnections()
	a.fresh.CloseIdleConnections()
}
