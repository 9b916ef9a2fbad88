package load

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Range and precision of histograms.
const (
	minRecordedMicros = 1
	maxRecordedMicros = int64(2 * time.Hour / time.Microsecond) // exceeds the longest deadline at every time scale in use
	significantDigits = 3
)

// The target for the p95 of the time to first token is minFirstTokenTarget. For prompts that an idle engine cannot prefill
// within this time, the target is idlePrefillFactor times their prefill time on an idle engine.
const (
	minFirstTokenTarget = 1600 * time.Millisecond
	idlePrefillFactor   = 1.5
)

// lateStartThreshold is the delay after its scheduled arrival beyond which a request counts as started late. Delays from
// timers and scheduling on a busy machine stay below it.
const lateStartThreshold = 10 * time.Millisecond

// histogram records durations. Values outside its range are clamped to the nearest bound.
type histogram struct{ h *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(minRecordedMicros, maxRecordedMicros, significantDigits)}
}

func (h histogram) record(d time.Duration) error {
	micros := min(max(d.Microseconds(), minRecordedMicros), maxRecordedMicros)
	return errors.Wrap(h.h.RecordValue(micros), "histogram")
}

// seriesKey identifies a series.
type seriesKey struct {
	traffic string
	class   Class
}

// series accumulates the results of the requests of one traffic and class. The histograms cover successful requests.
type series struct {
	sent                 int
	outcomes             map[string]int
	firstToken           histogram
	tokenGap             histogram
	timePerToken         histogram
	total                histogram
	firstTokenOverTarget histogram // time to first token divided by its target; 1 ms stands for a ratio of 1
}

func newSeries() *series {
	return &series{
		outcomes:             make(map[string]int),
		firstToken:           newHistogram(),
		tokenGap:             newHistogram(),
		timePerToken:         newHistogram(),
		total:                newHistogram(),
		firstTokenOverTarget: newHistogram(),
	}
}

// workspaceTotals accumulates the results of one workspace. Tokens are those of successful requests.
type workspaceTotals struct {
	sent, ok                   int
	promptTokens, answerTokens int
}

// recorder accumulates results. It is safe for concurrent use. Recorded times are multiplied by timeScale.
type recorder struct {
	timeScale       float64
	idlePrefillRate float64 // tokens per second of an idle engine; 0: times are not compared with targets

	mu         sync.Mutex
	series     map[seriesKey]*series
	workspaces map[string]*workspaceTotals
	startLag   histogram
	lateStarts int
	sent       int
}

func newRecorder(timeScale, idlePrefillRate float64) *recorder {
	return &recorder{
		timeScale:       timeScale,
		idlePrefillRate: idlePrefillRate,
		series:          make(map[seriesKey]*series),
		workspaces:      make(map[string]*workspaceTotals),
		startLag:        newHistogram(),
	}
}

// observation is the result of one request with its scheduled and actual start.
type observation struct {
	arrival   *Arrival
	result    Result
	scheduled time.Time
	sent      time.Time
}

// observe records one request. Latencies are recorded for successful answers only, measured from the scheduled arrival.
func (r *recorder) observe(o observation) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.seriesFor(o.arrival)
	s.sent++
	s.outcomes[outcomeLabel(o.result)]++
	r.addToWorkspace(o)
	if err := r.recordStartLag(o.sent.Sub(o.scheduled)); err != nil {
		return err
	}
	if o.result.Outcome != OutcomeOK {
		return nil
	}
	return r.recordTimes(s, o)
}

func (r *recorder) recordTimes(s *series, o observation) error {
	if err := s.total.record(r.scaled(o.result.End.Sub(o.scheduled))); err != nil {
		return err
	}
	if o.result.FirstToken.IsZero() {
		return nil
	}
	firstToken := r.scaled(o.result.FirstToken.Sub(o.scheduled))
	if err := s.firstToken.record(firstToken); err != nil {
		return err
	}
	if err := r.recordTargetRatio(s, o.arrival.PromptTokens, firstToken); err != nil {
		return err
	}
	var gapSum time.Duration
	for _, gap := range o.result.TokenGaps {
		gapSum += gap
		if err := s.tokenGap.record(r.scaled(gap)); err != nil {
			return err
		}
	}
	if len(o.result.TokenGaps) == 0 {
		return nil
	}
	return s.timePerToken.record(r.scaled(gapSum / time.Duration(len(o.result.TokenGaps))))
}

func (r *recorder) recordTargetRatio(s *series, promptTokens int, firstToken time.Duration) error {
	if r.idlePrefillRate <= 0 {
		return nil
	}
	idlePrefillTime := time.Duration(float64(promptTokens) / r.idlePrefillRate * float64(time.Second))
	target := minFirstTokenTarget
	if idlePrefillTime > minFirstTokenTarget {
		target = time.Duration(idlePrefillFactor * float64(idlePrefillTime))
	}
	return s.firstTokenOverTarget.record(time.Duration(float64(firstToken) / float64(target) * float64(time.Millisecond)))
}

func (r *recorder) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * r.timeScale)
}

// recordStartLag records the delay of a request's start by the generator. It is real time and therefore not scaled.
func (r *recorder) recordStartLag(lag time.Duration) error {
	r.sent++
	if lag > lateStartThreshold {
		r.lateStarts++
	}
	return r.startLag.record(lag)
}

func (r *recorder) addToWorkspace(o observation) {
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
	w.promptTokens += o.arrival.PromptTokens
	w.answerTokens += o.result.AnswerTokens
}

func (r *recorder) seriesFor(a *Arrival) *series {
	key := seriesKey{a.Traffic.Name, a.Class}
	s, ok := r.series[key]
	if !ok {
		s = newSeries()
		r.series[key] = s
	}
	return s
}

// outcomeLabel appends the run state to an error kind, because the same kind can occur with different run states.
func outcomeLabel(r Result) string {
	if r.RunState == "" {
		return r.Outcome
	}
	return r.Outcome + "/" + string(r.RunState)
}

// sortedSeriesKeys returns the keys in the order of the report: by traffic, then by prompt length.
func (r *recorder) sortedSeriesKeys() []seriesKey {
	keys := make([]seriesKey, 0, len(r.series))
	for k := range r.series {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b seriesKey) int {
		if c := strings.Compare(a.traffic, b.traffic); c != 0 {
			return c
		}
		return classIndex(a.class) - classIndex(b.class)
	})
	return keys
}

func classIndex(class Class) int {
	return slices.IndexFunc(classRanges, func(r classRange) bool { return r.class == class })
}
