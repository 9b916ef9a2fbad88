package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// Report is the result of a run. Times are in milliseconds and multiplied by the time scale, unless noted otherwise.
type Report struct {
	Mix             string            `json:"mix"`
	Seed            uint64            `json:"seed"`
	TimeScale       float64           `json:"time_scale"`
	DurationSeconds float64           `json:"duration_seconds"` // length of the schedule before time scaling
	ElapsedSeconds  float64           `json:"elapsed_seconds"`  // real time
	Generator       Generator         `json:"generator"`
	Series          []Series          `json:"series"`
	Workspaces      []WorkspaceTotals `json:"workspaces"`
	Violations      []Violation       `json:"violations"`
	CountersChecked bool              `json:"counters_checked"`
}

// Generator reports whether the load generator kept to the schedule. Its times are real, not scaled.
type Generator struct {
	Sent       int     `json:"sent"`
	LateStarts int     `json:"behind"` // requests that started more than lateStartThreshold after their scheduled arrival
	LagP99     float64 `json:"lag_p99_ms"`
	LagMax     float64 `json:"lag_max_ms"`
	FellBehind bool    `json:"fell_behind"` // the share of late starts exceeds maxLateStartShare
}

// Series is the result of the requests of one traffic and class of prompt length.
type Series struct {
	Traffic              string         `json:"traffic"`
	Class                Class          `json:"class"`
	Sent                 int            `json:"sent"`
	Outcomes             map[string]int `json:"outcomes"` // number of requests by outcome; error kinds include the run state
	FirstToken           Summary        `json:"first_token"`
	TokenGap             Summary        `json:"token_gap"`      // times between consecutive tokens
	TimePerToken         Summary        `json:"time_per_token"` // mean time between tokens, one value per answer
	Total                Summary        `json:"total"`
	FirstTokenOverTarget Summary        `json:"first_token_over_target"` // divided by its target; a ratio, not milliseconds
}

// Name returns the name of the series as shown in tables and plots.
func (s Series) Name() string { return s.Traffic + " " + string(s.Class) }

// Summary describes a distribution.
type Summary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
	Curve []Point `json:"curve,omitempty"`
}

// Point is a point of a cumulative distribution: Percentile percent of the values are at most Millis.
type Point struct {
	Percentile float64 `json:"percentile"`
	Millis     float64 `json:"ms"`
}

// WorkspaceTotals is the result of one workspace.
type WorkspaceTotals struct {
	Name         string `json:"name"`
	Sent         int    `json:"sent"`
	OK           int    `json:"ok"`
	PromptTokens int    `json:"prompt_tokens"` // of successful requests, as sent
	AnswerTokens int    `json:"answer_tokens"` // of successful requests
}

// maxLateStartShare is the share of late starts above which measured latencies may reflect the generator instead of the
// system under test.
const maxLateStartShare = 0.01

const microsPerMilli = 1000

func (r *runner) report(elapsed time.Duration) *Report {
	rec := r.recorder
	report := &Report{
		Mix:             r.opts.Mix.Name,
		Seed:            r.opts.Seed,
		TimeScale:       r.opts.TimeScale,
		DurationSeconds: r.opts.Duration.Seconds(),
		ElapsedSeconds:  elapsed.Seconds(),
		Generator:       rec.generatorReport(),
		Series:          []Series{},
		Workspaces:      []WorkspaceTotals{},
		Violations:      r.checker.violations(),
	}
	for _, key := range rec.sortedSeriesKeys() {
		report.Series = append(report.Series, rec.series[key].summarize(key))
	}
	for _, name := range slices.Sorted(maps.Keys(rec.workspaces)) {
		w := rec.workspaces[name]
		report.Workspaces = append(report.Workspaces, WorkspaceTotals{name, w.sent, w.ok, w.promptTokens, w.answerTokens})
	}
	return report
}

func (r *recorder) generatorReport() Generator {
	return Generator{
		Sent:       r.sent,
		LateStarts: r.lateStarts,
		LagP99:     float64(r.startLag.h.ValueAtPercentile(99)) / microsPerMilli,
		LagMax:     float64(r.startLag.h.Max()) / microsPerMilli,
		FellBehind: float64(r.lateStarts) > maxLateStartShare*float64(r.sent),
	}
}

func (s *series) summarize(key seriesKey) Series {
	return Series{
		Traffic:              key.traffic,
		Class:                key.class,
		Sent:                 s.sent,
		Outcomes:             s.outcomes,
		FirstToken:           s.firstToken.summary(),
		TokenGap:             s.tokenGap.summary(),
		TimePerToken:         s.timePerToken.summary(),
		Total:                s.total.summary(),
		FirstTokenOverTarget: s.firstTokenOverTarget.summary(),
	}
}

func (h histogram) summary() Summary {
	if h.h.TotalCount() == 0 {
		return Summary{}
	}
	percentile := func(p float64) float64 { return float64(h.h.ValueAtPercentile(p)) / microsPerMilli }
	s := Summary{
		Count: h.h.TotalCount(),
		Mean:  h.h.Mean() / microsPerMilli,
		P50:   percentile(50), P90: percentile(90), P95: percentile(95), P99: percentile(99),
		Max: float64(h.h.Max()) / microsPerMilli,
	}
	for _, b := range h.h.CumulativeDistribution() {
		s.Curve = append(s.Curve, Point{Percentile: b.Quantile, Millis: float64(b.ValueAt) / microsPerMilli})
	}
	return s
}

// OK returns the number of successful requests.
func (s Series) OK() int { return s.Outcomes[OutcomeOK] }

// WriteTable writes the report as text.
func (r *Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "mix %s, seed %d, %.0f s of schedule at time scale %g, %.1f s elapsed\n",
		r.Mix, r.Seed, r.DurationSeconds, r.TimeScale, r.ElapsedSeconds)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "traffic\tsent\tok\tTTFT p50\tp95\tp99\tper token p50\tp95\ttotal p50\tp95\tp99 [ms]\t")
	for _, s := range r.Series {
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%s\t%s\t%s\n", s.Name(), s.Sent, s.OK(),
			formatMillis(s.FirstToken.Count, s.FirstToken.P50, s.FirstToken.P95, s.FirstToken.P99),
			formatMillis(s.TimePerToken.Count, s.TimePerToken.P50, s.TimePerToken.P95),
			formatMillis(s.Total.Count, s.Total.P50, s.Total.P95, s.Total.P99), "")
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write table")
	}
	r.writeFailures(w)
	r.writeWorkspaces(w)
	r.writeGenerator(w)
	return r.writeViolations(w)
}

// formatMillis formats times as cells separated by tabs, with dashes if count is 0.
func formatMillis(count int64, millis ...float64) string {
	cells := make([]string, len(millis))
	for i, v := range millis {
		cells[i] = fmt.Sprintf("%.1f", v)
		if count == 0 {
			cells[i] = "-"
		}
	}
	return strings.Join(cells, "\t")
}

func (r *Report) writeFailures(w io.Writer) {
	for _, s := range r.Series {
		for _, outcome := range slices.Sorted(maps.Keys(s.Outcomes)) {
			if outcome != OutcomeOK {
				fmt.Fprintf(w, "failed: %s: %s: %d\n", s.Name(), outcome, s.Outcomes[outcome])
			}
		}
	}
}

func (r *Report) writeWorkspaces(w io.Writer) {
	for _, totals := range r.Workspaces {
		fmt.Fprintf(w, "workspace %s: %d sent, %d ok, %d prompt tokens, %d answer tokens\n",
			totals.Name, totals.Sent, totals.OK, totals.PromptTokens, totals.AnswerTokens)
	}
}

func (r *Report) writeGenerator(w io.Writer) {
	generator := r.Generator
	status := "kept its schedule"
	if generator.FellBehind {
		status = "FELL BEHIND: latencies include its own delay"
	}
	fmt.Fprintf(w, "generator %s (%d of %d started over %v late, lag p99 %.1f ms, max %.1f ms)\n",
		status, generator.LateStarts, generator.Sent, lateStartThreshold, generator.LagP99, generator.LagMax)
}

func (r *Report) writeViolations(w io.Writer) error {
	for _, v := range r.Violations {
		fmt.Fprintf(w, "VIOLATION %s: %d, such as %s\n", v.Name, v.Count, strings.Join(v.Examples, "; "))
	}
	counterStatus := "counters not read"
	if r.CountersChecked {
		counterStatus = "counters checked"
	}
	_, err := fmt.Fprintf(w, "%d kinds of violation (%s)\n", len(r.Violations), counterStatus)
	return errors.Wrap(err, "write table")
}

// WriteFile writes the report as JSON.
func (r *Report) WriteFile(path string) error {
	return writeJSON(path, r)
}

func writeJSON(path string, v any) error {
	data, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	return errors.Wrap(os.WriteFile(path, append(data, '\n'), 0o644), "write report")
}

// ReadReport reads a JSON report.
func ReadReport(path string) (*Report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "report")
	}
	r := new(Report)
	if err := json.Unmarshal(data, r); err != nil {
		return nil, errors.Wrapf(err, "decode %s", path)
	}
	return r, nil
}
