package throttle

import (
	"math"
	"time"
)

const (
	// minWindow is the shortest window over which the requests to an endpoint are counted. A longer one allows larger bursts.
	minWindow = 2 * time.Second
	// maxWindow bounds the window of low limits. An endpoint that accepts nothing gets one request in it, whose response tells whether
	// that still holds.
	maxWindow = 30 * time.Second
	// usedShare is the share of a limit that is used. The rest makes up for requests that gateways send before they hear of each other's.
	usedShare = 0.95
	// contentionTime is the longest time that a gateway waits, for each other gateway, before it takes room that all of them see at the same
	// time. The share that it waits is random, so that most hear of a request before they send one.
	contentionTime = 75 * time.Millisecond
	// reuseTime is the time for which a gateway keeps room for itself that its own request has left: nobody else takes it at the same
	// moment. It does so for reuseShare of its requests, so that others get their turn.
	reuseTime  = 200 * time.Millisecond
	reuseShare = 0.75
	// uncoveredShare is the share of a limit that gateways use which do not hear of each other's requests to the endpoint at once.
	uncoveredShare = 0.5
)

// Access tells how a gateway shares an endpoint with others.
type Access int

const (
	Shared    Access = iota // the gateways that use the endpoint hear of each other's requests at once
	Foreign                 // it is left to gateways near the endpoint
	Uncovered               // there are no gateways near the endpoint
)

// allowance returns the number of requests that an endpoint with a limit gets in a window. Their ratio is the used share of the limit.
func allowance(perSecond float64) (requests int, window time.Duration) {
	requests = int(math.Ceil(perSecond * minWindow.Seconds()))
	if requests < 1 {
		return 1, maxWindow
	}
	return requests, min(time.Duration(float64(requests)/perSecond/usedShare*float64(time.Second)), maxWindow)
}

// contentionDelay returns the longest time for which a gateway waits before it takes room for some requests that it shares with others.
func contentionDelay(room, gateways int) time.Duration {
	return contentionTime * time.Duration(max(gateways-1, 0)) / time.Duration(max(room, 1))
}

// mayWait reports whether a request waits while all endpoints are at their limits. A request that no endpoint accepts in time is
// rejected at once, so that its caller can return when one does.
func mayWait(waited, longest, nextFree time.Duration) bool { return waited+nextFree <= longest }
