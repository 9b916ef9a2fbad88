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
	"github.com/bilberrylink/bilberrylink/internal/http1"
	"github.com/bilberrylink/bilberrylink/internal/transport"
	"github.com/bilberrylink/bilberrylink/wire"
)

// Paths of the agent's streaming API.
const (
	runPath    = "/agent/v1/run"
	resumePath = "/agent/v1/resume"
)

// maxErrorBodyBytes bounds how much of an agent's HTTP error response is read.
const maxErrorBodyBytes = 64 << 10

// maxUnaryBodyBytes bounds the response to a unary call, which is read whole.
const maxUnaryBodyBytes = 1 << 20

// errNotSent means that no connection could be made, so that the request did not leave this process.
var errNotSent = errors.New("no connection to the agent")

// errUnknownAttempt means that the agent does not have the attempt that is to be resumed.
var errUnknownAttempt = errors.New("agent does not know the attempt")

// agentsClient is the client of the agents' API.
type agentsClient struct {
	pooledHTTP   *http.Client // reuses connections
	unpooledHTTP *http.Client // opens a connection per request, for use when pooled connections may be dead
	unaryHTTP    *http.Client // unpooledHTTP with bounded bodies
	scheme       string
}

// newAgentsClient returns a client. config is nil for plain TCP.
func newAgentsClient(dial transport.DialFunc, config *tls.Config) *agentsClient {
	unpooled := newAgentHTTPClient(dial, config, true)
	return &agentsClient{
		pooledHTTP:   newAgentHTTPClient(dial, config, false),
		unpooledHTTP: unpooled,
		unaryHTTP:    transport.BoundBodies(unpooled, maxUnaryBodyBytes),
		scheme:       transport.Scheme(config != nil),
	}
}

func newAgentHTTPClient(dial transport.DialFunc, config *tls.Config, disableKeepAlives bool) *http.Client {
	client := transport.NewHTTPClient(config, dial)
	httpTransport := client.Transport.(*http1.Transport) // transport.NewHTTPClient makes no other kind
	httpTransport.DialContext = wrapDialErrors(httpTransport.DialContext)
	if config != nil {
		httpTransport.DialTLSContext = wrapDialErrors(httpTransport.DialTLSContext)
	}
	httpTransport.DisableKeepAlives = disableKeepAlives
	return client
}

// wrapDialErrors makes failures to connect, those of the TLS handshake included, match errNotSent: such a request
// certainly did not reach the agent.
func wrapDialErrors(dial transport.DialFunc) transport.DialFunc {
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

func (c *agentsClient) run(ctx context.Context, addr string, r *wire.RunRequest) (io.ReadCloser, error) {
	return c.stream(ctx, c.pooledHTTP, addr, runPath, r)
}

func (c *agentsClient) resume(ctx context.Context, addr string, r *wire.ResumeRequest) (io.ReadCloser, error) {
	return c.stream(ctx, c.unpooledHTTP, addr, resumePath, r)
}

// stream posts m and returns the response body, which is a stream of frames. Errors: errNotSent, errUnknownAttempt,
// *errkind.Error.
func (c *agentsClient) stream(ctx context.Context, client *http.Client, addr, path string,
	m proto.Message) (io.ReadCloser, error) {
	body, err := proto.Marshal(m)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "request is not valid UTF-8").WithRunState(errkind.NotRun)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.scheme+"://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "agent address").WithRunState(errkind.NotRun)
	}
	// Without GetBody the transport cannot resend the request on another connection on its own.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/x-protobuf")
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "agent")
	}
	if resp.StatusCode != http.StatusOK {
		defer func() { _ = resp.Body.Close() }() // the body is read as far as needed
		return nil, responseError(resp)
	}
	return resp.Body, nil
}

// responseError returns the error of a response that is not a stream.
func responseError(resp *http.Response) error {
	if resp.StatusCode == http.StatusNotFound || resp.StatusCode == http.StatusGone {
		return errUnknownAttempt
	}
	var body errkind.Body
	err := json.NewDecoder(io.LimitReader(resp.Body, maxErrorBodyBytes)).Decode(&body)
	if err != nil || body.Error.Kind == "" {
		return errkind.New(errkind.EndpointFailed, "agent answered "+resp.Status)
	}
	return errkind.New(body.Error.Kind, body.Error.Message).WithRunState(body.Error.RunState)
}

// unary returns the client of the agent's unary calls. It opens a connection per call, because a pooled one may be dead.
func (c *agentsClient) unary(addr string) wire.Agent {
	return wire.NewAgentProtobufClient(c.scheme+"://"+addr, c.unaryHTTP)
}

// closeIdleConnections closes idle pooled connections. After one connection to a host went silent, the others may be dead
// as well.
func (c *agentsClient) closeIdleConnections() { c.pooledHTTP.CloseIdleConnections() }

func (c *agentsClient) close() {
	c.pooledHTTP.CloseIdleConnections()
	c.unpooledHTTP.CloseIdleConnections()
}
