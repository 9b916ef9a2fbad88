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

// Faults of a recall trial.
const (
	faultNone      = "none"
	faultTable     = "table"     // the table fails right after the write of the acceptance
	faultPartition = "partition" // a failure domain is parted from the others and from the platform
)

const (
	warmUp      = time.Second     // of callers before the recall, at least
	spread      = time.Second     // of the moment of the recall over the trials
	afterwards  = 2 * time.Second // of callers after the recall is in force
	partitioned = 300 * time.Millisecond
)

// RecallCommand is `bilberry-load recall`.
type RecallCommand struct {
	Flags
	Name   string `default:"letters-2026-11" help:"Name to recall."`
	Trials int    `default:"10" help:"Number of recalls; each is reinstated afterwards."`
	Fault  string `default:"none" enum:"none,table,partition" help:"Fault during the recall (${enum})."`
	Domain string `default:"alfold-b" help:"With --fault partition: failure domain that is parted."`
}

// RecallTrial is the outcome of one recall. Times are milliseconds.
type RecallTrial struct {
	AnsweredMs   float64        `json:"answered_ms"`    // from sending the text to the answer of its acceptance
	InForceMs    float64        `json:"in_force_ms"`    // from the answer to the status that says in force
	LastStartMs  float64        `json:"last_start_ms"`  // from sending the text to the last first token that an engine computed from the name
	LastSeenMs   float64        `json:"last_seen_ms"`   // from sending the text to the last first token from the name that a caller received
	WholeAgainMs float64        `json:"whole_again_ms"` // from the reinstatement to all engines holding their versions
	LateStarts   int            `json:"late_starts"`    // first tokens that engines computed from the name after in force
	LateSeen     int            `json:"late_seen"`      // first tokens from the name that callers received after in force
	Fallback     int            `json:"fallback"`       // whole answers from another version after the acceptance
	Outcomes     map[string]int `json:"outcomes"`       // of chats sent after the acceptance
	Tries        int            `json:"tries"`
}

// RecallReport is the outcome of a run.
type RecallReport struct {
	Name   string        `json:"name"`
	Fault  string        `json:"fault"`
	Seed   uint64        `json:"seed"`
	Rate   float64       `json:"rate"`
	Trials []RecallTrial `json:"trials"`
}

// Run makes the trials and fails if an answer from the name began after the recall was in force.
func (c *RecallCommand) Run(k *kong.Kong) error {
	report := RecallReport{Name: c.Name, Fault: c.Fault, Seed: c.Seed, Rate: c.Rate}
	rng := rand.New(rand.NewPCG(c.Seed, 0))
	client := newClient(c.Flags)
	if err := client.await(context.Background(), settleLimit, whole); err != nil {
		return errors.Wrap(err, "fleet is not whole")
	}
	for i := range c.Trials {
		t, err := c.trial(context.Background(), client, rng, i)
		if err != nil {
			return errors.Wrapf(err, "trial %d", i+1)
		}
		report.Trials = append(report.Trials, t)
	}
	if err := writeJSON(c.JSON, report); err != nil {
		return err
	}
	if err := report.write(k.Stdout); err != nil {
		return err
	}
	late := 0
	for _, t := range report.Trials {
		late += t.LateStarts + t.LateSeen
	}
	if late > 0 {
		return errors.Errorf("%d answers from %s began after the recall was in force", late, c.Name)
	}
	return nil
}

func (c *RecallCommand) trial(ctx context.Context, client *client, rng *rand.Rand, i int) (RecallTrial, error) {
	var t RecallTrial
	text, _, err := client.text(ctx)
	if err != nil {
		return t, err
	}
	recalled := versionsOf(text, c.Name)
	callers := client.startCallers(ctx, fmt.Sprintf("trial %d/%d", c.Seed, i))
	defer callers.finish()
	if err := timing.Sleep(ctx, warmUp+time.Duration(rng.Int64N(int64(spread)))); err != nil {
		return t, err
	}
	s, err := c.recall(ctx, client)
	if err != nil {
		return t, err
	}
	force, err := client.awaitInForce(ctx, s.epoch)
	if err != nil {
		return t, err
	}
	if err := timing.Sleep(ctx, afterwards); err != nil {
		return t, err
	}
	answers := callers.finish()
	counts, err := client.counts(ctx)
	if err != nil {
		return t, err
	}
	t = evaluate(s, force, c.Name, recalled, answers)
	for _, a := range counts.Answers {
		if fleet.RecallCovers(c.Name, a.Version) {
			t.engineStarts(a.Starts, s.sent, force)
		}
	}
	t.WholeAgainMs, err = c.restore(ctx, client)
	return t, err
}

// versionsOf returns the versions of the text that a recall of name concerns.
func versionsOf(text *fleet.Text, name string) []endpoint.Version {
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

// recall injects the fault and submits the recall.
func (c *RecallCommand) recall(ctx context.Context, client *client) (submission, error) {
	switch c.Fault {
	case faultPartition:
		text, _, err := client.text(ctx)
		if err != nil {
			return submission{}, err
		}
		others := slices.DeleteFunc(text.Settings.FailureDomains, func(d string) bool { return d == c.Domain })
		groups, _ := json.Marshal([][]string{append(others, "platform"), {c.Domain}}) // slices of strings always encode
		if err := client.faults(ctx, `{"partition": `+string(groups)+`}`); err != nil {
			return submission{}, err
		}
		if err := timing.Sleep(ctx, partitioned); err != nil {
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
	return client.change(ctx, func(t *fleet.Text) {
		t.Recalled = append(t.Recalled, c.Name)
		t.Reinstated = slices.DeleteFunc(t.Reinstated, func(n string) bool { return n == c.Name })
	})
}

// failTableAfter takes the table down as soon as the row of the current epoch has a newer version.
func (c *client) failTableAfter(ctx context.Context, version int64) {
	for ctx.Err() == nil {
		row, err := c.table.Get(ctx, epoch.CurrentKey)
		if err == nil && row.Version > version {
			_ = c.faults(ctx, `{"table_down": true}`) // a failure shows as a trial without the fault: the restore checks it
			return
		}
	}
}

// restore ends the faults, reinstates the name and waits until the fleet is whole.
func (c *RecallCommand) restore(ctx context.Context, client *client) (float64, error) {
	if err := client.faults(ctx, `{"reset": true}`); err != nil {
		return 0, err
	}
	s, err := client.change(ctx, func(t *fleet.Text) {
		t.Recalled = slices.DeleteFunc(t.Recalled, func(n string) bool { return n == c.Name })
		t.Reinstated = append(t.Reinstated, c.Name)
	})
	if err != nil {
		return 0, errors.Wrap(err, "reinstate")
	}
	if err := client.await(ctx, settleLimit, whole); err != nil {
		return 0, errors.Wrap(err, "fleet is not whole again")
	}
	return millis(time.Since(s.answered)), nil
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// evaluate computes the callers' view.
func evaluate(s submission, force time.Time, name string, recalled []endpoint.Version, answers []*answer) RecallTrial {
	t := RecallTrial{AnsweredMs: millis(s.answered.Sub(s.sent)), InForceMs: millis(force.Sub(s.answered)), Tries: s.tries,
		Outcomes: make(map[string]int)}
	for _, a := range answers {
		isRecalled := slices.ContainsFunc(recalled, a.from)
		if isRecalled && a.first.After(s.sent) {
			t.LastSeenMs = max(t.LastSeenMs, millis(a.first.Sub(s.sent)))
			if a.first.After(force) {
				t.LateSeen++
			}
		}
		if a.sent.Before(s.answered) {
			continue
		}
		switch {
		case a.whole && isRecalled:
			t.Outcomes["answered from "+name]++
		case a.whole:
			t.Fallback++
			t.Outcomes["fallback"]++
		default:
			t.Outcomes[a.kind]++
		}
	}
	return t
}

// engineStarts adds the times at which an engine computed first tokens of a recalled version.
func (t *RecallTrial) engineStarts(starts []time.Time, sent, force time.Time) {
	for _, at := range starts {
		if at.After(sent) {
			t.LastStartMs = max(t.LastStartMs, millis(at.Sub(sent)))
		}
		if at.After(force) {
			t.LateStarts++
		}
	}
}

func (r RecallReport) write(out io.Writer) error {
	fmt.Fprintf(out, "recall of %s, fault %s, %d trials, seed %d, %g chats/s\n", r.Name, r.Fault, len(r.Trials), r.Seed, r.Rate)
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "MILLISECONDS\tP50\tP99\tMAX")
	for _, row := range []struct {
		name string
		get  func(RecallTrial) float64
	}{
		{"text sent to acceptance", func(t RecallTrial) float64 { return t.AnsweredMs }},
		{"text sent to last first token at an engine", func(t RecallTrial) float64 { return t.LastStartMs }},
		{"text sent to last first token at a caller", func(t RecallTrial) float64 { return t.LastSeenMs }},
		{"acceptance to in force", func(t RecallTrial) float64 { return t.InForceMs }},
		{"reinstatement to all engines loaded", func(t RecallTrial) float64 { return t.WholeAgainMs }},
	} {
		values := make([]float64, 0, len(r.Trials))
		for _, t := range r.Trials {
			values = append(values, row.get(t))
		}
		fmt.Fprintf(tab, "%s\t%.0f\t%.0f\t%.0f\n", row.name, quantile(values, 0.5), quantile(values, 0.99), quantile(values, 1))
	}
	if err := tab.Flush(); err != nil {
		return err
	}
	outcomes, late, seen := make(map[string]int), 0, 0
	for _, t := range r.Trials {
		late, seen = late+t.LateStarts, seen+t.LateSeen
		for kind, n := range t.Outcomes {
			outcomes[kind] += n
		}
	}
	_, err := fmt.Fprintf(out, "first tokens after in force: %d at engines, %d at callers\nchats sent after the acceptance: %v\n", late, seen, outcomes)
	return err
}

// quantile returns the nearest-rank quantile q of values, 0 without any.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(q*float64(len(sorted)) + 0.999999)
	return sorted[min(max(rank, 1), len(sorted))-1]
}

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
