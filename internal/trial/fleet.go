// Package trial measures recalls and rollouts on a running development fleet. It uses only the fleet's HTTP interfaces.
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
	"github.com/bilberrylink/bilberrylink/internal/http1"
	"github.com/bilberrylink/bilberrylink/internal/operator"
	"github.com/bilberrylink/bilberrylink/internal/standin"
	"github.com/bilberrylink/bilberrylink/internal/timing"
)

const (
	pollInterval   = 20 * time.Millisecond
	settleTimeout  = 2 * time.Minute  // for the fleet to settle before and after a trial
	submitTimeout  = 30 * time.Second // for resolving a submission whose outcome is unknown
	requestTimeout = 20 * time.Second
)

// Flags are the flags common to the trial commands: how to reach the fleet, and the load of the callers.
type Flags struct {
	Entries []string `name:"entry" required:"" help:"Base URL of an entry; repeat or separate by commas for several."`
	Standin string   `required:"" help:"Base URL of the stand-in."`
	Token   string   `default:"bilberry-dev-operator" help:"Operator token."`
	Key     string   `default:"bilberry-dev" help:"Bearer key of the callers."`
	Service string   `default:"herder-replies" help:"Service that the callers send chats to."`
	Rate    float64  `default:"100" help:"Chats per second, over all entries."`
	Seed    uint64   `default:"1" help:"Seed of the prompts and of the times of recalls."`
	JSON    string   `name:"json" type:"path" help:"Write the report to this file."`
}

// client calls the operator API of the entries and the control interface of the stand-in.
type client struct {
	flags Flags
	http  *http.Client
	table cloud.Table
}

func newClient(f Flags) *client {
	// Chats use many connections at a time. With a small pool of idle connections, the client would constantly open new ones.
	httpClient := http1.Client(&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: requestTimeout})
	return &client{flags: f, http: httpClient, table: cloudhttp.New(strings.TrimSuffix(f.Standin, "/"), httpClient).Table}
}

// do sends one request with the operator token and returns body and headers of the response. A status other than 200 is an
// error.
func (c *client) do(ctx context.Context, method, url string, body []byte, header http.Header) ([]byte, http.Header, error) {
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

// putFaults merges a JSON object into the faults of the stand-in.
func (c *client) putFaults(ctx context.Context, object string) error {
	_, _, err := c.do(ctx, http.MethodPut, c.flags.Standin+standin.PathFaults, []byte(object), nil)
	return errors.Wrap(err, "faults")
}

func (c *client) counters(ctx context.Context) (standin.Counts, error) {
	var counts standin.Counts
	body, _, err := c.do(ctx, http.MethodGet, c.flags.Standin+standin.PathCounters, nil, nil)
	if err != nil {
		return counts, err
	}
	return counts, errors.Wrap(json.Unmarshal(body, &counts), "counters")
}

func (c *client) status(ctx context.Context) (operator.Status, error) {
	var st operator.Status
	body, _, err := c.do(ctx, http.MethodGet, c.flags.Entries[0]+"/v1/fleet/status", nil, nil)
	if err != nil {
		return st, err
	}
	return st, errors.Wrap(json.Unmarshal(body, &st), "status")
}

// fleetText returns the current configuration text and its ETag.
func (c *client) fleetText(ctx context.Context) (*fleet.Text, string, error) {
	body, header, err := c.do(ctx, http.MethodGet, c.flags.Entries[0]+"/v1/fleet", nil, nil)
	if err != nil {
		return nil, "", err
	}
	text, faults := fleet.Parse(body)
	if len(faults) > 0 {
		return nil, "", errors.Errorf("current configuration text is invalid: %s", faults[0])
	}
	return text, header.Get("ETag"), nil
}

// submission is an accepted configuration change. Its times are those of the first attempt and of the acceptance.
type submission struct {
	sentAt, acceptedAt time.Time
	epoch              int64
	attempts           int
}

// submitChange applies edit to the current configuration text and submits the result. It repeats the submission, under the
// same id, while the outcome is unknown.
func (c *client) submitChange(ctx context.Context, edit func(*fleet.Text)) (submission, error) {
	text, etag, err := c.fleetText(ctx)
	if err != nil {
		return submission{}, err
	}
	edit(text)
	raw, err := yaml.Marshal(text)
	if err != nil {
		return submission{}, errors.Wrap(err, "text")
	}
	header := http.Header{"If-Match": {etag}, operator.SubmissionHeader: {rand.Text()}, operator.OperatorHeader: {"trial"}}
	sub := submission{sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	for {
		sub.attempts++
		body, _, err := c.do(ctx, http.MethodPut, c.flags.Entries[0]+"/v1/fleet", raw, header)
		if err == nil {
			var accepted epoch.SubmitResult
			sub.acceptedAt = time.Now()
			err = json.Unmarshal(body, &accepted)
			sub.epoch = accepted.Epoch
			return sub, errors.Wrap(err, "answer")
		}
		if !strings.Contains(err.Error(), "acceptance_unknown") && !strings.Contains(err.Error(), "store_unavailable") {
			return sub, err
		}
		if timing.Sleep(ctx, pollInterval) != nil {
			return sub, err
		}
	}
}

// awaitInForce waits until the status reports that the epoch is in force, and returns the time of that report.
func (c *client) awaitInForce(ctx context.Context, epoch int64) (time.Time, error) {
	err := c.awaitStatus(ctx, settleTimeout, func(st operator.Status) bool { return st.Epoch >= epoch && st.InForce })
	return time.Now(), errors.Wrap(err, "wait for the epoch to be in force")
}

// awaitStatus polls the status of the fleet until done returns true for it, or until the timeout.
func (c *client) awaitStatus(ctx context.Context, timeout time.Duration, done func(operator.Status) bool) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		st, err := c.status(ctx)
		if err == nil && done(st) {
			return nil
		}
		if timing.Sleep(ctx, pollInterval) != nil {
			return errors.Wrapf(ctx.Err(), "status: %+v, %v", st.Unconfirmed, err)
		}
	}
}

// isSettled reports whether the configuration is in force, all nodes are live and confirmed, and all engines have loaded the
// versions that the configuration assigns to them.
func isSettled(st operator.Status) bool {
	for _, n := range st.Nodes {
		if len(n.Missing) > 0 || n.Fault != "" || n.OrderFault != "" || !n.Live {
			return false
		}
	}
	return st.InForce && len(st.Unconfirmed) == 0
}
