package experiment

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/epoch"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/internal/timing"
	"github.com/bilberrylink/bilberrylink/invariant"
	"github.com/bilberrylink/bilberrylink/peer"
)

var long = flag.Bool("long", false, "run more seeds and the full cluster sizes")

// propagationTarget is the documented limit within which an accepted text must reach every connected node.
const propagationTarget = 6 * time.Second

// randomisedRun is a test run with random faults and the violations that it detected.
type randomisedRun struct {
	cluster *Cluster
	rand    *rand.Rand

	mu                sync.Mutex
	submissionByEpoch map[int64]string // id of the accepted submission, by epoch
	highestInForce    int64
	violations        map[string]string // first violation, by name of the invariant
	acceptedCount     int
	unknownCount      int
}

func (r *randomisedRun) check(ok bool, name, format string, args ...any) {
	if ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.violations[name] == "" {
		r.violations[name] = fmt.Sprintf(format, args...)
	}
}

// submit sends a change to entry n, based on the epoch that the entry holds.
func (r *randomisedRun) submit(ctx context.Context, n *Node, revision int) {
	a := n.Acceptor()
	id := fmt.Sprintf("submission-%d", revision)
	accepted, err := a.Submit(ctx, epoch.Submission{ID: id, BaseEpoch: n.Epoch(), Raw: ConfigText(r.cluster.options.Domains, 5, revision)})
	if errkind.Is(err, errkind.AcceptanceUnknown) {
		r.mu.Lock()
		r.unknownCount++
		r.mu.Unlock()
	}
	if err != nil {
		return
	}
	heldElsewhere := slices.ContainsFunc(r.cluster.Nodes, func(m *Node) bool { return m != n && m.Epoch() >= accepted.Epoch })
	r.check(heldElsewhere, "confirmed_elsewhere", "epoch %d was accepted at %s, but no other node holds it", accepted.Epoch, n.Name)
	r.mu.Lock()
	previous, exists := r.submissionByEpoch[accepted.Epoch]
	r.submissionByEpoch[accepted.Epoch] = id
	r.acceptedCount++
	r.mu.Unlock()
	r.check(!exists || previous == id, "one_winner", "epoch %d was accepted for both %s and %s", accepted.Epoch, previous, id)
}

// monitor checks on every node that its epoch never decreases, and that it has no fresh evidence while it holds an epoch
// older than one in force.
func (r *randomisedRun) monitor(ctx context.Context) {
	lastEpoch := make(map[*peer.Peer]int64) // by peer, because a restarted node begins without an epoch
	for ctx.Err() == nil {
		for _, n := range r.cluster.Nodes {
			p := n.Peer()
			if p == nil {
				continue
			}
			if a := n.Acceptor(); n.Role == "entry" {
				for e := r.highestInForce + 1; a.InForce(e); e++ {
					r.highestInForce = e
				}
			}
			held, fresh := p.EpochStore().Epoch(), p.EpochStore().Fresh()
			r.check(held >= lastEpoch[p], "epoch_falls", "%s went back from epoch %d to %d", n.Name, lastEpoch[p], held)
			lastEpoch[p] = held
			r.check(held >= r.highestInForce || !fresh, "fresh_without_epoch",
				"%s holds epoch %d with fresh evidence while %d is in force", n.Name, held, r.highestInForce)
		}
		_ = timing.Sleep(ctx, 50*time.Millisecond)
	}
}

// runRandomised runs a cluster under random faults, removes them, and checks that all nodes reach the same epoch.
func runRandomised(t *testing.T, seed uint64, o Options, steps int) *randomisedRun {
	r := &randomisedRun{rand: rand.New(rand.NewPCG(seed, 0)), submissionByEpoch: make(map[int64]string),
		violations: make(map[string]string)}
	restore := invariant.SetHandler(func(name, detail string) { r.check(false, name, "%s", detail) })
	defer restore()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r.cluster = NewCluster(o)
		require.NoError(t, r.cluster.Start(ctx))
		time.Sleep(3 * time.Second)
		r.submit(ctx, r.cluster.Nodes[0], 0)
		var wg sync.WaitGroup
		wg.Go(func() { r.monitor(ctx) })
		for step := range steps {
			r.injectFault(ctx, &wg, step)
		}
		r.clearFaults(ctx)
		time.Sleep(propagationTarget + 10*time.Second)
		r.submit(ctx, r.cluster.Nodes[0], 1_000_000)
		time.Sleep(propagationTarget)
		want := r.cluster.Nodes[0].Epoch()
		for _, n := range r.cluster.Nodes {
			r.check(n.Epoch() == want, "reaches_all", "%s holds epoch %d, not %d, after 6 s", n.Name, n.Epoch(), want)
			r.check(n.Peer().EpochStore().Fresh(), "fresh_when_healed", "%s has no fresh evidence", n.Name)
		}
		cancel()
		wg.Wait()
		r.cluster.Stop()
	})
	return r
}

// injectFault starts or ends one random fault, submits two changes and waits for up to 5 s.
func (r *randomisedRun) injectFault(ctx context.Context, wg *sync.WaitGroup, step int) {
	nodes, entries := r.cluster.Nodes, r.cluster.Nodes[:r.cluster.options.Entries]
	domain := DomainName(r.rand.IntN(r.cluster.options.Domains))
	switch r.rand.IntN(6) {
	case 0:
		r.cluster.Table.SetDown(r.rand.IntN(2) == 0)
	case 1:
		r.cluster.Table.SetLoseResponses(r.rand.IntN(2) == 0)
	case 2:
		r.cluster.SetIsolated(domain, true)
	case 3:
		r.cluster.SetIsolated(domain, false)
	case 4:
		n := nodes[r.rand.IntN(len(nodes))]
		n.Pause(n.Running())
	case 5:
		n := nodes[r.rand.IntN(len(nodes))]
		n.Stop()
		_ = n.Start(ctx) // the same options were valid at the first start
	}
	for i := range 2 {
		n := entries[r.rand.IntN(len(entries))]
		wg.Go(func() { r.submit(ctx, n, 10*step+i+10) })
	}
	time.Sleep(time.Duration(r.rand.IntN(5000)) * time.Millisecond)
}

func (r *randomisedRun) clearFaults(context.Context) {
	r.cluster.Table.SetDown(false)
	r.cluster.Table.SetLoseResponses(false)
	for i := range r.cluster.options.Domains {
		r.cluster.SetIsolated(DomainName(i), false)
	}
	for _, n := range r.cluster.Nodes {
		n.Pause(false)
	}
}

// Guards against an epoch that decreases or is accepted for two submissions, a text that does not reach every node, and a
// node that serves an old text after a newer one was reported in force, while faults of all kinds overlap.
func TestInvariantsHoldUnderFaults(t *testing.T) {
	seeds := uint64(4)
	if *long {
		seeds = 60
	}
	accepted, unknown := 0, 0
	for seed := range seeds {
		r := runRandomised(t, seed+1, Options{Entries: 6, Agents: 6, Domains: 3}, 25)
		require.Empty(t, r.violations, "seed %d", seed+1)
		accepted += r.acceptedCount
		unknown += r.unknownCount
	}
	t.Logf("%d seeds: %d texts accepted, %d submissions with an unknown outcome", seeds, accepted, unknown)
	require.Greater(t, accepted, int(seeds), "the runs accepted too few texts")
}

// maxSeeds limits the seeds that are tried until a disabled mechanism causes a violation. Most do within ten.
const maxSeeds = 100

// Guards against checks that can never fail: with a mechanism disabled, some run must report the violation.
func TestRunReportsMissingMechanism(t *testing.T) {
	for _, c := range []struct {
		name    string
		options Options
		want    string
	}{
		{"commit without condition", Options{UnconditionalCommit: true}, "one_winner"},
		{"evidence never expires", Options{Faults: epoch.FaultInjection{IgnoreEvidenceAge: true}}, "fresh_without_epoch"},
		{"acceptance without confirmation", Options{SkipConfirmation: true}, "confirmed_elsewhere"},
		{"older epochs are adopted", Options{Faults: epoch.FaultInjection{AdoptLowerEpoch: true}}, "epoch_monotonic"},
		{"propagation by polling alone", Options{PollOnly: true}, "reaches_all"},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.options.Entries, c.options.Agents, c.options.Domains = 6, 6, 3
			if c.options.PollOnly {
				c.options.Agents = 114
			}
			for seed := range uint64(maxSeeds) {
				if r := runRandomised(t, seed+1, c.options, 25); r.violations[c.want] != "" {
					t.Logf("seed %d: %s", seed+1, r.violations[c.want])
					return
				}
			}
			t.Fatalf("no seed reported %s", c.want)
		})
	}
}
