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
	Model string        `default:"puli" help:"Model to roll out."`
	To    string        `required:"" help:"New version."`
	Fail  string        `help:"Endpoint that fails as soon as it has loaded the new version; the rollout must then stop."`
	Watch time.Duration `default:"2m" help:"With --fail: how long to watch the rollout; otherwise: time limit of the rollout."`
}

// RolloutReport is the result of one rollout. It counts the endpoints that serve the model.
type RolloutReport struct {
	Model          string         `json:"model"`
	To             string         `json:"to"`
	Endpoints      int            `json:"endpoints"`
	Changed        int            `json:"changed"`      // endpoints that have loaded the new version at the end
	MaxChanging    int            `json:"max_changing"` // maximum number of endpoints without a loaded version at a time
	Seconds        float64        `json:"seconds"`      // from the acceptance until all endpoints have changed or the watch ends
	TicketsIssued  int            `json:"tickets_issued"`
	TicketsRefused int            `json:"tickets_refused"`
	Outcomes       map[string]int `json:"outcomes"` // number of chats during the rollout, by outcome
	Faults         []string       `json:"faults"`   // of the endpoints, as the status shows them at the end
}

// Run submits the new version, watches the rollout and prints the report. It fails if the rollout did not reach
// every endpoint or, with --fail, if it reached all of them.
func (c *RolloutCommand) Run(k *kong.Kong) error {
	ctx := context.Background()
	client := newClient(c.Flags)
	if err := client.awaitStatus(ctx, settleTimeout, isSettled); err != nil {
		return errors.Wrap(err, "fleet has not settled before the rollout")
	}
	before, err := client.counters(ctx)
	if err != nil {
		return err
	}
	callers := client.startCallers(ctx, fmt.Sprintf("rollout %d", c.Seed))
	defer callers.stopAndWait()
	sub, err := client.submitChange(ctx, func(t *fleet.Text) { t.Models[c.Model].Version = c.To })
	if err != nil {
		return err
	}
	report, err := c.watch(ctx, client, sub)
	if err != nil {
		return err
	}
	report.Outcomes = make(map[string]int)
	for _, a := range callers.stopAndWait() {
		if a.complete {
			report.Outcomes["whole"]++
		} else {
			report.Outcomes[a.errorKind]++
		}
	}
	after, err := client.counters(ctx)
	if err != nil {
		return err
	}
	report.TicketsIssued = after.Tickets.Issued - before.Tickets.Issued
	report.TicketsRefused = after.Tickets.Refused - before.Tickets.Refused
	if err := writeJSON(c.JSON, report); err != nil {
		return err
	}
	if err := report.writeText(k.Stdout); err != nil {
		return err
	}
	switch {
	case c.Fail == "" && report.Changed < report.Endpoints:
		return errors.New("the rollout did not reach every endpoint")
	case c.Fail != "" && report.Changed == report.Endpoints:
		return errors.New("the rollout continued past a failed endpoint")
	}
	return nil
}

// watch polls the status until all endpoints have loaded the new version or the watch ends. With --fail, it makes the
// endpoint fail once that has loaded the new version, and watches until the end.
func (c *RolloutCommand) watch(ctx context.Context, client *client, sub submission) (RolloutReport, error) {
	report := RolloutReport{Model: c.Model, To: c.To}
	failed := false
	err := client.awaitStatus(ctx, c.Watch, func(st operator.Status) bool {
		changing := 0
		report.Endpoints, report.Changed, report.Faults = 0, 0, nil
		for _, n := range st.Nodes {
			if !c.servesModel(n) {
				continue
			}
			report.Endpoints++
			switch {
			case c.containsModel(n.Loaded, c.To):
				report.Changed++
			case !c.containsModel(n.Loaded, ""):
				changing++
			}
			if n.Fault != "" || n.OrderFault != "" {
				report.Faults = append(report.Faults, n.Endpoint+": "+n.Fault+n.OrderFault)
			}
			if n.Endpoint == c.Fail && c.containsModel(n.Loaded, c.To) && !failed {
				failed = client.putFaults(ctx, fmt.Sprintf(`{"engine_down": [%q]}`, c.Fail)) == nil
			}
		}
		report.MaxChanging = max(report.MaxChanging, changing)
		return st.Epoch >= sub.epoch && report.Endpoints > 0 && report.Changed == report.Endpoints && c.Fail == ""
	})
	report.Seconds = time.Since(sub.acceptedAt).Seconds()
	if errors.Is(err, context.DeadlineExceeded) {
		err = nil // the report shows how far the rollout came
	}
	return report, err
}

// servesModel reports whether the configuration assigns a version of the model to the node: it is loaded or still missing.
func (c *RolloutCommand) servesModel(n epoch.NodeStatus) bool {
	return c.containsModel(n.Loaded, "") || c.containsModel(n.Missing, "")
}

// containsModel reports whether versions contains the given version of the model without an adapter. An empty version
// matches any.
func (c *RolloutCommand) containsModel(versions []endpoint.Version, version string) bool {
	for _, v := range versions {
		if v.Model == c.Model && v.Adapter == "" && (version == "" || v.Version == version) {
			return true
		}
	}
	return false
}

func (r RolloutReport) writeText(out io.Writer) error {
	_, err := fmt.Fprintf(out, "rollout of %s to %s: %d of %d endpoints after %.1f s, at most %d at a time held neither version\n"+
		"tickets: %d issued, %d refused (%.1f/s)\nchats: %v\nfaults: %v\n", r.Model, r.To, r.Changed, r.Endpoints, r.Seconds,
		r.MaxChanging, r.TicketsIssued, r.TicketsRefused, float64(r.TicketsRefused)/r.Seconds, r.Outcomes, r.Faults)
	return err
}
