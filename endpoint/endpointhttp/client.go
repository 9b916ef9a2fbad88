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

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/endpoint"
)

type client struct {
	base string
	http *http.Client
}

func newClient(base string, c *http.Client) client {
	if c == nil {
		c = http.DefaultClient
	}
	return client{base: strings.TrimRight(base, "/"), http: c}
}

// send returns a response with status 200, or the typed error.
func (c client) send(ctx context.Context, method, path string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "endpoint request")
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "endpoint request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, down(ctx, err)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	return nil, failure(resp)
}

func failure(resp *http.Response) error {
	var f ErrorBody
	if err := json.NewDecoder(io.LimitReader(resp.Body, MaxBodyBytes)).Decode(&f); err != nil {
		return errors.Wrapf(endpoint.ErrDown, "status %d", resp.StatusCode)
	}
	return f.Err()
}

// down maps a transport failure: the context's error if it ended, else ErrDown.
func down(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errors.Wrap(endpoint.ErrDown, err.Error())
}

func (c client) call(ctx context.Context, method, path string, body, into any) error {
	resp, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if into == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	} else {
		err = json.NewDecoder(io.LimitReader(resp.Body, MaxBodyBytes)).Decode(into)
	}
	if err != nil {
		return down(ctx, err)
	}
	return nil
}

type engine struct{ client }

// NewEngine returns the engine at a base URL. A nil client is http.DefaultClient.
func NewEngine(base string, c *http.Client) endpoint.Engine { return engine{newClient(base, c)} }

// Generate implements endpoint.Engine.
func (e engine) Generate(ctx context.Context, g endpoint.GenerateRequest) (endpoint.TokenStream, error) {
	resp, err := e.send(ctx, http.MethodPost, PathGenerate, g)
	if err != nil {
		return nil, err
	}
	return newStream(ctx, resp), nil
}

// Resume implements endpoint.Engine.
func (e engine) Resume(ctx context.Context, streamID string, from int) (endpoint.TokenStream, error) {
	query := url.Values{"stream": {streamID}, "from": {strconv.Itoa(from)}}
	resp, err := e.send(ctx, http.MethodGet, PathResume+"?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	return newStream(ctx, resp), nil
}

// Cancel implements endpoint.Engine.
func (e engine) Cancel(ctx context.Context, id string) error {
	return e.call(ctx, http.MethodPost, PathCancel+"?"+url.Values{"id": {id}}.Encode(), nil, nil)
}

// Prefill implements endpoint.Engine.
func (e engine) Prefill(ctx context.Context, s endpoint.PrefillRequest) (endpoint.KVHandle, error) {
	var h endpoint.KVHandle
	err := e.call(ctx, http.MethodPost, PathPrefill, s, &h)
	return h, err
}

// ApplyOrder implements endpoint.Engine.
func (e engine) ApplyOrder(ctx context.Context, o endpoint.Order) error {
	return e.call(ctx, http.MethodPost, PathOrder, o, nil)
}

// Report implements endpoint.Engine.
func (e engine) Report(ctx context.Context) (endpoint.LoadReport, error) {
	var r endpoint.LoadReport
	err := e.call(ctx, http.MethodGet, PathReport, nil, &r)
	return r, err
}

// CacheEvents implements endpoint.Engine.
func (e engine) CacheEvents(ctx context.Context, seq int64) ([]endpoint.CacheEvent, error) {
	var events []endpoint.CacheEvent
	path := PathCacheEvents + "?after=" + strconv.FormatInt(seq, 10)
	err := e.call(ctx, http.MethodGet, path, nil, &events)
	return events, err
}

// tokenStream reads server-sent events.
type tokenStream struct {
	ctx   context.Context
	body  io.ReadCloser
	lines *bufio.Reader
	usage endpoint.Usage
	end   error
}

func newStream(ctx context.Context, resp *http.Response) *tokenStream {
	return &tokenStream{ctx: ctx, body: resp.Body, lines: bufio.NewReader(resp.Body)}
}

// Recv implements endpoint.TokenStream.
func (s *tokenStream) Recv() (endpoint.Token, error) {
	if s.end != nil {
		return endpoint.Token{}, s.end
	}
	var token endpoint.Token
	event, data, err := s.event()
	switch {
	case err != nil:
		s.end = down(s.ctx, err)
	case event == EventToken:
		if err = json.Unmarshal(data, &token); err != nil {
			s.end = down(s.ctx, err)
		}
	case event == EventEnd:
		s.end = io.EOF
		if err = json.Unmarshal(data, &s.usage); err != nil {
			s.end = down(s.ctx, err)
		}
	default:
		s.end = streamFailure(data)
	}
	return token, s.end
}

func streamFailure(data []byte) error {
	var f ErrorBody
	if err := json.Unmarshal(data, &f); err != nil {
		return errors.Wrap(endpoint.ErrDown, err.Error())
	}
	return f.Err()
}

// event reads one event, which has an event line, a data line and an empty line.
func (s *tokenStream) event() (name string, data []byte, err error) {
	for {
		line, err := s.lines.ReadBytes('\n')
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

// Usage implements endpoint.TokenStream.
func (s *tokenStream) Usage() endpoint.Usage { return s.usage }

// Close implements endpoint.TokenStream.
func (s *tokenStream) Close() error { return s.body.Close() }

type service struct{ client }

// NewService returns the plain service at a base URL. A nil client is http.DefaultClient.
func NewService(base string, c *http.Client) endpoint.Service { return service{newClient(base, c)} }

// onceReader hides the type of its reader from net/http. The transport sends a request with an Idempotency-Key again
// on a new connection when the old one breaks, unless it cannot rewind the body; the endpoint may have executed it.
type onceReader struct{ io.Reader }

// Do implements endpoint.Service.
func (s service) Do(ctx context.Context, c endpoint.Call) (endpoint.Response, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, s.base+PathCall+c.Path, onceReader{bytes.NewReader(c.Body)})
	if err != nil {
		return endpoint.Response{}, errors.Wrap(err, "service call")
	}
	req.Header = c.Header.Clone()
	req.ContentLength = int64(len(c.Body))
	resp, err := s.http.Do(req)
	if err != nil {
		return endpoint.Response{}, down(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get(HeaderFailure) != "" {
		return endpoint.Response{}, failure(resp)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxBodyBytes))
	if err != nil {
		return endpoint.Response{}, down(ctx, err)
	}
	return endpoint.Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// CheckHealth implements endpoint.Service.
func (s service) CheckHealth(ctx context.Context) error {
	return s.call(ctx, http.MethodGet, PathHealth, nil, nil)
}
