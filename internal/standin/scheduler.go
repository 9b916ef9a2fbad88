package standin

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/bilberrylink/bilberrylink/endpoint"
)

// step is the work of one iteration of continuous batching.
type step struct {
	prefill []chunk
	decode  []*task
	tokens  int // prefill tokens
}

// chunk is the part of a prompt that one step prefills.
type chunk struct {
	task   *task
	tokens int
}

// run executes steps while there is work.
func (e *Engine) run() {
	defer e.ends.Done()
	for {
		s, wait, incarnation := e.plan()
		if !e.pause(wait, s == nil) {
			return
		}
		if s != nil {
			e.complete(s, incarnation)
		}
	}
}

// pause waits for d, without limit if d is negative; an idle engine also stops waiting for new work. It reports
// whether the engine goes on.
func (e *Engine) pause(d time.Duration, idle bool) bool {
	var timeout <-chan time.Time
	var wake <-chan struct{}
	if d >= 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		timeout = timer.C
	}
	if idle {
		wake = e.wake
	}
	select {
	case <-e.stop:
		return false
	case <-wake:
		return true
	case <-timeout:
		return true
	}
}

func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// plan chooses the next step and returns its duration, or no step and how long to wait.
func (e *Engine) plan() (s *step, wait time.Duration, incarnation int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s = new(step)
	slices.SortStableFunc(e.queue, func(a, b *task) int { return cmp.Compare(a.priority, b.priority) })
	now := time.Now()
	wait = -1
	for _, t := range e.queue {
		if t.ready.After(now) {
			if d := t.ready.Sub(now); wait < 0 || d < wait {
				wait = d
			}
			continue
		}
		if t.touched && t.left == 0 {
			e.planDecode(s, t)
			continue
		}
		if e.crashedBy(t) {
			e.p.counters.crashed(t.prompt, e.name)
			e.crash()
			return nil, 0, e.incarnation
		}
		e.planPrefill(s, t)
	}
	if len(s.prefill) == 0 && len(s.decode) == 0 {
		return nil, wait, e.incarnation
	}
	return s, e.stepTime(s), e.incarnation
}

// crashedBy reports whether t carries the marker that crashes the engine that starts it.
func (e *Engine) crashedBy(t *task) bool {
	marker := e.p.faults.State().CrashMarker
	return marker != "" && !t.touched && strings.Contains(t.prompt, marker)
}

func (e *Engine) planDecode(s *step, t *task) {
	if len(s.decode) < e.o.MaxBatch {
		s.decode = append(s.decode, t)
	}
}

// planPrefill gives t what is left of the step's chunk. The queue is in priority order, so less urgent prompts get
// tokens only when the more urgent ones need no more.
func (e *Engine) planPrefill(s *step, t *task) {
	if s.tokens >= e.o.ChunkTokens {
		return
	}
	if !t.touched {
		t.touched = true
		t.cached = min(e.cache.lookup(t.version, t.sums), max(t.length-1, 0)) // the last token is always computed
		t.left -= t.cached
	}
	n := min(t.left, e.o.ChunkTokens-s.tokens)
	s.prefill = append(s.prefill, chunk{t, n})
	s.tokens += n
}

func (e *Engine) stepTime(s *step) time.Duration {
	prefill := time.Duration(float64(s.tokens) / e.o.PrefillRate * float64(time.Second))
	return e.p.opts.scaled(e.o.StepTime + prefill)
}

// complete applies the results of a step, unless the engine restarted meanwhile.
func (e *Engine) complete(s *step, incarnation int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if incarnation != e.incarnation || e.closed {
		return
	}
	for _, c := range s.prefill {
		if c.task.done {
			continue
		}
		c.task.left -= c.tokens
		if c.task.left == 0 {
			e.prefilled(c.task)
		}
	}
	for _, t := range s.decode {
		if !t.done {
			e.decode(t)
		}
	}
	e.forgetFinished()
}

// prefilled ends the prefill of t, which for a stream yields its first token.
func (e *Engine) prefilled(t *task) {
	if len(t.imported) == 0 {
		e.cache.insert(t.version, t.sums, e.o.KVCapacity-e.used)
	}
	if t.segment {
		e.finish(t, e.importError(t))
		return
	}
	if t.first >= t.max {
		e.finish(t, nil)
		return
	}
	e.decode(t)
}

func (e *Engine) importError(t *task) error {
	if e.held(t) {
		return nil
	}
	return endpoint.ErrUnknownStream
}

// decode produces one token, which needs the imported KV to be still held.
func (e *Engine) decode(t *task) {
	if err := e.importError(t); err != nil {
		e.finish(t, err)
		return
	}
	i := t.first + len(t.tokens)
	key := answerKey{version: t.version, endpoint: e.name}
	if len(t.tokens) == 0 {
		e.p.counters.started(key)
	}
	t.tokens = append(t.tokens, endpoint.Token{Index: i, Text: answerToken(t.version, t.promptSum, i)})
	if i+1 >= t.max {
		e.p.counters.finished(key)
		e.finish(t, nil)
		return
	}
	e.notify(t)
}
