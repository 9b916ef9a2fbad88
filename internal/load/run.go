package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Defaults of Options.
const (
	DefaultMaxInFlight = 10_000
	DefaultGrace       = 5 * time.Second
	DefaultNoDeadline  = 10 * time.Minute // wait for answers to requests that state no deadline
)

// prepareLead is how long before its arrival a request's body is built: 4 MB of prompt take some 30 ms to encode.
const prepareLead = 200 * time.Millisecond

// countersTimeout bounds reading the stand-in's counters.
const countersTimeout = 10 * time.Second

// Options configure a run.
type Options struct {
	Mix            *Mix
	Sender         Sender
	Seed           uint64
	Salt           string        // changes keys and contents, not times and sizes
	Duration       time.Duration // of the schedule, before time scaling
	Warmup         time.Duration // arrivals before it are sent and checked, but not recorded
	TimeScale      float64       // speed of the engines; rates and measured times are multiplied by it; 0 means 1
	ScaleDeadlines bool          // the Sender divides deadlines by TimeScale
	MaxInFlight    int           // requests that wait for a slot start late, and the report shows it; 0: DefaultMaxInFlight
	Grace          time.Duration // real time after the deadline at which waiting ends; 0: DefaultGrace
	Standin        string        // base URL of the stand-in's control interface; empty: counters are not checked
	Keep           func(*Arrival) bool
	IdleRate       float64 // prefill rate of an idle engine in tokens per second; 0: targets are not judged
}

func (o *Options) applyDefaults() error {
	if o.Mix == nil || o.Sender == nil || o.Duration <= 0 {
		return errors.New("load: mix, sender and a positive duration are required")
	}
	if o.TimeScale == 0 {
		o.TimeScale = 1
	}
	if o.TimeScale < 0 || o.MaxInFlight < 0 || o.Grace < 0 {
		return errors.New("load: negative option")
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
	slots    chan struct{}

	mu  sync.Mutex
	err error
}

// Run sends the schedule of o and waits for all answers. When ctx ends early, the report covers what was sent.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.applyDefaults(); err != nil {
		return nil, err
	}
	r := &runner{
		opts:     o,
		recorder: newRecorder(o.TimeScale, o.IdleRate),
		checker:  newChecker(),
		slots:    make(chan struct{}, o.MaxInFlight),
	}
	start := time.Now().Add(prepareLead)
	r.sendAll(ctx, start, Schedule(o.Mix, o.Seed, o.Salt, o.Duration))
	if r.err != nil {
		return nil, r.err
	}
	report := r.report(time.Since(start))
	if o.Standin == "" {
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
	lead := prepareLead
	for i := range arrivals {
		a := &arrivals[i]
		if r.opts.Keep != nil && !r.opts.Keep(a) {
			continue
		}
		scheduled := start.Add(time.Duration(float64(a.At) / r.opts.TimeScale))
		if !sleepUntil(ctx, scheduled.Add(-lead)) {
			return
		}
		wg.Go(func() { r.send(ctx, a, scheduled) })
	}
}

// send sends one request at its scheduled time, or as soon as a slot is free.
func (r *runner) send(ctx context.Context, a *Arrival, scheduled time.Time) {
	body, err := a.Body()
	if err != nil {
		r.fail(err)
		return
	}
	if !sleepUntil(ctx, scheduled) {
		return
	}
	select {
	case r.slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-r.slots }()

	sent := time.Now()
	bounded, cancel := context.WithTimeout(ctx, r.patience(a))
	defer cancel()
	result := r.opts.Sender.Send(bounded, a, body)
	r.checker.observe(a, result)
	if a.At < r.opts.Warmup {
		return
	}
	o := observation{arrival: a, result: result, scheduled: scheduled, sent: sent}
	if err := r.recorder.observe(o); err != nil {
		r.fail(err)
	}
}

// patience returns how long the caller waits for an answer.
func (r *runner) patience(a *Arrival) time.Duration {
	deadline := time.Duration(a.Traffic.Deadline)
	if deadline == 0 {
		return DefaultNoDeadline
	}
	if r.opts.ScaleDeadlines {
		deadline = time.Duration(float64(deadline) / r.opts.TimeScale)
	}
	return deadline + r.opts.Grace
}

func (r *runner) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = err
	}
}

func (r *runner) checkCounters(report *Report) error {
	ctx, cancel := context.WithTimeout(context.Background(), countersTimeout)
	defer cancel()
	executions, err := Executions(ctx, http.DefaultClient, r.opts.Standin)
	if err != nil {
		return err
	}
	r.checker.compare(executions)
	report.Violations = r.checker.violations()
	report.CountersChecked = true
	return nil
}

// sleepUntil waits until t and reports whether ctx is still alive.
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
