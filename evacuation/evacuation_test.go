package evacuation

import (
	"io"
	"slices"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func newTracker(onChange func([]string)) *Tracker {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Options{OnChange: onChange, Log: log})
}

// operatorTable is the operator's table in the store, which gateways read in full or by its changes.
type operatorTable struct {
	position  int64
	history   []Change
	evacuated map[string]bool
}

func (o *operatorTable) write(domain string, evacuated bool) {
	o.position++
	o.history = append(o.history, Change{FailureDomain: domain, Position: o.position, Evacuated: evacuated})
	o.evacuated[domain] = evacuated
}

func (o *operatorTable) list() List {
	list := List{Position: o.position}
	for domain, evacuated := range o.evacuated {
		if evacuated {
			list.FailureDomains = append(list.FailureDomains, domain)
		}
	}
	slices.Sort(list.FailureDomains)
	return list
}

// Gateways that learn the list from the store or from peers, with messages that are lost, late, repeated and out of order, must never go back
// to an older list, must always hold one that was in force at its position, and must agree once each has heard of the latest one.
func TestNoGatewayRevertsToAnOlderList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := &operatorTable{evacuated: make(map[string]bool)}
		inForce := []List{table.list()} // by position
		gateways, read, published := make([]*Tracker, 4), make([]int, 4), make([][]string, 4)
		latest := make([]int64, len(gateways))
		for i := range gateways {
			gateways[i] = newTracker(func(domains []string) { published[i] = domains })
		}
		var inFlight []List
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			i := rapid.IntRange(0, len(gateways)-1).Draw(t, "gateway")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				table.write(rapid.SampledFrom([]string{"north", "south", "west"}).Draw(t, "domain"), rapid.Bool().Draw(t, "evacuated"))
				inForce = append(inForce, table.list())
			case 1: // a feed, which continues where this gateway has read to, or repeats a part
				from := rapid.IntRange(0, read[i]).Draw(t, "from")
				to := rapid.IntRange(from, len(table.history)).Draw(t, "to")
				gateways[i].Update(table.history[from:to], int64(to))
				read[i] = max(read[i], to)
			case 2:
				gateways[i].Replace(table.list())
				read[i] = len(table.history)
			case 3:
				inFlight = append(inFlight, gateways[i].List())
			case 4:
				if len(inFlight) > 0 { // messages stay in flight, so they arrive late and more than once
					gateways[i].Merge("peer", rapid.SampledFrom(inFlight).Draw(t, "message"))
				}
			}
			for i, g := range gateways {
				list := g.List()
				require.GreaterOrEqual(t, list.Position, latest[i])
				latest[i] = list.Position
				require.ElementsMatch(t, inForce[list.Position].FailureDomains, list.FailureDomains)
				require.ElementsMatch(t, list.FailureDomains, published[i])
			}
		}
		gateways[0].Replace(table.list())
		for _, g := range gateways[1:] {
			g.Merge("peer", gateways[0].List())
			require.ElementsMatch(t, table.list().FailureDomains, g.List().FailureDomains)
		}
	})
}

// A gateway that the store does not answer must hear of the end of an evacuation, also if its peers have started since and never knew of
// it. A fleet without evacuations must send nothing.
func TestEndIsRepeatedToPeersThatLackIt(t *testing.T) {
	fresh := newTracker(nil)
	fresh.Replace(List{Position: 9})
	_, repeats := fresh.ToRepeat()
	require.False(t, repeats, "no evacuation")
	fresh.Merge("peer", List{Position: 7, FailureDomains: []string{"north"}})
	list, repeats := fresh.ToRepeat()
	require.True(t, repeats)
	require.Equal(t, List{Position: 9}, list)
	_, repeats = fresh.ToRepeat()
	require.False(t, repeats, "once for each sign of the peer")
}

// Only what this gateway has read itself is announced at once: lists of peers would otherwise be passed on by every gateway.
func TestOnlyListsFromTheStoreAreAnnounced(t *testing.T) {
	g := newTracker(nil)
	g.Merge("peer", List{Position: 3, FailureDomains: []string{"north"}})
	require.Empty(t, g.Changed())
	g.Update(nil, 4)
	require.Empty(t, g.Changed(), "known already")
	g.Update([]Change{{FailureDomain: "north", Position: 5}}, 5)
	require.Len(t, g.Changed(), 1)
}
