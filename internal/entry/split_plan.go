package entry

import (
	"math"
	"slices"
	"sort"
	"unicode/utf8"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/route"
)

// plan chooses the members with the most free memory and cuts the prompt in proportion to their capacity.
func (s *splitRequest) plan() ([]*segment, *errkind.Error) {
	totalTokens := s.r.promptTokens + s.r.maxTokens
	s.version = s.chooseVersion()
	members := s.candidates()
	share := preferredMemoryShare
	count, heldTokens := countMembers(members, totalTokens, share)
	// Half of the candidates should remain as replacements.
	for (heldTokens < totalTokens || count > len(members)/2) && share < maxMemoryShare {
		share = min(share+memoryShareStep, maxMemoryShare)
		count, heldTokens = countMembers(members, totalTokens, share)
	}
	if heldTokens < totalTokens && s.anyEvacuated() {
		return nil, errkind.New(errkind.NoEndpoint, "the engines outside the evacuated failure domains do not hold the prompt")
	}
	if heldTokens < totalTokens {
		return nil, errkind.New(errkind.PromptTooLarge, "the engines' memory together does not hold the prompt")
	}
	members = members[:count]
	if !s.d.opts.Disabled.ReservationOrder {
		sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	}
	return s.cutSegments(members, totalTokens, share, heldTokens), nil
}

// countMembers returns how many of the first members are needed to hold the tokens in a share of their memory, and how many
// tokens these hold together.
func countMembers(members []*route.Endpoint, tokens int64, share float64) (count int, heldTokens int64) {
	for count < len(members) && heldTokens < tokens {
		heldTokens += memoryShare(members[count], share)
		count++
	}
	return count, heldTokens
}

func (s *splitRequest) candidates() []*route.Endpoint {
	var members []*route.Endpoint
	freeTokens := make(map[*route.Endpoint]int64)
	for _, e := range s.d.pool(s.r.snap, &s.r.target).Endpoints() {
		report, _ := e.Report()
		if e.Available() && !s.excluded[e] && report.KVCapacityTokens > 0 && s.versionAt(e) == s.version {
			members = append(members, e)
			freeTokens[e] = report.KVFreeTokens
		}
	}
	sort.SliceStable(members, func(i, j int) bool { return freeTokens[members[i]] > freeTokens[members[j]] })
	return members
}

// anyEvacuated reports whether an endpoint of the service is in an evacuated failure domain.
func (s *splitRequest) anyEvacuated() bool {
	return slices.ContainsFunc(s.d.pool(s.r.snap, &s.r.target).Endpoints(), func(e *route.Endpoint) bool {
		node, ok := s.d.members.Endpoint(e.Name)
		return ok && s.d.evacuated(node)
	})
}

// chooseVersion returns the version that all members use. During a rollout it is the one whose endpoints have the most
// memory in total.
func (s *splitRequest) chooseVersion() endpoint.Version {
	best, memoryTokens := s.r.target.Version, make(map[endpoint.Version]int64)
	for _, e := range s.d.pool(s.r.snap, &s.r.target).Endpoints() {
		if e.Available() && !s.excluded[e] {
			memoryTokens[s.versionAt(e)] += memoryShare(e, maxMemoryShare)
		}
	}
	for v, tokens := range memoryTokens {
		if tokens > memoryTokens[best] {
			best = v
		}
	}
	return best
}

func (s *splitRequest) versionAt(e *route.Endpoint) endpoint.Version {
	node, _ := s.d.members.Endpoint(e.Name) // an unknown node gives the target's version
	return s.r.versionAt(node)
}

func memoryShare(e *route.Endpoint, share float64) int64 {
	report, _ := e.Report()
	return int64(float64(report.KVCapacityTokens) * share)
}

func (s *splitRequest) cutSegments(members []*route.Endpoint, totalTokens int64, share float64, heldTokens int64) []*segment {
	rest := s.r.prompt
	segments := make([]*segment, len(members))
	for i, e := range members {
		tokens := int64(math.Ceil(float64(totalTokens) * float64(memoryShare(e, share)) / float64(heldTokens)))
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

func (s *splitRequest) newSegment(e *route.Endpoint, text string, tokens int64) *segment {
	node, _ := s.d.members.Endpoint(e.Name) // the reservation fails at an unknown node
	return &segment{ep: e, node: node, reservation: newID(), text: text, tokens: tokens}
}

// cutText returns the longest beginning of text with at most the given number of tokens, cut between runes.
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
