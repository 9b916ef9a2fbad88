package load

import (
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// WriteComparison writes the series of two reports side by side, with the ratio B ÷ A.
func WriteComparison(w io.Writer, a, b *Report) error {
	fmt.Fprintf(w, "A: %s, seed %d, time scale %g, %d kinds of violation\n", a.Mix, a.Seed, a.TimeScale, len(a.Violations))
	fmt.Fprintf(w, "B: %s, seed %d, time scale %g, %d kinds of violation\n", b.Mix, b.Seed, b.TimeScale, len(b.Violations))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "traffic\tmeasure\tA\tB\tB/A\t")
	for _, name := range seriesNames(a, b) {
		left, right := a.find(name), b.find(name)
		fmt.Fprintf(t, "%s\tsent\t%d\t%d\t\t\n", name, left.Sent, right.Sent)
		fmt.Fprintf(t, "%s\tok\t%d\t%d\t\t\n", name, left.OK(), right.OK())
		row(t, name, "TTFT p50 ms", left.First.P50, right.First.P50)
		row(t, name, "TTFT p95 ms", left.First.P95, right.First.P95)
		row(t, name, "per token p95 ms", left.PerToken.P95, right.PerToken.P95)
		row(t, name, "total p50 ms", left.Total.P50, right.Total.P50)
		row(t, name, "total p95 ms", left.Total.P95, right.Total.P95)
		row(t, name, "total p99 ms", left.Total.P99, right.Total.P99)
	}
	return errors.Wrap(t.Flush(), "write comparison")
}

func row(w io.Writer, name, measure string, a, b float64) {
	if a == 0 && b == 0 {
		return
	}
	fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f\t%s\t\n", name, measure, a, b, ratio(b, a))
}

func ratio(b, a float64) string {
	if a == 0 || b == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", b/a)
}

// seriesNames returns the names of both reports in the order of a, then those that only b has.
func seriesNames(reports ...*Report) []string {
	var names []string
	for _, r := range reports {
		for _, s := range r.Series {
			if !slices.Contains(names, s.Name()) {
				names = append(names, s.Name())
			}
		}
	}
	return names
}

// find returns the series of that name, or an empty one.
func (r *Report) find(name string) Series {
	for _, s := range r.Series {
		if s.Name() == name {
			return s
		}
	}
	return Series{}
}

// Slowdown is the outcome of the two phases of a slowdown experiment.
type Slowdown struct {
	Alone *Report `json:"alone"`
	With  *Report `json:"with_long"`
}

// RunSlowdown runs the requests with prompts of at most shortTokens tokens alone, then the whole mix. The short
// requests arrive at the same times in both phases; keys and contents differ, so that caches of the first phase do not
// serve the second. Calls to plain services count as short.
func RunSlowdown(ctx context.Context, o Options, shortTokens int) (*Slowdown, error) {
	short := func(a *Arrival) bool { return a.Tokens <= shortTokens }
	alone := o
	alone.Salt = o.Salt + "alone-"
	alone.Keep = short
	first, err := Run(ctx, alone)
	if err != nil {
		return nil, errors.Wrap(err, "short requests alone")
	}
	with := o
	with.Salt = o.Salt + "with-"
	second, err := Run(ctx, with)
	if err != nil {
		return nil, errors.Wrap(err, "with long requests")
	}
	return &Slowdown{Alone: first, With: second}, nil
}

// WriteTable writes the p95 of each short series in both phases and their ratio.
func (s *Slowdown) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "short traffic\tok alone\tok with long\tTTFT p95 alone\twith long\tslowdown\ttotal p95 alone\twith long\tslowdown\t")
	for _, a := range s.Alone.Series {
		b := s.With.find(a.Name())
		fmt.Fprintf(t, "%s\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t\n", a.Name(), a.OK(), b.OK(),
			columns(a.First.Count, a.First.P95), columns(b.First.Count, b.First.P95), ratio(b.First.P95, a.First.P95),
			columns(a.Total.Count, a.Total.P95), columns(b.Total.Count, b.Total.P95), ratio(b.Total.P95, a.Total.P95))
	}
	return errors.Wrap(t.Flush(), "write slowdown")
}
