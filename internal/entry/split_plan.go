package entry

import (
	"math"
	"sort"
	"unicode/utf8"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/route"
)

// plan chooses the members with the most free memory and cuts the prompt in proportion to their memory.
func (s *splitRun) plan() ([]*segment, *errkind.Error) {
	total := s.r.promptTokens + s.r.maxTokens
	s.version = s.chooseVersion()
	members := s.candidates()
	share := wantedShare
	n, sum := enough(members, total, share)
	for (sum < total || n > len(members)/2) && share < usableShare { // the others remain as replacements
		share = min(share+shareStep, usableShare)
		n, sum = enough(members, total, share)
	}
	if sum < total {
		return nil, errkind.New(errkind.PromptTooLarge, "the engines' memory together does not hold the prompt")
	}
	members = members[:n]
	if !s.d.opts.Disabled.ReservationOrder {
		sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	}
	return s.cut(members, total, share, sum), nil
}

// enough returns how many of the first members hold the tokens with a share of their memory, and what these hold.
func enough(members []*route.Endpoint, tokens int64, share float64) (n int, sum int64) {
	for n < len(members) && sum < tokens {
		sum += usable(members[n], share)
		n++
	}
	return n, sum
}

func (s *splitRun) candidates() []*route.Endpoint {
	var members []*route.Endpoint
	free := make(map[*route.Endpoint]int64)
	for _, e := range s.d.pool(s.r.snap, &s.r.target).Endpoints() {
		report, _ := e.Report()
		if e.Available() && !s.excluded[e] && report.KVCapacityTokens > 0 && s.versionAt(e) == s.version {
			members = append(members, e)
			free[e] = report.KVFreeTokens
		}
	}
	sort.SliceStable(members, func(i, j int) bool { return free[members[i]] > free[members[j]] })
	return members
}

// chooseVersion returns the version that all members use. During a rollout it is the one whose endpoints have the most
// memory together.
func (s *splitRun) chooseVersion() endpoint.Version {
	best, memory := s.r.target.Version, make(map[endpoint.Version]int64)
	for _, e := range s.d.pool(s.r.snap, &s.r.target).Endpoints() {
		if e.Available() && !s.excluded[e] {
			memory[s.versionAt(e)] += usable(e, usableShare)
		}
	}
	for v, sum := range memory {
		if sum > memory[best] {
			best = v
		}
	}
	return best
}

func (s *splitRun) versionAt(e *route.Endpoint) endpoint.Version {
	node, _ := s.d.members.Endpoint(e.Name) // without a node the target's version
	return s.r.versionAt(node)
}

func usable(e *route.Endpoint, share float64) int64 {
	report, _ := e.Report()
	return int64(float64(report.KVCapacityTokens) * share)
}

func (s *splitRun) cut(members []*route.Endpoint, total int64, share float64, sum int64) []*segment {
	rest := s.r.prompt
	segments := make([]*segment, len(members))
	for i, e := range members {
		tokens := int64(math.Ceil(float64(total) * float64(usable(e, share)) / float64(sum)))
		text := rest
		if i < len(members)-1 {
			text = cutText(rest, tokens)
		}
		rest = rest[len(text):]
		tokens = int64(endpoint.EstimateTokens(text))
		if i == len(members)-1 {
			tokens += s.r.maxTokens
		}
		segments[i] = s.newSegment(e, text, tokens)
	}
	return segments
}

func (s *splitRun) newSegment(e *route.Endpoint, text string, tokens int64) *segment {
	node, _ := s.d.members.Endpoint(e.Name) // without a node the reservation fails
	return &segment{ep: e, node: node, reservation: newID(), text: text, tokens: tokens}
}

// cutText returns the beginning of text with at most the given tokens, cut between runes.
func cutText(text string, tokens int64) string {
	low, high := 0, len(text)
	for low < high {
		mid := (low + high + 1) / 2
		if int64(endpoint.EstimateTokens(text[:mid])) <= tokens {
			low = mid
		} else {
			high = mid - 1
		}
	}
	for low > 0 && low < len(text) && !utf8.RuneStart(text[low]) {
		low--
	}
	return text[:low]
}
