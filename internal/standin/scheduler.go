package standin

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/internal/timing"
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

// run executes steps until the engine is closed.
func (e *Engine) run() {
	defer e.loop.Done()
	for {
		s, wait, incarnation := e.planStep()
		if !e.pause(wait, s == nil) {
			return
		}
		if s != nil {
			e.completeStep(s, incarnation)
		}
	}
}

// pause waits until the timeout, or without limit if it is negative. New work also ends the wait of an idle engine. It
// returns false once the engine is closed.
func (e *Engine) pause(timeout time.Duration, idle bool) bool {
	var expired <-chan time.Time
	var wake <-chan struct{}
	if timeout >= 0 {
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		expired = timer.C
	}
	if idle {
		wake = e.wake
	}
	select {
	case <-e.stop:
		return false
	case <-wake:
		return true
	case <-expired:
		return true
	}
}

// wakeUp ends the pause of an idle engine.
func (e *Engine) wakeUp() {
	timing.Signal(e.wake)
}

// planStep returns the next step and its duration, or a nil step and how long to wait: until an import is done, without
// limit (negative) if none is pending, or not at all after a crash.
func (e *Engine) planStep() (s *step, wait time.Duration, incarnation int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s = new(step)
	slices.SortStableFunc(e.queue, func(a, b *task) int { return cmp.Compare(a.priority, b.priority) })
	now := time.Now()
	wait = -1
	for _, t := range e.queue {
		if t.importDone.After(now) {
			if d := t.importDone.Sub(now); wait < 0 || d < wait {
				wait = d
			}
			continue
		}
		if t.started && t.remainingPrefill == 0 {
			e.planDecode(s, t)
			continue
		}
		if e.hasCrashMarker(t) {
			e.platform.counters.recordCrash(t.prompt, e.name)
			e.crash()
			return nil, 0, e.incarnation
		}
		e.planPrefill(s, t)
	}
	if len(s.prefill) == 0 && len(s.decode) == 0 {
		return nil, wait, e.incarnation
	}
	return s, e.stepDuration(s), e.incarnation
}

// hasCrashMarker reports whether t has not started and its prompt contains the injected crash marker.
func (e *Engine) hasCrashMarker(t *task) bool {
	marker := e.platform.faults.State().CrashMarker
	return marker != "" && !t.started && strings.Contains(t.prompt, marker)
}

func (e *Engine) planDecode(s *step, t *task) {
	if len(s.decode) < e.opts.MaxBatch {
		s.decode = append(s.decode, t)
	}
}

// planPrefill assigns t what remains of the step's prefill budget. The queue is in priority order, so lower priority
// prompts get only the tokens that higher priority ones leave over.
func (e *Engine) planPrefill(s *step, t *task) {
	if s.tokens >= e.opts.ChunkTokens {
		return
	}
	if !t.started {
		t.started = true
		// The last prompt token is always computed.
		t.cachedTokens = min(e.cache.lookup(t.version, t.prefixHashes), max(t.promptTokens-1, 0))
		t.remainingPrefill -= t.cachedTokens
	}
	n := min(t.remainingPrefill, e.opts.ChunkTokens-s.tokens)
	s.prefill = append(s.prefill, chunk{t, n})
	s.tokens += n
}

func (e *Engine) stepDuration(s *step) time.Duration {
	prefill := time.Duration(float64(s.tokens) / e.opts.PrefillRate * float64(time.Second))
	return e.platform.opts.scaled(e.opts.StepTime + prefill)
}

// completeStep applies the results of a step, unless the engine crashed or was closed during the step.
func (e *Engine) completeStep(s *step, incarnation int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if incarnation != e.incarnation || e.closed {
		return
	}
	for _, c := range s.prefill {
		if c.task.done {
			continue
		}
		c.task.remainingPrefill -= c.tokens
		if c.task.remainingPrefill == 0 {
			e.finishPrefill(c.task)
		}
	}
	for _, t := range s.decode {
		if !t.done {
			e.decodeToken(t)
		}
	}
	e.dropFinished()
}

// finishPrefill completes the prefill of t: a segment is finished, a stream generates its first token.
func (e *Engine) finishPrefill(t *task) {
	if len(t.imported) == 0 {
		e.cache.insert(t.version, t.prefixHashes, e.opts.KVCapacity-e.usedTokens)
	}
	if t.segment {
		e.finish(t, e.checkImports(t))
		return
	}
	if t.firstIndex >= t.maxTokens {
		e.finish(t, nil)
		return
	}
	e.decodeToken(t)
}

// checkImports returns ErrUnknownStream if imported KV of t is no longer held.
func (e *Engine) checkImports(t *task) error {
	if e.importsHeld(t) {
		return nil
	}
	return endpoint.ErrUnknownStream
}

// decodeToken generates one token. It fails the stream if imported KV is no longer held.
func (e *Engine) decodeToken(t *task) {
	if err := e.checkImports(t); err != nil {
		e.finish(t, err)
		return
	}
	i := t.firstIndex + len(t.tokens)
	key := answerKey{version: t.version, endpoint: e.name}
	if len(t.tokens) == 0 {
		e.platform.counters.countAnswerStart(key)
	}
	t.tokens = append(t.tokens, endpoint.Token{Index: i, Text: answerToken(t.version, t.promptHash, i)})
	if i+1 >= t.maxTokens {
		e.platform.counters.countAnswerEnd(key)
		e.finish(t, nil)
		return
	}
	e.notify(t)
}
