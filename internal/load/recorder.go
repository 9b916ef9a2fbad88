package load

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Range and precision of the histograms.
const (
	lowestMicros  = 1
	highestMicros = int64(2 * time.Hour / time.Microsecond) // above the longest deadline at any time scale in use
	digits        = 3
)

// firstTokenTarget is the bound of the time to first token at p95. A prompt that an idle engine cannot prefill within it
// is judged against idleFactor times its idle prefill time.
const (
	firstTokenTarget = 1600 * time.Millisecond
	idleFactor       = 1.5
)

// fellBehindAfter is the delay of a request's start from which the generator counts as behind. Timers and scheduling
// on a busy machine stay below it.
const fellBehindAfter = 10 * time.Millisecond

// histogram records durations. Values outside the range count as the nearest bound.
type histogram struct{ h *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(lowestMicros, highestMicros, digits)}
}

func (h histogram) record(d time.Duration) error {
	v := min(max(d.Microseconds(), lowestMicros), highestMicros)
	return errors.Wrap(h.h.RecordValue(v), "histogram")
}

// seriesKey names a series.
type seriesKey struct {
	traffic string
	class   Class
}

// series is what is recorded of the requests of one traffic and class.
type series struct {
	sent     int
	outcomes map[string]int
	first    histogram
	gap      histogram
	perToken histogram
	total    histogram
	target   histogram // time to first token over its target, in thousandths
}

func newSeries() *series {
	return &series{
		outcomes: make(map[string]int),
		first:    newHistogram(),
		gap:      newHistogram(),
		perToken: newHistogram(),
		total:    newHistogram(),
		target:   newHistogram(),
	}
}

// workspaceTotals is what is recorded of one workspace.
type workspaceTotals struct {
	sent, ok                   int
	promptTokens, answerTokens int
}

// recorder collects results. It is safe for concurrent use. Times are multiplied by scale.
type recorder struct {
	scale    float64
	idleRate float64 // tokens per second of an idle engine; 0: targets are not judged

	mu         sync.Mutex
	series     map[seriesKey]*series
	workspaces map[string]*workspaceTotals
	lag        histogram
	behind     int
	sent       int
}

func newRecorder(scale, idleRate float64) *recorder {
	return &recorder{
		scale:      scale,
		idleRate:   idleRate,
		series:     make(map[seriesKey]*series),
		workspaces: make(map[string]*workspaceTotals),
		lag:        newHistogram(),
	}
}

// observation is one request with its times.
type observation struct {
	arrival   *Arrival
	result    Result
	scheduled time.Time
	sent      time.Time
}

// observe records one request. Latencies of successful answers count from the scheduled arrival.
func (r *recorder) observe(o observation) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.seriesOf(o.arrival)
	s.sent++
	s.outcomes[outcomeLabel(o.result)]++
	r.countWorkspace(o)
	if err := r.countLag(o.sent.Sub(o.scheduled)); err != nil {
		return err
	}
	if o.result.Outcome != OutcomeOK {
		return nil
	}
	return r.recordTimes(s, o)
}

func (r *recorder) recordTimes(s *series, o observation) error {
	if err := s.total.record(r.scaled(o.result.Last.Sub(o.scheduled))); err != nil {
		return err
	}
	if o.result.First.IsZero() {
		return nil
	}
	first := r.scaled(o.result.First.Sub(o.scheduled))
	if err := s.first.record(first); err != nil {
		return err
	}
	if err := r.recordTarget(s, o.arrival.Tokens, first); err != nil {
		return err
	}
	var sum time.Duration
	for _, gap := range o.result.Gaps {
		sum += gap
		if err := s.gap.record(r.scaled(gap)); err != nil {
			return err
		}
	}
	if len(o.result.Gaps) == 0 {
		return nil
	}
	return s.perToken.record(r.scaled(sum / time.Duration(len(o.result.Gaps))))
}

func (r *recorder) recordTarget(s *series, tokens int, first time.Duration) error {
	if r.idleRate <= 0 {
		return nil
	}
	idle := time.Duration(float64(tokens) / r.idleRate * float64(time.Second))
	target := firstTokenTarget
	if idle > firstTokenTarget {
		target = time.Duration(idleFactor * float64(idle))
	}
	return s.target.record(time.Duration(float64(first) / float64(target) * float64(time.Millisecond)))
}

func (r *recorder) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * r.scale)
}

// countLag records the generator's own delay, which is real time and therefore not scaled.
func (r *recorder) countLag(lag time.Duration) error {
	r.sent++
	if lag > fellBehindAfter {
		r.behind++
	}
	return r.lag.record(lag)
}

func (r *recorder) countWorkspace(o observation) {
	name := o.arrival.Workspace.Name
	w, ok := r.workspaces[name]
	if !ok {
		w = new(workspaceTotals)
		r.workspaces[name] = w
	}
	w.sent++
	if o.result.Outcome != OutcomeOK {
		return
	}
	w.ok++
	w.promptTokens += o.arrival.Tokens
	w.answerTokens += o.result.Tokens
}

func (r *recorder) seriesOf(a *Arrival) *series {
	key := seriesKey{a.Traffic.Name, a.Class}
	s, ok := r.series[key]
	if !ok {
		s = newSeries()
		r.series[key] = s
	}
	return s
}

// outcomeLabel joins an error kind with its run state, since the same kind may have different ones.
func outcomeLabel(r Result) string {
	if r.Run == "" {
		return r.Outcome
	}
	return r.Outcome + "/" + string(r.Run)
}

// sortedKeys returns the series in the order of the report: by traffic, then by length of prompt.
func (r *recorder) sortedKeys() []seriesKey {
	keys := make([]seriesKey, 0, len(r.series))
	for k := range r.series {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b seriesKey) int {
		if c := strings.Compare(a.traffic, b.traffic); c != 0 {
			return c
		}
		return classOrder(a.class) - classOrder(b.class)
	})
	return keys
}

func classOrder(class Class) int {
	return slices.IndexFunc(classRanges, func(r classRange) bool { return r.class == class })
}
