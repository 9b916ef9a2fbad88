package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/epoch"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/internal/timing"
)

// Faults that a recall trial can inject.
const (
	faultNone      = "none"
	faultTable     = "table"     // the table fails right after the write that accepts the recall
	faultPartition = "partition" // a failure domain is cut off from the others and from the platform
)

// Durations within a trial.
const (
	callerWarmUp        = time.Second            // minimum time of load before the recall
	recallTimeSpread    = time.Second            // range of the random delay of the recall after the warm-up
	callersAfterInForce = 2 * time.Second        // load after the recall is in force
	partitionLead       = 300 * time.Millisecond // from the partition to the recall
)

// RecallCommand is `bilberry-load recall`.
type RecallCommand struct {
	Flags
	Name   string `default:"letters-2026-11" help:"Name to recall."`
	Trials int    `default:"10" help:"Number of trials; each recalls the name and reinstates it."`
	Fault  string `default:"none" enum:"none,table,partition" help:"Fault during the recall (${enum})."`
	Domain string `default:"alfold-b" help:"With --fault partition: failure domain that is cut off."`
}

// RecallTrial is the result of one recall. Times are in milliseconds. Recalled tokens are first tokens of answers from the
// versions that the recalled name covers.
type RecallTrial struct {
	AcceptedMs        float64        `json:"answered_ms"`    // from submitting the text to the response that accepts it
	InForceMs         float64        `json:"in_force_ms"`    // from the acceptance to the status that reports the epoch in force
	LastEngineTokenMs float64        `json:"last_start_ms"`  // from submitting the text to the last recalled token at an engine
	LastCallerTokenMs float64        `json:"last_seen_ms"`   // from submitting the text to the last recalled token at a caller
	SettledAgainMs    float64        `json:"whole_again_ms"` // from the acceptance of the reinstatement until the fleet has settled
	LateEngineTokens  int            `json:"late_starts"`    // recalled tokens that engines computed after the recall was in force
	LateCallerTokens  int            `json:"late_seen"`      // recalled tokens that callers received after the recall was in force
	FallbackAnswers   int            `json:"fallback"`       // complete answers from other versions; chats sent after the acceptance
	Outcomes          map[string]int `json:"outcomes"`       // number of chats sent after the acceptance, by outcome
	SubmitAttempts    int            `json:"tries"`          // submissions until the outcome of the recall was known
}

// RecallReport is the report of the recall command.
type RecallReport struct {
	Name   string        `json:"name"`
	Fault  string        `json:"fault"`
	Seed   uint64        `json:"seed"`
	Rate   float64       `json:"rate"`
	Trials []RecallTrial `json:"trials"`
}

// Run runs the trials and prints the report. It fails if an answer from a recalled version began after the recall was in
// force.
func (c *RecallCommand) Run(k *kong.Kong) error {
	report := RecallReport{Name: c.Name, Fault: c.Fault, Seed: c.Seed, Rate: c.Rate}
	rng := rand.New(rand.NewPCG(c.Seed, 0))
	client := newClient(c.Flags)
	if err := client.awaitStatus(context.Background(), settleTimeout, isSettled); err != nil {
		return errors.Wrap(err, "fleet has not settled before the trials")
	}
	for i := range c.Trials {
		t, err := c.runTrial(context.Background(), client, rng, i)
		if err != nil {
			return errors.Wrapf(err, "trial %d", i+1)
		}
		report.Trials = append(report.Trials, t)
	}
	if err := writeJSON(c.JSON, report); err != nil {
		return err
	}
	if err := report.writeTable(k.Stdout); err != nil {
		return err
	}
	lateTokens := 0
	for _, t := range report.Trials {
		lateTokens += t.LateEngineTokens + t.LateCallerTokens
	}
	if lateTokens > 0 {
		return errors.Errorf("%d first tokens from %s after the recall was in force", lateTokens, c.Name)
	}
	return nil
}

func (c *RecallCommand) runTrial(ctx context.Context, client *client, rng *rand.Rand, i int) (RecallTrial, error) {
	var t RecallTrial
	text, _, err := client.fleetText(ctx)
	if err != nil {
		return t, err
	}
	recalled := recalledVersions(text, c.Name)
	callers := client.startCallers(ctx, fmt.Sprintf("trial %d/%d", c.Seed, i))
	defer callers.stopAndWait()
	if err := timing.Sleep(ctx, callerWarmUp+time.Duration(rng.Int64N(int64(recallTimeSpread)))); err != nil {
		return t, err
	}
	sub, err := c.submitRecall(ctx, client)
	if err != nil {
		return t, err
	}
	inForceAt, err := client.awaitInForce(ctx, sub.epoch)
	if err != nil {
		return t, err
	}
	if err := timing.Sleep(ctx, callersAfterInForce); err != nil {
		return t, err
	}
	answers := callers.stopAndWait()
	counts, err := client.counters(ctx)
	if err != nil {
		return t, err
	}
	t = evaluateAnswers(sub, inForceAt, c.Name, recalled, answers)
	for _, a := range counts.Answers {
		if fleet.RecallCovers(c.Name, a.Version) {
			t.addEngineStarts(a.Starts, sub.sentAt, inForceAt)
		}
	}
	t.SettledAgainMs, err = c.restore(ctx, client)
	return t, err
}

// recalledVersions returns the versions in the text that a recall of name covers.
func recalledVersions(text *fleet.Text, name string) []endpoint.Version {
	var versions []endpoint.Version
	add := func(v endpoint.Version) {
		if fleet.RecallCovers(name, v) {
			versions = append(versions, v)
		}
	}
	for model, m := range text.Models {
		base := endpoint.Version{Model: model, Version: m.Version, Batch: m.Batch}
		add(base)
		for adapter, a := range text.Adapters {
			if a.Model == model {
				v := base
				v.Adapter, v.AdapterVersion, v.AdapterBatch = adapter, a.Version, a.Batch
				add(v)
			}
		}
	}
	return versions
}

// submitRecall injects the fault and submits the recall.
func (c *RecallCommand) submitRecall(ctx context.Context, client *client) (submission, error) {
	switch c.Fault {
	case faultPartition:
		text, _, err := client.fleetText(ctx)
		if err != nil {
			return submission{}, err
		}
		others := slices.DeleteFunc(text.Settings.FailureDomains, func(d string) bool { return d == c.Domain })
		groups, _ := json.Marshal([][]string{append(others, "platform"), {c.Domain}}) // cannot fail for slices of strings
		if err := client.putFaults(ctx, `{"partition": `+string(groups)+`}`); err != nil {
			return submission{}, err
		}
		if err := timing.Sleep(ctx, partitionLead); err != nil {
			return submission{}, err
		}
	case faultTable:
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		row, err := client.table.Get(ctx, epoch.CurrentKey)
		if err != nil {
			return submission{}, err
		}
		go client.failTableAfter(ctx, row.Version)
	}
	return client.submitChange(ctx, func(t *fleet.Text) {
		t.Recalled = append(t.Recalled, c.Name)
		t.Reinstated = slices.DeleteFunc(t.Reinstated, func(n string) bool { return n == c.Name })
	})
}

// failTableAfter makes the table fail as soon as the row of the current epoch is newer than version.
func (c *client) failTableAfter(ctx context.Context, version int64) {
	for ctx.Err() == nil {
		row, err := c.table.Get(ctx, epoch.CurrentKey)
		if err == nil && row.Version > version {
			_ = c.putFaults(ctx, `{"table_down": true}`) // if it fails, the trial runs without the fault; restore calls the stand-in again
			return
		}
	}
}

// restore clears the faults, reinstates the name and waits until the fleet has settled. It returns the milliseconds from the
// acceptance of the reinstatement until then.
func (c *RecallCommand) restore(ctx context.Context, client *client) (float64, error) {
	if err := client.putFaults(ctx, `{"reset": true}`); err != nil {
		return 0, err
	}
	sub, err := client.submitChange(ctx, func(t *fleet.Text) {
		t.Recalled = slices.DeleteFunc(t.Recalled, func(n string) bool { return n == c.Name })
		t.Reinstated = append(t.Reinstated, c.Name)
	})
	if err != nil {
		return 0, errors.Wrap(err, "reinstate")
	}
	if err := client.awaitStatus(ctx, settleTimeout, isSettled); err != nil {
		return 0, errors.Wrap(err, "fleet has not settled after the reinstatement")
	}
	return toMillis(time.Since(sub.acceptedAt)), nil
}

func toMillis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// evaluateAnswers computes the figures that the callers observe.
func evaluateAnswers(sub submission, inForceAt time.Time, name string, recalled []endpoint.Version,
	answers []*answer,
) RecallTrial {
	t := RecallTrial{AcceptedMs: toMillis(sub.acceptedAt.Sub(sub.sentAt)), InForceMs: toMillis(inForceAt.Sub(sub.acceptedAt)),
		SubmitAttempts: sub.attempts, Outcomes: make(map[string]int)}
	for _, a := range answers {
		isRecalled := slices.ContainsFunc(recalled, a.matchesVersion)
		if isRecalled && a.firstTokenAt.After(sub.sentAt) {
			t.LastCallerTokenMs = max(t.LastCallerTokenMs, toMillis(a.firstTokenAt.Sub(sub.sentAt)))
			if a.firstTokenAt.After(inForceAt) {
				t.LateCallerTokens++
			}
		}
		if a.sentAt.Before(sub.acceptedAt) {
			continue
		}
		switch {
		case a.complete && isRecalled:
			t.Outcomes["answered from "+name]++
		case a.complete:
			t.FallbackAnswers++
			t.Outcomes["fallback"]++
		default:
			t.Outcomes[a.errorKind]++
		}
	}
	return t
}

// addEngineStarts adds the times at which engines computed first tokens of a recalled version.
func (t *RecallTrial) addEngineStarts(starts []time.Time, sentAt, inForceAt time.Time) {
	for _, at := range starts {
		if at.After(sentAt) {
			t.LastEngineTokenMs = max(t.LastEngineTokenMs, toMillis(at.Sub(sentAt)))
		}
		if at.After(inForceAt) {
			t.LateEngineTokens++
		}
	}
}

func (r RecallReport) writeTable(out io.Writer) error {
	fmt.Fprintf(out, "recall of %s, fault %s, %d trials, seed %d, %g chats/s\n", r.Name, r.Fault, len(r.Trials), r.Seed, r.Rate)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "MILLISECONDS\tP50\tP99\tMAX")
	for _, row := range []struct {
		name string
		get  func(RecallTrial) float64
	}{
		{"text sent to acceptance", func(t RecallTrial) float64 { return t.AcceptedMs }},
		{"text sent to last first token at an engine", func(t RecallTrial) float64 { return t.LastEngineTokenMs }},
		{"text sent to last first token at a caller", func(t RecallTrial) float64 { return t.LastCallerTokenMs }},
		{"acceptance to in force", func(t RecallTrial) float64 { return t.InForceMs }},
		{"reinstatement to all engines loaded", func(t RecallTrial) float64 { return t.SettledAgainMs }},
	} {
		values := make([]float64, 0, len(r.Trials))
		for _, t := range r.Trials {
			values = append(values, row.get(t))
		}
		fmt.Fprintf(table, "%s\t%.0f\t%.0f\t%.0f\n", row.name, quantile(values, 0.5), quantile(values, 0.99), quantile(values, 1))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	outcomes, engineTokens, callerTokens := make(map[string]int), 0, 0
	for _, t := range r.Trials {
		engineTokens, callerTokens = engineTokens+t.LateEngineTokens, callerTokens+t.LateCallerTokens
		for kind, n := range t.Outcomes {
			outcomes[kind] += n
		}
	}
	_, err := fmt.Fprintf(out, "first tokens after in force: %d at engines, %d at callers\nchats sent after the acceptance: %v\n",
		engineTokens, callerTokens, outcomes)
	return err
}

// quantile returns the quantile q of values by the nearest-rank method, or 0 if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(q*float64(len(sorted)) + 0.999999)
	return sorted[min(max(rank, 1), len(sorted))-1]
}

// writeJSON writes v to path; it does nothing if path is empty.
func writeJSON(path string, v any) error {
	if path == "" {
		return nil
	}
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}
