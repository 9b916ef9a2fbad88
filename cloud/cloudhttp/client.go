package cloudhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/internal/transport"
)

type client struct {
	baseURL    string
	httpClient *http.Client
}

// New returns clients of the platform's services at a base URL. If c is nil, they use http.DefaultClient.
func New(baseURL string, httpClient *http.Client) cloud.Services {
	if httpClient == nil {
		httpClient = http.DefaultClient
	}
	cl := &client{baseURL: strings.TrimRight(baseURL, "/"), httpClient: transport.RepeatLate(httpClient, transport.Safe)}
	return cloud.Services{Table: table{cl}, Objects: objects{cl}, Weights: weights{cl}, VMs: vms{cl}}
}

// errNoResponse means that a call got no usable response, so it may or may not have taken effect.
var errNoResponse = errors.New("cloudhttp: no usable response")

// do sends a request and returns the body of a 2xx response. Errors: the typed errors of package cloud, which include
// cloud.ErrUnavailable if no connection was established; context errors; errNoResponse for anything else.
func (c *client) do(ctx context.Context, method, path string, query url.Values, body []byte) ([]byte, error) {
	target := c.baseURL + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "platform request")
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, transportError(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxBodyBytes+1))
	if err == nil && len(data) > MaxBodyBytes {
		err = errors.New("response is longer than expected")
	}
	if err != nil {
		return nil, transportError(ctx, err)
	}
	if resp.StatusCode/100 == 2 {
		return data, nil
	}
	return nil, responseError(resp.StatusCode, data)
}

// transportError returns the context's error if the context has ended, cloud.ErrUnavailable if no connection was
// established, and errNoResponse otherwise.
func transportError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return errors.Wrap(cloud.ErrUnavailable, err.Error())
	}
	return errors.Wrap(errNoResponse, err.Error())
}

func responseError(status int, data []byte) error {
	var body ErrorBody
	if err := json.Unmarshal(data, &body); err != nil {
		return errors.Wrapf(errNoResponse, "status %d", status)
	}
	if err := body.Err(); err != nil {
		return err
	}
	return errors.Wrapf(errNoResponse, "status %d: %s", status, body.Message)
}

// getJSON sends a GET request and decodes the response into result. Without a usable response it returns
// cloud.ErrUnavailable, since it does not matter whether a call without side effects was processed.
func (c *client) getJSON(ctx context.Context, path string, query url.Values, result any) error {
	data, err := c.do(ctx, http.MethodGet, path, query, nil)
	if err != nil {
		return asUnavailable(err)
	}
	return asUnavailable(decode(data, result))
}

// asUnavailable converts errNoResponse to cloud.ErrUnavailable.
func asUnavailable(err error) error {
	if errors.Is(err, errNoResponse) {
		return errors.Wrap(cloud.ErrUnavailable, err.Error())
	}
	return err
}

func decode(data []byte, result any) error {
	if err := json.Unmarshal(data, result); err != nil {
		return errors.Wrap(errNoResponse, err.Error())
	}
	return nil
}

type table struct{ *client }

// Get implements cloud.Table.
func (t table) Get(ctx context.Context, key string) (cloud.Row, error) {
	var row cloud.Row
	err := t.getJSON(ctx, PathRow, url.Values{"key": {key}}, &row)
	return row, err
}

// Commit implements cloud.Table. Without a usable response the write is in doubt, unless no connection was established.
func (t table) Commit(ctx context.Context, writes ...cloud.Write) ([]cloud.Row, error) {
	body, err := json.Marshal(CommitRequest{Writes: writes})
	if err != nil {
		return nil, errors.Wrap(err, "commit")
	}
	data, err := t.do(ctx, http.MethodPost, PathCommit, nil, body)
	if err != nil {
		return nil, asInDoubt(ctx, err)
	}
	var rows RowsResponse
	if err = decode(data, &rows); err != nil {
		return nil, asInDoubt(ctx, err)
	}
	return rows.Rows, nil
}

// asInDoubt converts errNoResponse, and any error after the end of the context, to cloud.ErrInDoubt.
func asInDoubt(ctx context.Context, err error) error {
	if errors.Is(err, errNoResponse) || ctx.Err() != nil {
		return errors.Wrap(cloud.ErrInDoubt, err.Error())
	}
	return err
}

// Scan implements cloud.Table.
func (t table) Scan(ctx context.Context, prefix, after string, limit int) ([]cloud.Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var rows RowsResponse
	err := t.getJSON(ctx, PathScan, query, &rows)
	return rows.Rows, err
}

type objects struct{ *client }

// Put implements cloud.ObjectStore. Without a usable response it returns ErrUnavailable; the caller can repeat the call
// because objects are immutable.
func (o objects) Put(ctx context.Context, name string, data []byte) error {
	_, err := o.do(ctx, http.MethodPut, PathObject, url.Values{"name": {name}}, data)
	return asUnavailable(err)
}

// Get implements cloud.ObjectStore.
func (o objects) Get(ctx context.Context, name string) ([]byte, error) {
	data, err := o.do(ctx, http.MethodGet, PathObject, url.Values{"name": {name}}, nil)
	return data, asUnavailable(err)
}

type weights struct{ *client }

// IssueTicket implements cloud.WeightStore.
func (w weights) IssueTicket(ctx context.Context, name string) (string, error) {
	data, err := w.do(ctx, http.MethodPost, PathWeights, url.Values{"name": {name}}, nil)
	if err != nil {
		return "", asUnavailable(err)
	}
	var t TicketResponse
	err = asUnavailable(decode(data, &t))
	return t.Ticket, err
}

type vms struct{ *client }

// List implements cloud.VMList. An entry that cannot be decoded is an empty VM, so that it hides no other.
func (v vms) List(ctx context.Context) ([]cloud.VM, error) {
	var list struct {
		VMs []json.RawMessage `json:"vms"`
	}
	if err := v.getJSON(ctx, PathVMs, nil, &list); err != nil {
		return nil, err
	}
	result := make([]cloud.VM, len(list.VMs))
	for i, entry := range list.VMs {
		if json.Unmarshal(entry, &result[i]) != nil {
			result[i] = cloud.VM{}
		}
	}
	return result, nil
}
