package idempotency

import (
	"bytes"
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/invariant"
)

// fakeStore is an in-memory table and object store. Each commit behaves as the next element of script says.
type fakeStore struct {
	mu        sync.Mutex
	rows      map[string]cloud.Row
	objects   map[string][]byte
	script    []string // ok, down, lost (takes effect but returns ErrInDoubt), dropped (no effect and returns ErrInDoubt)
	down      bool
	downAfter bool // the table goes down after the last element of script
	gets      int
	commits   int
}

func (s *fakeStore) Get(_ context.Context, key string) (cloud.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gets++
	row, ok := s.rows[key]
	switch {
	case s.down:
		return cloud.Row{}, cloud.ErrUnavailable
	case !ok:
		return cloud.Row{}, cloud.ErrNotFound
	}
	return row, nil
}

func (s *fakeStore) Commit(_ context.Context, writes ...cloud.Write) ([]cloud.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
	outcome := "ok"
	if s.down {
		outcome = "down"
	} else if len(s.script) > 0 {
		outcome, s.script = s.script[0], s.script[1:]
		s.down = s.downAfter && len(s.script) == 0
		s.downAfter = s.downAfter && !s.down
	}
	switch outcome {
	case "down":
		return nil, cloud.ErrUnavailable
	case "dropped":
		return nil, cloud.ErrInDoubt
	}
	w := writes[0]
	current := s.rows[w.Key]
	if w.ExpectedVersion != cloud.AnyVersion && w.ExpectedVersion != current.Version {
		return nil, &cloud.ConditionError{Current: current}
	}
	row := cloud.Row{Key: w.Key, Version: current.Version + 1, Value: w.Value}
	s.rows[w.Key] = row
	if outcome == "lost" {
		return nil, cloud.ErrInDoubt
	}
	return []cloud.Row{row}, nil
}

func (s *fakeStore) Scan(context.Context, string, string, int) ([]cloud.Row, error) { return nil, nil }

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

type fakeObjects struct{ *fakeStore }

func (o fakeObjects) Put(_ context.Context, name string, data []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.objects[name] = data
	return nil
}

func (o fakeObjects) Get(_ context.Context, name string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ok := o.objects[name]
	if !ok {
		return nil, cloud.ErrNotFound
	}
	return data, nil
}

// runStoreTest calls test in virtual time with a Store whose background queue is processed. It fails if an invariant is
// violated.
func runStoreTest(t *testing.T, test func(t *testing.T, s *Store, table *fakeStore)) {
	synctest.Test(t, func(t *testing.T) {
		defer invariant.SetHandler(func(name, detail string) { t.Errorf("%s: %s", name, detail) })()
		table := &fakeStore{rows: make(map[string]cloud.Row), objects: make(map[string][]byte)}
		log := logrus.New()
		log.SetOutput(io.Discard)
		s := New(Options{Table: table, Objects: fakeObjects{table}, Log: log, InlineBytes: 8})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { _ = s.Run(ctx); close(done) }()
		test(t, s, table)
		cancel()
		<-done
	})
}

func attempt(id string, expect int64) Attempt {
	return Attempt{Workspace: "w", Key: "a/b", RequestHash: "h", ID: id, ExpectedVersion: expect,
		Deadline: time.Now().Add(10 * time.Second)}
}

// Guards against more than two writes or any read for a call without failures, and against a repeated call that is
// executed again.
func TestCallNeedsTwoWritesAndNoRead(t *testing.T) {
	runStoreTest(t, func(t *testing.T, s *Store, table *fakeStore) {
		_, claim, err := s.Begin(t.Context(), attempt("a1", 0))
		require.NoError(t, err)
		require.NoError(t, s.Finish(t.Context(), claim, Answer{Status: 200, Body: []byte("ok")}))
		require.Equal(t, 2, table.commits)
		require.Zero(t, table.gets)
		result, claim, err := s.Begin(t.Context(), attempt("a2", 0))
		require.NoError(t, err)
		require.Nil(t, claim)
		require.Equal(t, Replay, result.State)
		require.Equal(t, "ok", string(result.Answer.Body))
		other := attempt("a3", 0)
		other.RequestHash = "another"
		result, _, err = s.Begin(t.Context(), other)
		require.NoError(t, err)
		require.Equal(t, Mismatch, result.State)
	})
}

// Guards against a commit whose answer is lost and that is taken for a failure, which blocks the key, or for a start by
// another attempt.
func TestWritesInDoubtAreResolved(t *testing.T) {
	for _, script := range [][]string{{"lost"}, {"dropped"}, {"dropped", "lost"}} {
		runStoreTest(t, func(t *testing.T, s *Store, table *fakeStore) {
			table.script = script
			result, claim, err := s.Begin(t.Context(), attempt("a1", 0))
			require.NoError(t, err)
			require.Equal(t, Started, result.State)
			table.script = []string{"lost"}
			require.Error(t, s.Finish(t.Context(), claim, Answer{Status: 200}))
			time.Sleep(time.Second)
			require.Zero(t, s.PendingWrites())
			result, err = s.Lookup(t.Context(), "w", "a/b", "h")
			require.NoError(t, err)
			require.Equal(t, Replay, result.State)
		})
	}
}

// Guards against a key that stays blocked after a `started` write in doubt, although the call was not made.
func TestStartInDoubtIsRefusedInBackground(t *testing.T) {
	for _, outcome := range []string{"lost", "dropped"} {
		runStoreTest(t, func(t *testing.T, s *Store, table *fakeStore) {
			table.script = []string{outcome}
			table.downAfter = true
			_, claim, err := s.Begin(t.Context(), attempt("a1", 0))
			require.ErrorIs(t, err, ErrInDoubt)
			require.Nil(t, claim)
			table.setDown(false)
			time.Sleep(30 * time.Second)
			result, err := s.Lookup(t.Context(), "w", "a/b", "h")
			require.NoError(t, err)
			require.Equal(t, Refused, result.State)
			_, claim, err = s.Begin(t.Context(), attempt("a2", result.Version))
			require.NoError(t, err)
			require.NotNil(t, claim)
		})
	}
}

// Guards against a Refuse that continues after the deadline of the request that waits for it.
func TestRefuseEndsByTheDeadline(t *testing.T) {
	runStoreTest(t, func(t *testing.T, s *Store, table *fakeStore) {
		table.script, table.downAfter = []string{"dropped"}, true
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		began := time.Now()
		_, notRun, err := s.Refuse(ctx, attempt("a1", 0))
		require.ErrorIs(t, err, ErrInDoubt)
		require.False(t, notRun)
		require.LessOrEqual(t, time.Since(began), 300*time.Millisecond)
	})
}

// Guards against an attempt that starts after an entry has answered not_run, and against not_run for an attempt that has
// started.
func TestRefusePreventsStart(t *testing.T) {
	runStoreTest(t, func(t *testing.T, s *Store, table *fakeStore) {
		a := attempt("a1", 0)
		table.script = []string{"lost"}
		_, notRun, err := s.Refuse(t.Context(), a)
		require.NoError(t, err)
		require.True(t, notRun)
		result, claim, err := s.Begin(t.Context(), a)
		require.NoError(t, err)
		require.Nil(t, claim, "the agent resumes after the refusal")
		require.Equal(t, Refused, result.State)
		_, claim, err = s.Begin(t.Context(), attempt("a2", result.Version))
		require.NoError(t, err)
		require.NotNil(t, claim)
		result, notRun, err = s.Refuse(t.Context(), attempt("a2", 1))
		require.NoError(t, err)
		require.False(t, notRun)
		require.Equal(t, InProgress, result.State)
		_, notRun, err = s.Refuse(t.Context(), a)
		require.NoError(t, err)
		require.True(t, notRun, "the row's version is above the one that a1 expects")
		time.Sleep(11 * time.Second)
		result, err = s.Lookup(t.Context(), "w", "a/b", "h")
		require.NoError(t, err)
		require.Equal(t, Unknown, result.State)
	})
}

// Guards against starts after the deadline or during an outage, and against a restarted agent that takes the `started`
// row of its earlier incarnation, with the same attempt ID, for its own.
func TestNoStartAfterDeadlineOrInOutage(t *testing.T) {
	runStoreTest(t, func(t *testing.T, s *Store, table *fakeStore) {
		a := attempt("a1", 0)
		table.setDown(true)
		_, claim, err := s.Begin(t.Context(), a)
		require.ErrorIs(t, err, ErrStoreUnavailable)
		require.Nil(t, claim)
		table.setDown(false)
		_, claim, err = s.Begin(t.Context(), a)
		require.NoError(t, err)
		require.NotNil(t, claim)
		table.script = []string{"dropped"}
		result, claim, err := s.Begin(t.Context(), a)
		require.NoError(t, err)
		require.Nil(t, claim)
		require.Equal(t, InProgress, result.State)
		time.Sleep(10 * time.Second)
		_, _, err = s.Begin(t.Context(), a)
		require.ErrorIs(t, err, ErrDeadlinePassed)
	})
}

// Guards against an outcome that is lost because the table is down when the call ends, and against an abandoned claim
// that blocks its key.
func TestBackgroundWrites(t *testing.T) {
	runStoreTest(t, func(t *testing.T, s *Store, table *fakeStore) {
		_, claim, err := s.Begin(t.Context(), attempt("a1", 0))
		require.NoError(t, err)
		table.setDown(true)
		large := bytes.Repeat([]byte("x"), 100)
		require.Error(t, s.Finish(t.Context(), claim, Answer{Status: 200, Body: large}))
		time.Sleep(time.Minute)
		require.Equal(t, 1, s.PendingWrites())
		table.setDown(false)
		time.Sleep(10 * time.Second)
		result, err := s.Lookup(t.Context(), "w", "a/b", "h")
		require.NoError(t, err)
		require.Equal(t, large, result.Answer.Body)
		require.Len(t, table.objects, 1)

		b := attempt("b", 0)
		b.Key = "other"
		_, claim, err = s.Begin(t.Context(), b)
		require.NoError(t, err)
		s.Abandon(claim)
		time.Sleep(time.Second)
		result, err = s.Lookup(t.Context(), "w", "other", "h")
		require.NoError(t, err)
		require.Equal(t, Refused, result.State)
	})
}

// Checks that the invariant reports a second start if writes have no version condition.
func TestSecondStartIsReported(t *testing.T) {
	var names []string
	defer invariant.SetHandler(func(name, _ string) { names = append(names, name) })()
	s := New(Options{Table: &fakeStore{rows: make(map[string]cloud.Row)}, ignoreCondition: true})
	for _, id := range []string{"a1", "a2"} {
		_, claim, err := s.Begin(t.Context(), attempt(id, 0))
		require.NoError(t, err)
		require.NotNil(t, claim)
	}
	require.Equal(t, []string{"once_started_twice"}, names)
}
