package fleet

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// generateText returns a text with 19 models and the given number of workspaces, each with a key. Texts of different
// revisions differ in one line.
func generateText(workspaces, revision int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "settings:\n  failure_domains: [a, b, c, d, e, f, g]\n  max_body_bytes: %d\nmodels:\n", 1<<20+revision)
	for i := range 19 {
		fmt.Fprintf(&b, "  model-%02d:\n    version: v%d\n    endpoints: [\"model-%02d-{01..40}\"]\n", i, i, i)
	}
	b.WriteString("workspaces:\n")
	for i := range workspaces {
		fmt.Fprintf(&b, "  workspace-%05d:\n    weight: 1\n    requests_per_second: 50\n    key_hashes:\n      - %x\n", i, sha256.Sum256([]byte{byte(i), byte(i >> 8)}))
	}
	return []byte(b.String())
}

// BenchmarkSnapshot measures the time to parse and index a text by the number of workspaces, and the size of a snapshot.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{100, 1000, 11000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			raw := generateText(n, 0)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var s *Snapshot
			b.ReportAllocs()
			for b.Loop() {
				var faults []Fault
				if s, faults = NewSnapshot(1, raw); len(faults) > 0 {
					b.Fatal(faults[0])
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-B")
			b.ReportMetric(float64(len(raw)), "text-B")
			runtime.KeepAlive(s)
		})
	}
}

// BenchmarkPatch measures making and applying the patch for a change of one line.
func BenchmarkPatch(b *testing.B) {
	for _, n := range []int{100, 1000, 11000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			base, next := generateText(n, 0), generateText(n, 1)
			var patch []byte
			for b.Loop() {
				patch = MakePatch(base, next)
				if _, err := ApplyPatch(base, patch); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(patch)), "patch-B")
		})
	}
}
