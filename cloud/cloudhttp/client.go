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
)

type client struct {
	base string
	http *http.Client
}

// New returns the platform's services at a base URL. A nil client is http.DefaultClient.
func New(base string, c *http.Client) cloud.Services {
	if c == nil {
		c = http.DefaultClient
	}
	cl := &client{base: strings.TrimRight(base, "/"), http: c}
	return cloud.Services{Table: table{cl}, Objects: objects{cl}, Weights: weights{cl}, VMs: vms{cl}}
}

// errTransport marks a call that got no usable answer, so that it may or may not have taken effect.
var errTransport = errors.New("platformhttp: no answer")

// do sends a request and returns the body of a 2xx answer. Errors: the typed ones of package platform, ErrUnavailable
// when no connection was made, context errors, and errTransport for anything else.
func (c *client) do(ctx context.Context, method, path string, query url.Values, body []byte) ([]byte, error) {
	target := c.base + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "platform request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, transportError(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxBodyBytes))
	if err != nil {
		return nil, transportError(ctx, err)
	}
	if resp.StatusCode/100 == 2 {
		return data, nil
	}
	return nil, answerError(resp.StatusCode, data)
}

func transportError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrap(cloud.ErrUnavailable, err.Error())
	}
	return errors.Wrap(errTransport, err.Error())
}

func answerError(status int, data []byte) error {
	var f ErrorBody
	if err := json.Unmarshal(data, &f); err != nil {
		return errors.Wrapf(errTransport, "status %d", status)
	}
	if err := f.Err(); err != nil {
		return err
	}
	return errors.Wrapf(errTransport, "status %d: %s", status, f.Message)
}

// read is do for calls without effect: a missing answer means that the service is unavailable.
func (c *client) read(ctx context.Context, path string, query url.Values, into any) error {
	data, err := c.do(ctx, http.MethodGet, path, query, nil)
	if err != nil {
		return unavailable(err)
	}
	return unavailable(decode(data, into))
}

func unavailable(err error) error {
	if errors.Is(err, errTransport) {
		return errors.Wrap(cloud.ErrUnavailable, err.Error())
	}
	return err
}

func decode(data []byte, into any) error {
	if err := json.Unmarshal(data, into); err != nil {
		return errors.Wrap(errTransport, err.Error())
	}
	return nil
}

type table struct{ *client }

// Get implements cloud.Table.
func (t table) Get(ctx context.Context, key string) (cloud.Row, error) {
	var row cloud.Row
	err := t.read(ctx, PathRow, url.Values{"key": {key}}, &row)
	return row, err
}

// Commit implements cloud.Table. Without a usable answer the write is in doubt, unless no connection was made.
func (t table) Commit(ctx context.Context, writes ...cloud.Write) ([]cloud.Row, error) {
	body, err := json.Marshal(CommitRequest{Writes: writes})
	if err != nil {
		return nil, errors.Wrap(err, "commit")
	}
	data, err := t.do(ctx, http.MethodPost, PathCommit, nil, body)
	if err != nil {
		return nil, inDoubt(ctx, err)
	}
	var rows RowsResponse
	if err = decode(data, &rows); err != nil {
		return nil, inDoubt(ctx, err)
	}
	return rows.Rows, nil
}

func inDoubt(ctx context.Context, err error) error {
	if errors.Is(err, errTransport) || ctx.Err() != nil {
		return errors.Wrap(cloud.ErrInDoubt, err.Error())
	}
	return err
}

// Scan implements cloud.Table.
func (t table) Scan(ctx context.Context, prefix, after string, limit int) ([]cloud.Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var rows RowsResponse
	err := t.read(ctx, PathScan, query, &rows)
	return rows.Rows, err
}

type objects struct{ *client }

// Put implements cloud.ObjectStore. Objects are immutable, so a put without an answer can be repeated.
func (o objects) Put(ctx context.Context, name string, data []byte) error {
	_, err := o.do(ctx, http.MethodPut, PathObject, url.Values{"name": {name}}, data)
	return unavailable(err)
}

// Get implements cloud.ObjectStore.
func (o objects) Get(ctx context.Context, name string) ([]byte, error) {
	data, err := o.do(ctx, http.MethodGet, PathObject, url.Values{"name": {name}}, nil)
	return data, unavailable(err)
}

type weights struct{ *client }

// IssueTicket implements cloud.WeightStore.
func (w weights) IssueTicket(ctx context.Context, name string) (string, error) {
	data, err := w.do(ctx, http.MethodPost, PathWeights, url.Values{"name": {name}}, nil)
	if err != nil {
		return "", unavailable(err)
	}
	var t TicketResponse
	err = unavailable(decode(data, &t))
	return t.Ticket, err
}

type vms struct{ *client }

// List implements cloud.VMList.
func (v vms) List(ctx context.Context) ([]cloud.VM, error) {
	var list VMListResponse
	err := v.read(ctx, PathVMs, nil, &list)
	return list.VMs, err
}
