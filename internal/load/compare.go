package load

import (
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// WriteComparison writes the series of two reports side by side, with the ratio B/A.
func WriteComparison(w io.Writer, a, b *Report) error {
	fmt.Fprintf(w, "A: %s, seed %d, time scale %g, %d kinds of violation\n", a.Mix, a.Seed, a.TimeScale, len(a.Violations))
	fmt.Fprintf(w, "B: %s, seed %d, time scale %g, %d kinds of violation\n", b.Mix, b.Seed, b.TimeScale, len(b.Violations))
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "traffic\tmeasure\tA\tB\tB/A\t")
	for _, name := range seriesNames(a, b) {
		left, right := a.seriesByName(name), b.seriesByName(name)
		fmt.Fprintf(table, "%s\tsent\t%d\t%d\t\t\n", name, left.Sent, right.Sent)
		fmt.Fprintf(table, "%s\tok\t%d\t%d\t\t\n", name, left.OK(), right.OK())
		writeRow(table, name, "TTFT p50 ms", left.FirstToken.P50, right.FirstToken.P50)
		writeRow(table, name, "TTFT p95 ms", left.FirstToken.P95, right.FirstToken.P95)
		writeRow(table, name, "per token p95 ms", left.TimePerToken.P95, right.TimePerToken.P95)
		writeRow(table, name, "total p50 ms", left.Total.P50, right.Total.P50)
		writeRow(table, name, "total p95 ms", left.Total.P95, right.Total.P95)
		writeRow(table, name, "total p99 ms", left.Total.P99, right.Total.P99)
	}
	return errors.Wrap(table.Flush(), "write comparison")
}

func writeRow(w io.Writer, name, measure string, a, b float64) {
	if a == 0 && b == 0 {
		return
	}
	fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f\t%s\t\n", name, measure, a, b, formatRatio(b, a))
}

func formatRatio(b, a float64) string {
	if a == 0 || b == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", b/a)
}

// seriesNames returns the names of the series of all reports without duplicates, in the order in which they first occur.
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

// seriesByName returns the series with the given name, or an empty one.
func (r *Report) seriesByName(name string) Series {
	for _, s := range r.Series {
		if s.Name() == name {
			return s
		}
	}
	return Series{}
}

// Slowdown holds the reports of the two phases of a slowdown experiment.
type Slowdown struct {
	ShortOnly *Report `json:"alone"`
	WithLong  *Report `json:"with_long"`
}

// RunSlowdown sends the requests with prompts of at most shortTokens tokens alone, and then all requests of the mix. The
// short requests arrive at the same times in both phases. Keys and contents differ, so that the second phase does not
// profit from caches that the first one filled. Calls to plain services count as short.
func RunSlowdown(ctx context.Context, options Options, shortTokens int) (*Slowdown, error) {
	isShort := func(a *Arrival) bool { return a.PromptTokens <= shortTokens }
	shortOnlyOptions := options
	shortOnlyOptions.Salt = options.Salt + "alone-"
	shortOnlyOptions.Filter = isShort
	shortOnlyReport, err := Run(ctx, shortOnlyOptions)
	if err != nil {
		return nil, errors.Wrap(err, "phase without long requests")
	}
	withLongOptions := options
	withLongOptions.Salt = options.Salt + "with-"
	withLongReport, err := Run(ctx, withLongOptions)
	if err != nil {
		return nil, errors.Wrap(err, "phase with long requests")
	}
	return &Slowdown{ShortOnly: shortOnlyReport, WithLong: withLongReport}, nil
}

// WriteTable writes the p95 latencies of each short series in both phases, and their ratios.
func (s *Slowdown) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "short traffic\tok alone\tok with long\tTTFT p95 alone\twith long\tslowdown\ttotal p95 alone\twith long\tslowdown\t")
	for _, shortOnly := range s.ShortOnly.Series {
		withLong := s.WithLong.seriesByName(shortOnly.Name())
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t\n", shortOnly.Name(), shortOnly.OK(), withLong.OK(),
			formatMillis(shortOnly.FirstToken.Count, shortOnly.FirstToken.P95),
			formatMillis(withLong.FirstToken.Count, withLong.FirstToken.P95),
			formatRatio(withLong.FirstToken.P95, shortOnly.FirstToken.P95),
			formatMillis(shortOnly.Total.Count, shortOnly.Total.P95),
			formatMillis(withLong.Total.Count, withLong.Total.P95),
			formatRatio(withLong.Total.P95, shortOnly.Total.P95))
	}
	return errors.Wrap(table.Flush(), "write slowdown")
}
