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

// Budget of one node for control-plane work.
const (
	maxCPUPercent = 1.6
	maxHeapKiB    = 32 << 10
)

func cpuTime(t *testing.T) time.Duration {
	var u syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureIdleCost returns the mean CPU time in percent of a core and the mean heap in KiB that a node takes while the
// configuration does not change. Messages are passed in memory, so the cost of the transport is not included.
func measureIdleCost(t *testing.T, entries, agents int) (cpuPercent, heapKiB float64) {
	const duration = 30 * time.Second
	nodes := float64(entries + agents)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cluster := NewCluster(Options{Entries: entries, Agents: agents, Domains: 7})
		require.NoError(t, cluster.Start(ctx))
		time.Sleep(warmUpTime)
		start := cpuTime(t)
		time.Sleep(duration)
		used := cpuTime(t) - start
		runtime.GC()
		runtime.ReadMemStats(&after)
		cpuPercent = 100 * used.Seconds() / duration.Seconds() / nodes
		heapKiB = (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / nodes / 1024
		cancel()
		cluster.Stop()
	})
	return cpuPercent, heapKiB
}

// Guards against control-plane work that exceeds a node's budget while nothing changes. With -long it also measures larger
// clusters. Each log line is a row of a Markdown table.
func TestCostAtRest(t *testing.T) {
	sizes := [][2]int{{8, 11}}
	if *long {
		sizes = append(sizes, [][2]int{{32, 110}, {64, 220}, {96, 330}}...)
	}
	for _, s := range sizes {
		cpuPercent, heapKiB := measureIdleCost(t, s[0], s[1])
		t.Logf("\n| %d | %d | %.4f | %.0f |", s[0], s[1], cpuPercent, heapKiB)
		require.Less(t, cpuPercent, maxCPUPercent)
		require.Less(t, heapKiB, float64(maxHeapKiB))
	}
}
