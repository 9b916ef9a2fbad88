package endpointhttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/internal/http1"
	"github.com/bilberrylink/bilberrylink/internal/transport"
)

// client sends requests to an endpoint. Answers carry no ID, so that one that the endpoint writes once more on a connection in use again
// would be taken for the answer to the next request. Work therefore gets a connection of its own, which costs little, as the endpoint
// is on the same VM. Reports, health checks and cancellations share connections.
type client struct {
	baseURL string
	shared  *http.Client
	work    *http.Client
	limit   *atomic.Pointer[endpoint.Limit] // of the latest answer; nil: none yet
}

// Limit implements endpoint.Limited.
func (c client) Limit() endpoint.Limit {
	if limit := c.limit.Load(); limit != nil {
		return *limit
	}
	return endpoint.Limit{}
}

// observe takes over what an answer says of the endpoint.
func (c client) observe(resp *http.Response) {
	limit := endpoint.LimitOf(resp.Header)
	c.limit.Store(&limit)
}

func newClient(baseURL string, httpClient *http.Client) client {
	httpClient = http1.Client(httpClient)
	return client{baseURL: strings.TrimRight(baseURL, "/"), shared: httpClient, work: transport.WithoutKeepAlives(httpClient),
		limit: new(atomic.Pointer[endpoint.Limit])}
}

// do sends a request for work and returns the response if its status is 200, else the typed error.
func (c client) do(ctx context.Context, method, path string, body any) (*http.Response, error) {
	return c.send(ctx, c.work, method, path, body)
}

// send sends a request with one of the HTTP clients and returns the response if its status is 200, else the typed error.
func (c client) send(ctx context.Context, httpClient *http.Client, method, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "endpoint request")
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "endpoint request")
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return nil, transportError(ctx, err)
	}
	c.observe(resp)
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	err = responseError(resp)
	if after := endpoint.RetryAfter(resp.Header); after > 0 {
		err = &endpoint.RefusedError{Err: err, After: after}
	}
	return nil, err
}

func responseError(resp *http.Response) error {
	var body ErrorBody
	if err := json.NewDecoder(io.LimitReader(resp.Body, MaxBodyBytes)).Decode(&body); err != nil {
		return errors.Wrapf(endpoint.ErrDown, "status %d", resp.StatusCode)
	}
	return body.Err()
}

// transportError returns the context's error if the context has ended, else ErrDown.
func transportError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errors.Wrap(endpoint.ErrDown, err.Error())
}

// doJSON sends a request with one of the HTTP clients and decodes the response into result, or discards it if result is nil.
func (c client) doJSON(ctx context.Context, httpClient *http.Client, method, path string, body, result any) error {
	resp, err := c.send(ctx, httpClient, method, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if result == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	} else {
		err = json.NewDecoder(io.LimitReader(resp.Body, MaxBodyBytes)).Decode(result)
	}
	if err != nil {
		return transportError(ctx, err)
	}
	return nil
}

type engine struct{ client }

// NewEngine returns a client of the engine at a base URL. If c is nil, it uses one like http.DefaultClient.
func NewEngine(base string, c *http.Client) endpoint.Engine { return engine{newClient(base, c)} }

// Generate implements endpoint.Engine.
func (e engine) Generate(ctx context.Context, g endpoint.GenerateRequest) (endpoint.TokenStream, error) {
	resp, err := e.do(ctx, http.MethodPost, PathGenerate, g)
	if err != nil {
		return nil, err
	}
	return newTokenStream(ctx, resp), nil
}

// Resume implements endpoint.Engine.
func (e engine) Resume(ctx context.Context, streamID string, from int) (endpoint.TokenStream, error) {
	query := url.Values{"stream": {streamID}, "from": {strconv.Itoa(from)}}
	resp, err := e.do(ctx, http.MethodGet, PathResume+"?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	return newTokenStream(ctx, resp), nil
}

// Cancel implements endpoint.Engine.
func (e engine) Cancel(ctx context.Context, id string) error {
	return e.doJSON(ctx, e.shared, http.MethodPost, PathCancel+"?"+url.Values{"id": {id}}.Encode(), nil, nil)
}

// Prefill implements endpoint.Engine.
func (e engine) Prefill(ctx context.Context, s endpoint.PrefillRequest) (endpoint.KVHandle, error) {
	var h endpoint.KVHandle
	err := e.doJSON(ctx, e.work, http.MethodPost, PathPrefill, s, &h)
	return h, err
}

// ApplyOrder implements endpoint.Engine.
func (e engine) ApplyOrder(ctx context.Context, o endpoint.Order) error {
	return e.doJSON(ctx, e.work, http.MethodPost, PathOrder, o, nil)
}

// Report implements endpoint.Engine.
func (e engine) Report(ctx context.Context) (endpoint.LoadReport, error) {
	var r endpoint.LoadReport
	err := e.doJSON(ctx, e.shared, http.MethodGet, PathReport, nil, &r)
	return r, err
}

// CacheEvents implements endpoint.Engine.
func (e engine) CacheEvents(ctx context.Context, seq int64) ([]endpoint.CacheEvent, error) {
	var events []endpoint.CacheEvent
	path := PathCacheEvents + "?after=" + strconv.FormatInt(seq, 10)
	err := e.doJSON(ctx, e.shared, http.MethodGet, path, nil, &events)
	return events, err
}

// tokenStream reads an answer stream of server-sent events.
type tokenStream struct {
	ctx     context.Context
	body    io.ReadCloser
	lines   *bufio.Reader
	usage   endpoint.Usage
	recvErr error // returned by all further calls of Recv
}

func newTokenStream(ctx context.Context, resp *http.Response) *tokenStream {
	return &tokenStream{ctx: ctx, body: resp.Body, lines: bufio.NewReader(resp.Body)}
}

// Recv implements endpoint.TokenStream.
func (s *tokenStream) Recv() (endpoint.Token, error) {
	if s.recvErr != nil {
		return endpoint.Token{}, s.recvErr
	}
	var token endpoint.Token
	event, data, err := s.readEvent()
	switch {
	case err != nil:
		s.recvErr = transportError(s.ctx, err)
	case event == EventToken:
		if err = json.Unmarshal(data, &token); err != nil {
			s.recvErr = transportError(s.ctx, err)
		}
	case event == EventEnd:
		s.recvErr = io.EOF
		if err = json.Unmarshal(data, &s.usage); err != nil {
			s.recvErr = transportError(s.ctx, err)
		}
	default:
		s.recvErr = errorEvent(data)
	}
	return token, s.recvErr
}

// errorEvent returns the typed error in the data of an error event.
func errorEvent(data []byte) error {
	var body ErrorBody
	if err := json.Unmarshal(data, &body); err != nil {
		return errors.Wrap(endpoint.ErrDown, err.Error())
	}
	return body.Err()
}

// readEvent reads one event, which consists of an event line, a data line and an empty line.
func (s *tokenStream) readEvent() (name string, data []byte, err error) {
	for {
		line, err := s.readLine()
		if err != nil {
			return "", nil, err
		}
		line = bytes.TrimRight(line, "\r\n")
		field, value, _ := bytes.Cut(line, []byte(": "))
		switch string(field) {
		case "event":
			name = string(value)
		case "data":
			data = value
		case "":
			if name != "" {
				return name, data, nil
			}
		}
	}
}

// maxLineBytes bounds a line of a stream. An engine in trouble may send bytes without end.
const maxLineBytes = 1 << 20

var errTooLong = errors.New("endpoint sent more than expected")

// readLine reads a line and its line feed.
func (s *tokenStream) readLine() ([]byte, error) {
	var line []byte
	for {
		part, err := s.lines.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case err == nil:
			return line, nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case len(line) > maxLineBytes:
			return nil, errTooLong
		}
	}
}

// Usage implements endpoint.TokenStream.
func (s *tokenStream) Usage() endpoint.Usage { return s.usage }

// Close implements endpoint.TokenStream.
func (s *tokenStream) Close() error { return s.body.Close() }

type service struct{ client }

// NewService returns a client of the plain service at a base URL. If c is nil, it uses one like http.DefaultClient.
func NewService(base string, c *http.Client) endpoint.Service { return service{newClient(base, c)} }

// nonRewindableReader hides the type of its reader from net/http, which prevents retries by the transport. If the
// connection breaks, the transport retries a request with an Idempotency-Key whose body it can rewind, although the
// endpoint may have executed it.
type nonRewindableReader struct{ io.Reader }

// Do implements endpoint.Service.
func (s service) Do(ctx context.Context, c endpoint.Call) (endpoint.Response, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, s.baseURL+PathCall+c.Path, nonRewindableReader{bytes.NewReader(c.Body)})
	if err != nil {
		return endpoint.Response{}, errors.Wrap(err, "service call")
	}
	req.Header = c.Header.Clone()
	req.ContentLength = int64(len(c.Body))
	resp, err := s.work.Do(req)
	if err != nil {
		return endpoint.Response{}, transportError(ctx, err)
	}
	s.observe(resp)
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get(HeaderFailure) != "" {
		return endpoint.Response{}, responseError(resp)
	}
	body, err := readBody(resp.Body)
	if err != nil {
		return endpoint.Response{}, transportError(ctx, err)
	}
	return endpoint.Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// CheckHealth implements endpoint.Service.
func (s service) CheckHealth(ctx context.Context) error {
	return s.doJSON(ctx, s.shared, http.MethodGet, PathHealth, nil, nil)
}
