package trial

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/epoch"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/internal/operator"
)

// RolloutCommand is `bilberry-load rollout`.
type RolloutCommand struct {
	Flags
	Model string        `default:"puli" help:"Model whose version changes."`
	To    string        `required:"" help:"New version."`
	Fail  string        `help:"Endpoint that goes down as soon as it holds the new version; the rollout must then stop."`
	Watch time.Duration `default:"2m" help:"With --fail: time to watch; else: limit of the rollout."`
}

// RolloutReport is the outcome of one rollout. Shares are of the model's endpoints.
type RolloutReport struct {
	Model       string         `json:"model"`
	To          string         `json:"to"`
	Endpoints   int            `json:"endpoints"`
	Changed     int            `json:"changed"`      // endpoints that hold the new version at the end
	MaxChanging int            `json:"max_changing"` // endpoints that held neither version at one moment
	Seconds     float64        `json:"seconds"`      // from the acceptance to the last change, or to the end of the watch
	Issued      int            `json:"tickets_issued"`
	Refused     int            `json:"tickets_refused"`
	Outcomes    map[string]int `json:"outcomes"` // of the chats during the rollout
	Faults      []string       `json:"faults"`   // that the status shows at the end
}

// Run makes the rollout and fails if it does not end as it must.
func (c *RolloutCommand) Run(k *kong.Kong) error {
	ctx := context.Background()
	client := newClient(c.Flags)
	if err := client.await(ctx, settleLimit, whole); err != nil {
		return errors.Wrap(err, "fleet is not whole")
	}
	before, err := client.counts(ctx)
	if err != nil {
		return err
	}
	callers := client.startCallers(ctx, fmt.Sprintf("rollout %d", c.Seed))
	defer callers.finish()
	s, err := client.change(ctx, func(t *fleet.Text) { t.Models[c.Model].Version = c.To })
	if err != nil {
		return err
	}
	report, err := c.watch(ctx, client, s)
	if err != nil {
		return err
	}
	report.Outcomes = make(map[string]int)
	for _, a := range callers.finish() {
		if a.whole {
			report.Outcomes["whole"]++
		} else {
			report.Outcomes[a.kind]++
		}
	}
	after, err := client.counts(ctx)
	if err != nil {
		return err
	}
	report.Issued = after.Tickets.Issued - before.Tickets.Issued
	report.Refused = after.Tickets.Refused - before.Tickets.Refused
	if err := writeJSON(c.JSON, report); err != nil {
		return err
	}
	if err := report.write(k.Stdout); err != nil {
		return err
	}
	switch {
	case c.Fail == "" && report.Changed < report.Endpoints:
		return errors.New("the rollout did not reach every endpoint")
	case c.Fail != "" && report.Changed == report.Endpoints:
		return errors.New("the rollout went on over a failed endpoint")
	}
	return nil
}

// watch follows the status until all endpoints hold the new version or the time is up.
func (c *RolloutCommand) watch(ctx context.Context, client *client, s submission) (RolloutReport, error) {
	report := RolloutReport{Model: c.Model, To: c.To}
	failed := false
	err := client.await(ctx, c.Watch, func(st operator.Status) bool {
		changing := 0
		report.Endpoints, report.Changed, report.Faults = 0, 0, nil
		for _, n := range st.Nodes {
			if !c.concerns(n) {
				continue
			}
			report.Endpoints++
			switch {
			case c.holds(n.Loaded, c.To):
				report.Changed++
			case !c.holds(n.Loaded, ""):
				changing++
			}
			if n.Fault != "" || n.OrderFault != "" {
				report.Faults = append(report.Faults, n.Endpoint+": "+n.Fault+n.OrderFault)
			}
			if n.Endpoint == c.Fail && c.holds(n.Loaded, c.To) && !failed {
				failed = client.faults(ctx, fmt.Sprintf(`{"engine_down": [%q]}`, c.Fail)) == nil
			}
		}
		report.MaxChanging = max(report.MaxChanging, changing)
		return st.Epoch >= s.epoch && report.Endpoints > 0 && report.Changed == report.Endpoints && c.Fail == ""
	})
	report.Seconds = time.Since(s.answered).Seconds()
	if errors.Is(err, context.DeadlineExceeded) {
		err = nil // the report says how far it came
	}
	return report, err
}

// concerns reports whether the text gives a version of the model to the node.
func (c *RolloutCommand) concerns(n epoch.NodeStatus) bool {
	return c.holds(n.Loaded, "") || c.holds(n.Missing, "")
}

// holds reports whether versions contains the model's base in a version; empty: in any.
func (c *RolloutCommand) holds(versions []endpoint.Version, version string) bool {
	for _, v := range versions {
		if v.Model == c.Model && v.Adapter == "" && (version == "" || v.Version == version) {
			return true
		}
	}
	return false
}

func (r RolloutReport) write(out io.Writer) error {
	_, err := fmt.Fprintf(out, "rollout of %s to %s: %d of %d endpoints after %.1f s, at most %d at a time held neither version\n"+
		"tickets: %d issued, %d refused (%.1f/s)\nchats: %v\nfaults: %v\n", r.Model, r.To, r.Changed, r.Endpoints, r.Seconds,
		r.MaxChanging, r.Issued, r.Refused, float64(r.Refused)/r.Seconds, r.Outcomes, r.Faults)
	return err
}
