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

func recallText(whenIsolated string, recalled string) []byte {
	return []byte(strings.NewReplacer("ISOLATED", whenIsolated, "RECALLED", recalled).Replace(`
settings: {failure_domains: [domain-0, domain-1, domain-2, domain-3, domain-4]}
models: {m: {version: "1", batch: b1, endpoints: [e1]}}
batches: {b1: {supplier: s}}
services: {chat: {kind: model, model: m, when_isolated: ISOLATED}}
recalled: [RECALLED]
`))
}

// canStartAnswer reports whether a node would start an answer from the batch. It applies the rule of entries and agents.
func canStartAnswer(n *Node) bool {
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

// measureRecall recalls the batch while a fault is active. It returns the time until the recall was reported in force (0 if
// it was not within a minute), the last time at which a node could start an answer from the batch, and how often a node
// could after the recall was in force.
func measureRecall(t *testing.T, faults epoch.FaultInjection, whenIsolated string,
	fault func(ctx context.Context, cluster *Cluster)) (timeToInForce, lastStart time.Duration, lateStarts int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cluster := NewCluster(Options{Entries: 5, Agents: 15, Domains: 5, Faults: faults})
		require.NoError(t, cluster.Start(ctx))
		time.Sleep(3 * time.Second)
		a := cluster.Nodes[0].Acceptor()
		_, err := a.Submit(ctx, epoch.Submission{ID: "one", Raw: recallText(whenIsolated, "")})
		require.NoError(t, err)
		time.Sleep(2 * propagationTarget)
		require.True(t, a.InForce(1))
		start := time.Now()
		go fault(ctx, cluster)
		time.Sleep(time.Millisecond)
		for {
			_, err = a.Submit(ctx, epoch.Submission{ID: "two", BaseEpoch: 1, Raw: recallText(whenIsolated, "b1")})
			if err == nil || time.Since(start) > 30*time.Second {
				break
			}
		}
		require.NoError(t, err)
		for time.Since(start) < time.Minute {
			for _, n := range cluster.Nodes {
				if !canStartAnswer(n) {
					continue
				}
				if lastStart = time.Since(start); timeToInForce > 0 {
					lateStarts++
				}
			}
			if timeToInForce == 0 && a.InForce(2) {
				timeToInForce = time.Since(start)
			}
			time.Sleep(5 * time.Millisecond)
		}
		cancel()
		cluster.Stop()
	})
	return timeToInForce, lastStart, lateStarts
}

func isolateDomains(cluster *Cluster, domains ...int) {
	for _, d := range domains {
		cluster.SetIsolated(DomainName(d), true)
	}
}

// recallFaults are the faults under which a recall must stop new answers within the freshness bound and propagationTarget.
var recallFaults = map[string]func(ctx context.Context, cluster *Cluster){
	"none": func(context.Context, *Cluster) {},
	"table down right after the write": func(_ context.Context, cluster *Cluster) {
		for cluster.Nodes[0].Epoch() < 2 {
			time.Sleep(time.Millisecond)
		}
		cluster.Table.SetDown(true)
	},
	"lost answers":       func(_ context.Context, cluster *Cluster) { cluster.Table.SetLoseResponses(true) },
	"partitioned domain": func(_ context.Context, cluster *Cluster) { isolateDomains(cluster, 4) },
	"partitioned region": func(_ context.Context, cluster *Cluster) { isolateDomains(cluster, 3, 4) },
	"paused agent": func(ctx context.Context, cluster *Cluster) {
		cluster.Nodes[9].Pause(true)
		_ = timing.Sleep(ctx, 12*time.Second)
		cluster.Nodes[9].Pause(false)
	},
	"restarts while the table is down": func(ctx context.Context, cluster *Cluster) {
		for cluster.Nodes[0].Epoch() < 2 {
			time.Sleep(time.Millisecond)
		}
		cluster.Table.SetDown(true)
		for _, n := range []*Node{cluster.Nodes[1], cluster.Nodes[7], cluster.Nodes[13]} {
			n.Stop()
			_ = n.Start(ctx) // the same options were valid at the first start
		}
	},
}

// Guards against an answer from a recalled batch that starts after the recall was reported in force, under each single
// fault, and against a recall that takes longer than 6 s or, in a partitioned part, longer than the freshness bound.
func TestRecallHoldsUnderFaults(t *testing.T) {
	for name, fault := range recallFaults {
		t.Run(name, func(t *testing.T) {
			timeToInForce, lastStart, lateStarts := measureRecall(t, epoch.FaultInjection{}, fleet.WhenIsolatedRefuse, fault)
			t.Logf("in force after %v, last start after %v", timeToInForce, lastStart)
			require.Positive(t, timeToInForce)
			require.Zero(t, lateStarts)
			require.LessOrEqual(t, lastStart, propagationTarget)
		})
	}
}

// Guards against a recall that is reported in force while a service in a partitioned region still answers from the batch
// because its when_isolated is serve.
func TestServingIsolatedServiceDelaysInForce(t *testing.T) {
	timeToInForce, lastStart, lateStarts := measureRecall(t, epoch.FaultInjection{}, fleet.WhenIsolatedServe,
		recallFaults["partitioned region"])
	require.Zero(t, timeToInForce)
	require.Zero(t, lateStarts)
	require.Greater(t, lastStart, 50*time.Second, "the partitioned region stopped serving")
}

// Guards against a check for late starts that can never fail: with evidence that never expires, a partitioned region must
// start answers from the batch after the recall was reported in force.
func TestRecallWithoutExpiryIsReported(t *testing.T) {
	_, _, lateStarts := measureRecall(t, epoch.FaultInjection{IgnoreEvidenceAge: true}, fleet.WhenIsolatedRefuse,
		recallFaults["partitioned region"])
	require.Positive(t, lateStarts)
}
