package load

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/internal/http1"
	"github.com/bilberrylink/bilberrylink/internal/transport"
)

// Defaults of Options, and the wait for an answer to a request without a deadline.
const (
	DefaultMaxInFlight = 10_000
	DefaultGrace       = 5 * time.Second
	NoDeadlineTimeout  = 10 * time.Minute
)

// buildBodyLead is how long before its scheduled arrival the body of a request is built. Encoding a prompt of 4 MB takes
// about 30 ms.
const buildBodyLead = 200 * time.Millisecond

// countersTimeout is the timeout of control requests such as reading the stand-in's counters.
const countersTimeout = 10 * time.Second

// Options configure a run.
type Options struct {
	Mix             *Mix
	Sender          Sender
	Seed            uint64
	Salt            string              // changes keys and contents, but neither times nor sizes
	Duration        time.Duration       // of the schedule, before time scaling
	Warmup          time.Duration       // requests that arrive before it are sent and checked, but not recorded
	TimeScale       float64             // engine speed relative to real time; multiplies rates and measured times; 0: 1
	ScaleDeadlines  bool                // the Sender divides deadlines by TimeScale
	MaxInFlight     int                 // further requests wait and start late, which the report shows; 0: DefaultMaxInFlight
	Grace           time.Duration       // how long after its deadline to wait for an answer, in real time; 0: DefaultGrace
	Standin         string              // base URL of the stand-in's control interface; empty: counters are not checked
	Filter          func(*Arrival) bool // selects the arrivals to send; nil: all
	IdlePrefillRate float64             // tokens per second of an idle engine; 0: no comparison with targets
}

func (o *Options) applyDefaults() error {
	if o.Mix == nil || o.Sender == nil || o.Duration <= 0 {
		return errors.New("load: mix, sender and a positive duration are required")
	}
	if o.TimeScale == 0 {
		o.TimeScale = 1
	}
	if o.TimeScale < 0 || o.MaxInFlight < 0 || o.Grace < 0 {
		return errors.New("load: TimeScale, MaxInFlight and Grace must not be negative")
	}
	if o.MaxInFlight == 0 {
		o.MaxInFlight = DefaultMaxInFlight
	}
	if o.Grace == 0 {
		o.Grace = DefaultGrace
	}
	return nil
}

// runner sends the arrivals of one run.
type runner struct {
	opts     Options
	recorder *recorder
	checker  *checker
	inFlight chan struct{}

	mu  sync.Mutex
	err error
}

// Run sends the scheduled requests and waits for all answers. If ctx ends early, the report covers the requests sent
// until then.
func Run(ctx context.Context, options Options) (*Report, error) {
	if err := options.applyDefaults(); err != nil {
		return nil, err
	}
	r := &runner{
		opts:     options,
		recorder: newRecorder(options.TimeScale, options.IdlePrefillRate),
		checker:  newChecker(),
		inFlight: make(chan struct{}, options.MaxInFlight),
	}
	start := time.Now().Add(buildBodyLead)
	r.sendAll(ctx, start, Schedule(options.Mix, options.Seed, options.Salt, options.Duration))
	if r.err != nil {
		return nil, r.err
	}
	report := r.report(time.Since(start))
	if options.Standin == "" {
		return report, nil
	}
	if err := r.checkCounters(report); err != nil {
		return nil, err
	}
	return report, nil
}

func (r *runner) sendAll(ctx context.Context, start time.Time, arrivals []Arrival) {
	var wg sync.WaitGroup
	defer wg.Wait()
	lead := buildBodyLead
	for i := range arrivals {
		a := &arrivals[i]
		if r.opts.Filter != nil && !r.opts.Filter(a) {
			continue
		}
		scheduled := start.Add(time.Duration(float64(a.Offset) / r.opts.TimeScale))
		if !sleepUntil(ctx, scheduled.Add(-lead)) {
			return
		}
		wg.Go(func() { r.send(ctx, a, scheduled) })
	}
}

// send sends one request at its scheduled time, or later if MaxInFlight requests are in flight by then.
func (r *runner) send(ctx context.Context, a *Arrival, scheduled time.Time) {
	body, err := a.Body()
	if err != nil {
		r.setError(err)
		return
	}
	if !sleepUntil(ctx, scheduled) {
		return
	}
	select {
	case r.inFlight <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-r.inFlight }()

	sent := time.Now()
	sendCtx, cancel := context.WithTimeout(ctx, r.answerTimeout(a))
	defer cancel()
	result := r.opts.Sender.Send(sendCtx, a, body)
	r.checker.observe(a, result)
	if a.Offset < r.opts.Warmup {
		return
	}
	o := observation{arrival: a, result: result, scheduled: scheduled, sent: sent}
	if err := r.recorder.observe(o); err != nil {
		r.setError(err)
	}
}

// answerTimeout returns how long to wait for the answer to a, in real time.
func (r *runner) answerTimeout(a *Arrival) time.Duration {
	deadline := time.Duration(a.Traffic.Deadline)
	if deadline == 0 {
		return NoDeadlineTimeout
	}
	if r.opts.ScaleDeadlines {
		deadline = time.Duration(float64(deadline) / r.opts.TimeScale)
	}
	return deadline + r.opts.Grace
}

// setError keeps the first error of the run.
func (r *runner) setError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = err
	}
}

func (r *runner) checkCounters(report *Report) error {
	ctx, cancel := context.WithTimeout(context.Background(), countersTimeout)
	defer cancel()
	executions, err := ReadExecutions(ctx, transport.BoundBodies(http1.Client(nil), maxAnswerBytes), r.opts.Standin)
	if err != nil {
		return err
	}
	r.checker.checkExecutions(executions)
	report.Violations = r.checker.violations()
	report.CountersChecked = true
	return nil
}

// sleepUntil waits until t. It returns false if ctx ends before.
func sleepUntil(ctx context.Context, t time.Time) bool {
	wait := time.Until(t)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
