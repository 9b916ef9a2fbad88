// Package trial measures recalls and rollouts on a running development fleet, through its HTTP interfaces only.
package trial

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/cloud/cloudhttp"
	"github.com/bilberrylink/bilberrylink/epoch"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/internal/operator"
	"github.com/bilberrylink/bilberrylink/internal/standin"
	"github.com/bilberrylink/bilberrylink/internal/timing"
)

const (
	poll         = 20 * time.Millisecond
	settleLimit  = 2 * time.Minute  // for a fleet to be whole again after a trial
	submitLimit  = 30 * time.Second // for an acceptance that is in doubt at first
	requestLimit = 20 * time.Second
)

// Flags say how to reach the fleet.
type Flags struct {
	Entries []string `name:"entry" required:"" help:"Base URL of an entry; repeat or separate by commas for several."`
	Standin string   `required:"" help:"Base URL of the stand-in."`
	Token   string   `default:"bilberry-dev-operator" help:"Operator token."`
	Key     string   `default:"bilberry-dev" help:"Caller's key."`
	Service string   `default:"herder-replies" help:"Service that the callers ask."`
	Rate    float64  `default:"100" help:"Chats per second."`
	Seed    uint64   `default:"1" help:"Seed of prompts and moments."`
	JSON    string   `name:"json" type:"path" help:"Write the report to this file."`
}

// client speaks to the entries as an operator and to the stand-in.
type client struct {
	flags Flags
	http  *http.Client
	table cloud.Table
}

func newClient(f Flags) *client {
	// Chats keep many connections open; a small idle pool would open new ones all the time.
	h := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: requestLimit}
	return &client{flags: f, http: h, table: cloudhttp.New(strings.TrimSuffix(f.Standin, "/"), h).Table}
}

// call sends one request and returns the answer's body. An answer other than 200 is an error.
func (c *client) call(ctx context.Context, method, url string, body []byte, header http.Header) ([]byte, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.flags.Token)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.Errorf("%s %s: %s: %s", method, url, resp.Status, answer)
	}
	return answer, resp.Header, err
}

// faults merges a JSON object into the stand-in's faults.
func (c *client) faults(ctx context.Context, object string) error {
	_, _, err := c.call(ctx, http.MethodPut, c.flags.Standin+standin.PathFaults, []byte(object), nil)
	return errors.Wrap(err, "faults")
}

func (c *client) counts(ctx context.Context) (standin.Counts, error) {
	var counts standin.Counts
	body, _, err := c.call(ctx, http.MethodGet, c.flags.Standin+standin.PathCounters, nil, nil)
	if err != nil {
		return counts, err
	}
	return counts, errors.Wrap(json.Unmarshal(body, &counts), "counters")
}

func (c *client) status(ctx context.Context) (operator.Status, error) {
	var st operator.Status
	body, _, err := c.call(ctx, http.MethodGet, c.flags.Entries[0]+"/v1/fleet/status", nil, nil)
	if err != nil {
		return st, err
	}
	return st, errors.Wrap(json.Unmarshal(body, &st), "status")
}

// text returns the current text and its ETag.
func (c *client) text(ctx context.Context) (*fleet.Text, string, error) {
	body, header, err := c.call(ctx, http.MethodGet, c.flags.Entries[0]+"/v1/fleet", nil, nil)
	if err != nil {
		return nil, "", err
	}
	text, faults := fleet.Parse(body)
	if len(faults) > 0 {
		return nil, "", errors.Errorf("current text: %s", faults[0])
	}
	return text, header.Get("ETag"), nil
}

// submission is an accepted change with the times around it.
type submission struct {
	sent, answered time.Time
	epoch          int64
	tries          int
}

// change submits what edit makes of the current text, and repeats the submission while its outcome is not known.
func (c *client) change(ctx context.Context, edit func(*fleet.Text)) (submission, error) {
	text, tag, err := c.text(ctx)
	if err != nil {
		return submission{}, err
	}
	edit(text)
	raw, err := yaml.Marshal(text)
	if err != nil {
		return submission{}, errors.Wrap(err, "text")
	}
	header := http.Header{"If-Match": {tag}, operator.SubmissionHeader: {rand.Text()}, operator.OperatorHeader: {"trial"}}
	s := submission{sent: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, submitLimit)
	defer cancel()
	for {
		s.tries++
		body, _, err := c.call(ctx, http.MethodPut, c.flags.Entries[0]+"/v1/fleet", raw, header)
		if err == nil {
			var accepted epoch.SubmitResult
			s.answered = time.Now()
			err = json.Unmarshal(body, &accepted)
			s.epoch = accepted.Epoch
			return s, errors.Wrap(err, "answer")
		}
		if !strings.Contains(err.Error(), "acceptance_unknown") && !strings.Contains(err.Error(), "store_unavailable") {
			return s, err
		}
		if timing.Sleep(ctx, poll) != nil {
			return s, err
		}
	}
}

// awaitInForce returns when the status says that the epoch is in force.
func (c *client) awaitInForce(ctx context.Context, epoch int64) (time.Time, error) {
	err := c.await(ctx, settleLimit, func(st operator.Status) bool { return st.Epoch >= epoch && st.InForce })
	return time.Now(), errors.Wrap(err, "in force")
}

// await polls the status until done.
func (c *client) await(ctx context.Context, limit time.Duration, done func(operator.Status) bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		st, err := c.status(ctx)
		if err == nil && done(st) {
			return nil
		}
		if timing.Sleep(ctx, poll) != nil {
			return errors.Wrapf(ctx.Err(), "status: %+v, %v", st.Unconfirmed, err)
		}
	}
}

// whole reports whether every node is confirmed and every engine holds what the text gives it.
func whole(st operator.Status) bool {
	for _, n := range st.Nodes {
		if len(n.Missing) > 0 || n.Fault != "" || n.OrderFault != "" || !n.Live {
			return false
		}
	}
	return st.InForce && len(st.Unconfirmed) == 0
}
