package intake

import (
	"bytes"
	"io"
	"strconv"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const testBytes = 12 << 20 // of budgets; shares are multiples of 1 MB

// caller is a connection of a test. It records how it was ended.
type caller struct {
	*Account
	endings []Ending
}

func open(b *Budget, addr string) *caller {
	c := new(caller)
	c.Account = b.Open(addr, func(e Ending) { c.endings = append(c.endings, e) })
	return c
}

// receive begins a body of n bytes that arrives at once.
func (c *caller) receive(t *testing.T, n int64) {
	c.BeginBody()
	c.BeginRead()
	require.NoError(t, c.Charge(n))
	c.EndRead(int(n))
}

func newBudget(limits Limits, connections int) *Budget {
	return New(Options{Sizes: Sizes{Bytes: testBytes, Connections: connections}, Limits: func() Limits { return limits }})
}

// Guards against ending a caller that makes progress in favor of one that stalls, and against a charge that is granted before the bytes of the
// ended connection are free.
func TestStallingCallerIsEndedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget(Limits{}, 0)
		stalling, moving := open(b, "1"), open(b, "2")
		stalling.receive(t, 3<<20)
		moving.receive(t, 3<<20)
		served := open(b, "3")
		served.receive(t, 2<<20)
		require.NoError(t, served.BeginServing())
		stalling.BeginRead()
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			moving.BeginRead()
			time.Sleep(time.Millisecond)
			moving.EndRead(64 << 10)
		}
		newcomer := open(b, "4")
		newcomer.BeginBody()
		granted := make(chan error)
		go func() { granted <- newcomer.Charge(3 << 20) }()
		synctest.Wait()
		require.Equal(t, []Ending{{ReasonShort, Body, false}}, stalling.endings)
		select {
		case <-granted:
			t.Fatal("granted before the bytes were free")
		default:
		}
		require.ErrorIs(t, stalling.Charge(1), ErrEnded)
		require.ErrorIs(t, stalling.BeginServing(), ErrEnded, "it has been promised that it does not run")
		stalling.Close()
		require.NoError(t, <-granted)
		require.Empty(t, moving.endings)
		require.Empty(t, served.endings)
	})
}

// Guards against waiting without end for bytes that do not become free, and against ending requests that an endpoint works on.
func TestShortBudgetRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget(Limits{}, 0)
		for _, addr := range []string{"1", "2", "3"} {
			c := open(b, addr)
			c.receive(t, 3<<20)
			if addr != "3" {
				require.NoError(t, c.BeginServing())
			}
		}
		time.Sleep(time.Second)
		c := open(b, "4")
		c.BeginBody()
		start := time.Now()
		require.ErrorIs(t, c.Charge(1<<20), ErrShort, "the third one waits for memory, not for its caller")
		require.Zero(t, time.Since(start))
	})
}

// Guards against a holder that takes more than its share, and against large requests in the reserve of small ones.
func TestShares(t *testing.T) {
	for name, test := range map[string]struct {
		addrs      []string
		workspaces []string
		bytes      int64
		granted    int // of the connections in order
	}{
		"small of an address":      {[]string{"1", "1", "1", "1"}, nil, 0, 3},
		"connection":               {[]string{"1", "2"}, nil, testBytes/3 + 1, 1},
		"connection alone":         {[]string{"1"}, nil, testBytes * 3 / 4, 1},
		"more than all large ones": {[]string{"1"}, nil, testBytes*3/4 + 1, 0},
		"address":                  {[]string{"1", "1", "1"}, nil, 3 << 20, 2},
		"workspace":                {[]string{"1", "2", "3"}, []string{"w", "w", "w"}, 3 << 20, 2},
		"workspaces":               {[]string{"1", "2", "3"}, []string{"v", "w", "w"}, 3 << 20, 3},
		"reserve, large requests":  {[]string{"1", "2", "3", "4"}, nil, 3 << 20, 3},
		"reserve, small after all": {[]string{"1", "2", "3", "4"}, nil, 0, 4},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBudget(Limits{}, 0)
			granted := 0
			for i, addr := range test.addrs {
				c := open(b, addr)
				c.BeginBody()
				if test.workspaces != nil {
					c.SetWorkspace(test.workspaces[i])
				}
				n := test.bytes
				if n == 0 {
					n = []int64{3 << 20, 3 << 20, 3 << 20, SmallRequestBytes}[i]
				}
				if c.Charge(n) == nil {
					granted++
				}
			}
			require.Equal(t, test.granted, granted)
		})
	}
}

// Guards against the beginnings of large requests that fill the reserve of small ones.
func TestReserveIsClosedToTheBeginningsOfLargeRequests(t *testing.T) {
	for _, expected := range []int64{SmallRequestBytes + 1, -1} {
		b := newBudget(Limits{}, 0)
		for i := range 300 {
			c := open(b, strconv.Itoa(i))
			c.BeginBody()
			c.ExpectBody(expected)
			_ = c.Charge(maxUnstatedBytes + 1) // refused when the share of large requests is used up
		}
		c := open(b, "small")
		c.BeginBody()
		c.ExpectBody(100)
		require.NoError(t, c.Charge(SmallRequestBytes))
	}
}

// Guards against bytes or groups that stay behind when requests and connections end.
func TestNothingStaysCharged(t *testing.T) { synctest.Test(t, testNothingStaysCharged) }

func testNothingStaysCharged(t *testing.T) {
	b := newBudget(Limits{}, 2)
	first, second := open(b, "1"), open(b, "2")
	for range 3 {
		first.receive(t, 2<<20)
		first.SetWorkspace("w")
		require.NoError(t, first.BeginServing())
		require.NoError(t, first.Charge(1<<20))
		first.Release(1 << 19)
		first.EndRequest()
	}
	time.Sleep(2 * time.Second)
	first.receive(t, 1)
	third := open(b, "3")
	require.Equal(t, []Ending{{ReasonConnections, Idle, false}}, second.endings)
	for _, c := range []*caller{first, second, third} {
		c.Close()
		c.Close()
	}
	require.Equal(t, group{}, b.total)
	require.Equal(t, group{}, b.large)
	require.Empty(t, b.addresses)
	require.Empty(t, b.workspaces)
	require.Empty(t, b.accounts)
}

// Guards against a place for a new connection that is taken from a request that is being served, or from another address.
func TestPlacesOfConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget(Limits{}, 4)
		served, idle := open(b, "1"), open(b, "2")
		served.BeginBody()
		require.NoError(t, served.BeginServing())
		time.Sleep(time.Second)
		crowd := open(b, "3")
		time.Sleep(time.Second)
		require.NotNil(t, open(b, "3").Account)
		require.NotNil(t, open(b, "3").Account)
		require.Len(t, crowd.endings, 1, "the address has more than its share")
		require.Empty(t, idle.endings)
		require.NotNil(t, open(b, "4").Account)
		require.Len(t, idle.endings, 1)
		require.Empty(t, served.endings)
	})
}

// Guards against connections that stay open without progress, and against ending those that an endpoint or the process delays.
func TestLimitsOfTime(t *testing.T) {
	limits := Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	for name, test := range map[string]struct {
		use    func(t *testing.T, c *caller)
		within time.Duration // 0: never ended
		reason Reason
	}{
		"idle": {func(*testing.T, *caller) {}, 16 * time.Second, ReasonIdleTime},
		"head": {func(_ *testing.T, c *caller) { c.EndRead(1) }, 4 * time.Second, ReasonHeadTime},
		"body": {func(t *testing.T, c *caller) { c.receive(t, 1<<20); c.BeginRead() }, 21 * time.Second, ReasonSlowBody},
		"slow body": {func(t *testing.T, c *caller) {
			c.receive(t, 1)
			go func() {
				for range 50 {
					c.BeginRead()
					time.Sleep(time.Second)
					c.EndRead(100)
				}
			}()
		}, 11 * time.Second, ReasonSlowBody},
		"answer":            {func(_ *testing.T, c *caller) { c.BeginBody(); _ = c.BeginServing(); c.BeginWrite() }, 31 * time.Second, ReasonUnread},
		"endpoint":          {func(_ *testing.T, c *caller) { c.BeginBody(); _ = c.BeginServing(); c.BeginRead() }, 0, ReasonNone},
		"body not yet read": {func(t *testing.T, c *caller) { c.receive(t, 1) }, 0, ReasonNone},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBudget(limits, 0)
				c := open(b, "1")
				test.use(t, c)
				for waited := time.Duration(0); waited < max(test.within, time.Minute); waited += sweepInterval {
					time.Sleep(sweepInterval)
					b.Sweep()
					if waited < test.within/2 || test.within == 0 {
						require.Empty(t, c.endings)
					}
				}
				if test.within > 0 {
					require.Len(t, c.endings, 1)
					require.Equal(t, test.reason, c.endings[0].Reason)
				}
			})
		})
	}
}

// Guards against ending all callers after the process has been suspended, which their limits would otherwise run through.
func TestSuspendedProcessExcusesItsCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget(Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}, 0)
		idle, head, body, answer := open(b, "1"), open(b, "1"), open(b, "1"), open(b, "1")
		head.EndRead(1)
		body.receive(t, 1)
		body.BeginRead()
		answer.BeginBody()
		require.NoError(t, answer.BeginServing())
		answer.BeginWrite()
		b.Sweep()
		time.Sleep(time.Hour)
		b.Sweep()
		for _, c := range []*caller{idle, head, body, answer} {
			require.Empty(t, c.endings)
		}
		for range 40 * 4 {
			time.Sleep(sweepInterval)
			b.Sweep()
		}
		for _, c := range []*caller{idle, head, body, answer} {
			require.Len(t, c.endings, 1)
		}
	})
}

// Guards against bodies that are cut off and look complete, against bytes over the limit, and against more charged than read bytes stay.
func TestReadAll(t *testing.T) {
	for _, size := range []int{0, 1, firstSegment, maxSegment, maxSegment + 1, 1 << 20} {
		want := bytes.Repeat([]byte("x"), size)
		for _, expected := range []int64{-1, int64(size), int64(size) + 5} {
			b := newBudget(Limits{}, 0)
			c := open(b, "1")
			for _, r := range []io.Reader{bytes.NewReader(want), iotest.DataErrReader(bytes.NewReader(want)), iotest.HalfReader(bytes.NewReader(want))} {
				buf, err := ReadAll(r, expected, 0, c.Account)
				require.NoError(t, err)
				require.Equal(t, want, append([]byte{}, bytes.Join(buf.Segments(), nil)...))
				require.Equal(t, int64(size), buf.Len())
				require.GreaterOrEqual(t, b.total.held, int64(size))
				buf.Release()
				require.Zero(t, b.total.held)
			}
			_, err := ReadAll(io.MultiReader(bytes.NewReader(want), iotest.ErrReader(io.ErrUnexpectedEOF)), expected, 0, c.Account)
			require.ErrorIs(t, err, io.ErrUnexpectedEOF)
			if size > 1 { // 0 is no limit
				_, err = ReadAll(bytes.NewReader(want), -1, int64(size)-1, c.Account)
				require.ErrorIs(t, err, ErrTooLarge)
			}
			_, err = ReadAll(bytes.NewReader(want), -1, int64(size)+1, c.Account)
			require.NoError(t, err)
		}
	}
	b := newBudget(Limits{}, 0)
	c := open(b, "1")
	_, err := ReadAll(bytes.NewReader(make([]byte, 10<<20)), -1, 0, c.Account)
	require.ErrorIs(t, err, ErrShort)
	require.Zero(t, b.total.held)
}

// Guards against a largest legal request that the smallest machine refuses without other load.
func TestLargestRequestFitsTheSmallestMachine(t *testing.T) {
	sizes := SizesFor(160<<20, 4096)
	require.Equal(t, Sizes{Bytes: 40 << 20, Connections: 426}, sizes)
	require.Equal(t, 1386, SizesFor(0, 4096).Connections)
	require.Equal(t, Sizes{}, SizesFor(0, 0))
	b := New(Options{Sizes: sizes})
	c := open(b, "1")
	c.BeginBody()
	require.NoError(t, c.Charge(16<<10*HeadCost+RequestCost))
	for _, size := range []int64{4 << 20, 8 << 20} {
		_, err := ReadAll(io.LimitReader(zeros{}, size), -1, 0, c.Account)
		require.NoError(t, err)
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// BenchmarkRequest measures what a request of one segment costs, and what a refused one costs that searches all accounts of a small machine.
func BenchmarkRequest(b *testing.B) {
	for _, refused := range []bool{false, true} {
		b.Run(map[bool]string{false: "served", true: "refused"}[refused], func(b *testing.B) {
			budget := New(Options{Sizes: SizesFor(160<<20, 4096)})
			for i := range budget.opts.Connections - 1 {
				c := open(budget, strconv.Itoa(i))
				if refused {
					c.BeginBody()
					_ = c.Charge(SmallRequestBytes) // until the budget is used up
				}
			}
			c := open(budget, "last")
			for b.Loop() {
				c.BeginRead()
				c.EndRead(1000)
				_ = c.Charge(1000) // refused in one case
				c.BeginBody()
				_ = c.Charge(SmallRequestBytes - 1000) // as above
				_ = c.BeginServing()                   // it is not being ended
				c.BeginWrite()
				c.EndWrite(1000)
				c.EndRequest()
			}
		})
	}
}
