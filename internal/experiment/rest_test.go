package experiment

import (
	"context"
	"runtime"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Control-plane budget of one node: 1.6% of a core, 32 MB.
const (
	maxCore = 1.6
	maxHeap = 32 << 10 // KiB
)

func processorTime(t *testing.T) time.Duration {
	var u syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// atRest returns the mean processor time in percent of a core and the mean heap in KiB of a control node without
// changes. Messages are passed in memory, so the transport is not included.
func atRest(t *testing.T, entries, agents int) (core, heap float64) {
	const span = 30 * time.Second
	nodes := float64(entries + agents)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := NewWorld(Options{Entries: entries, Agents: agents, Domains: 7})
		require.NoError(t, w.Start(ctx))
		time.Sleep(warmUp)
		start := processorTime(t)
		time.Sleep(span)
		used := processorTime(t) - start
		runtime.GC()
		runtime.ReadMemStats(&after)
		core = 100 * used.Seconds() / span.Seconds() / nodes
		heap = (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / nodes / 1024
		cancel()
		w.Stop()
	})
	return core, heap
}

// Guards against control work at rest over the stated budget of a node. With -long it prints the table of sizes.
func TestCostAtRest(t *testing.T) {
	sizes := [][2]int{{8, 11}}
	if *long {
		sizes = append(sizes, [][2]int{{32, 110}, {64, 220}, {96, 330}}...)
	}
	for _, s := range sizes {
		core, heap := atRest(t, s[0], s[1])
		t.Logf("\n| %d | %d | %.4f | %.0f |", s[0], s[1], core, heap)
		require.Less(t, core, maxCore)
		require.Less(t, heap, float64(maxHeap))
	}
}
