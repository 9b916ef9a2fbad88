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

// Paths of the agent's streaming API.
const (
	runPath    = "/agent/v1/run"
	resumePath = "/agent/v1/resume"
)

// maxRefusalBody bounds how much of an agent's HTTP error response is read.
const maxRefusalBody = 64 << 10

// errNotSent means that no connection could be made, so that the request did not leave this process.
var errNotSent = errors.New("no connection to the agent")

// errUnknownAttempt means that the agent does not have the attempt that is to be resumed.
var errUnknownAttempt = errors.New("agent does not know the attempt")

// agents is the client of the agents' API.
type agents struct {
	pooled *http.Client // reuses connections
	fresh  *http.Client // opens a connection per request, for use when pooled connections may be dead
	scheme string
}

// newAgents returns a client. config is nil for plain TCP.
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

// markDialErrors makes failures to connect, those of the TLS handshake included, match errNotSent: such a request
// certainly did not reach the agent.
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

// stream posts m and returns the response body, which is a stream of frames. Errors: errNotSent, errUnknownAttempt,
// *errkind.Error.
func (a *agents) stream(ctx context.Context, c *http.Client, addr, path string, m proto.Message) (io.ReadCloser, error) {
	body, err := proto.Marshal(m)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "request is not valid UTF-8").WithRunState(errkind.NotRun)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, a.scheme+"://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "agent address").WithRunState(errkind.NotRun)
	}
	// Without GetBody the transport cannot resend the request on another connection on its own.
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

// refusalOf returns the error of a response that is not a stream.
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

// unary returns the client of the agent's unary calls. It opens a connection per call, because a pooled one may be dead.
func (a *agents) unary(addr string) wire.Agent {
	return wire.NewAgentProtobufClient(a.scheme+"://"+addr, a.fresh)
}

// dropIdle closes idle pooled connections: after one connection to a host went silent, the others may be dead as well.
func (a *agents) dropIdle() { a.pooled.CloseIdleConnections() }

func (a *agents) close() {
	a.pooled.CloseIdleConnections()
	a.fresh.CloseIdleConnections()
}
