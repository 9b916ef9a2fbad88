package experiment

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/epoch"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/internal/timing"
)

var batchVersion = endpoint.Version{Model: "m", Version: "1", Batch: "b1"}

func recallText(isolated string, recalled string) []byte {
	return []byte(strings.NewReplacer("ISOLATED", isolated, "RECALLED", recalled).Replace(`
settings: {failure_domains: [domain-0, domain-1, domain-2, domain-3, domain-4]}
models: {m: {version: "1", batch: b1, endpoints: [e1]}}
batches: {b1: {supplier: s}}
services: {chat: {kind: model, model: m, when_isolated: ISOLATED}}
recalled: [RECALLED]
`))
}

// mayStart reports whether a node would start an answer from the batch, by the rule that entries and agents apply.
func mayStart(n *Node) bool {
	p := n.Peer()
	if p == nil || !n.Running() {
		return false
	}
	s := p.EpochStore().Snapshot()
	if s == nil || s.Text.Services["chat"].WhenIsolated != fleet.WhenIsolatedServe && !p.EpochStore().Fresh() {
		return false
	}
	_, recalled := s.Recalled(batchVersion)
	return !recalled
}

// recallUnder recalls the batch while a fault is in force. It returns the time to in force, 0 if that did not come within
// a minute, the time to the last moment at which a node could start an answer, and how many nodes could after in force.
func recallUnder(t *testing.T, off epoch.FaultInjection, isolated string, fault func(ctx context.Context, w *World)) (force, last time.Duration, late int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := NewWorld(Options{Entries: 5, Agents: 15, Domains: 5, Faulty: off})
		require.NoError(t, w.Start(ctx))
		time.Sleep(3 * time.Second)
		a := w.Nodes[0].Acceptor()
		_, err := a.Submit(ctx, epoch.Submission{ID: "one", Raw: recallText(isolated, "")})
		require.NoError(t, err)
		time.Sleep(2 * propagationBound)
		require.True(t, a.InForce(1))
		began := time.Now()
		go fault(ctx, w)
		time.Sleep(time.Millisecond)
		for {
			_, err = a.Submit(ctx, epoch.Submission{ID: "two", BaseEpoch: 1, Raw: recallText(isolated, "b1")})
			if err == nil || time.Since(began) > 30*time.Second {
				break
			}
		}
		require.NoError(t, err)
		for time.Since(began) < time.Minute {
			for _, n := range w.Nodes {
				if !mayStart(n) {
					continue
				}
				if last = time.Since(began); force > 0 {
					late++
				}
			}
			if force == 0 && a.InForce(2) {
				force = time.Since(began)
			}
			time.Sleep(5 * time.Millisecond)
		}
		cancel()
		w.Stop()
	})
	return force, last, late
}

func cutDomains(w *World, domains ...int) {
	for _, d := range domains {
		w.Cut(DomainName(d), true)
	}
}

// recallFaults are the faults under which a recall must stop within the freshness bound and the stated 6 s.
var recallFaults = map[string]func(ctx context.Context, w *World){
	"none": func(context.Context, *World) {},
	"table down right after the write": func(_ context.Context, w *World) {
		for w.Nodes[0].Epoch() < 2 {
			time.Sleep(time.Millisecond)
		}
		w.Table.SetDown(true)
	},
	"lost answers":  func(_ context.Context, w *World) { w.Table.SetLoseAnswers(true) },
	"parted domain": func(_ context.Context, w *World) { cutDomains(w, 4) },
	"parted region": func(_ context.Context, w *World) { cutDomains(w, 3, 4) },
	"paused agent": func(ctx context.Context, w *World) {
		w.Nodes[9].Pause(true)
		_ = timing.Sleep(ctx, 12*time.Second)
		w.Nodes[9].Pause(false)
	},
	"restarts while the table is down": func(ctx context.Context, w *World) {
		for w.Nodes[0].Epoch() < 2 {
			time.Sleep(time.Millisecond)
		}
		w.Table.SetDown(true)
		for _, n := range []*Node{w.Nodes[1], w.Nodes[7], w.Nodes[13]} {
			n.Stop()
			_ = n.Start(ctx) // the options were accepted at the first start
		}
	},
}

// Guards against an answer from a recalled batch that starts after the recall was reported in force, under each fault
// alone, and against a recall that needs longer than the stated 6 s and, in a parted part, the freshness bound.
func TestRecallHoldsUnderFaults(t *testing.T) {
	for name, fault := range recallFaults {
		t.Run(name, func(t *testing.T) {
			force, last, late := recallUnder(t, epoch.FaultInjection{}, fleet.WhenIsolatedRefuse, fault)
			t.Logf("in force after %v, last start after %v", force, last)
			require.Positive(t, force)
			require.Zero(t, late)
			require.LessOrEqual(t, last, propagationBound)
		})
	}
}

// Guards against in force while a parted service that the text marks serve still answers from the batch.
func TestIsolatedServiceHoldsUpInForce(t *testing.T) {
	force, last, late := recallUnder(t, epoch.FaultInjection{}, fleet.WhenIsolatedServe, recallFaults["parted region"])
	require.Zero(t, force)
	require.Zero(t, late)
	require.Greater(t, last, 50*time.Second, "the parted region serves on")
}

// Guards against the check above reporting nothing: with evidence that never expires, a parted region starts answers from
// the batch after in force.
func TestRecallWithoutExpiryIsReported(t *testing.T) {
	_, _, late := recallUnder(t, epoch.FaultInjection{IgnoreEvidenceAge: true}, fleet.WhenIsolatedRefuse, recallFaults["parted region"])
	require.Positive(t, late)
}
