package load

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// repeatWindow is the number of most recent keys from which a repeated key is drawn. It is large enough to cover both keys
// whose first request is in progress and keys whose answer is recorded.
const repeatWindow = 64

// Arrival is one scheduled request. Its body is built only shortly before it is sent.
type Arrival struct {
	Offset       time.Duration // time after the start of the run, before time scaling
	Workspace    *Workspace
	Traffic      *Traffic
	Class        Class
	EntryIndex   uint64 // index of the entry, modulo the number of entries
	PromptTokens int    // prompt length; 0 for calls
	MaxTokens    int    // max_tokens of a chat
	PrefixIndex  int    // index of the shared prefix; -1 for none
	ContentSeed  uint64 // seed of the part of the prompt that is not shared
	Salt         string // part of the seeds of shared prefixes
	Item         int    // replaces {n} in path and body of a call
	Key          string // idempotency key; empty for none
	Repeat       bool   // repeats key and payload of an earlier arrival
}

// Schedule returns the arrivals of mix within duration, ordered by time. The result depends only on the arguments. Each
// traffic has its own random number generator, so removing one does not change the others. The salt changes keys and
// contents, but neither times nor sizes.
func Schedule(mix *Mix, seed uint64, salt string, duration time.Duration) []Arrival {
	var all []Arrival
	for i := range mix.Workspaces {
		w := &mix.Workspaces[i]
		for j := range w.Traffic {
			all = append(all, scheduleTraffic(w, &w.Traffic[j], seed, salt, duration)...)
		}
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return int(a.Offset - b.Offset) })
	return all
}

func scheduleTraffic(w *Workspace, t *Traffic, seed uint64, salt string, duration time.Duration) []Arrival {
	rng := rand.New(rand.NewPCG(seed, xxhash.Sum64String(w.Name+"/"+t.Name)))
	keyPrefix := fmt.Sprintf("%s%d-%s-%s-", salt, seed, w.Name, t.Name)
	var arrivals, keyed []Arrival
	offset := time.Duration(0)
	for {
		offset += time.Duration(rng.ExpFloat64() / t.Rate * float64(time.Second))
		if offset >= duration {
			return arrivals
		}
		a := Arrival{Offset: offset, Workspace: w, Traffic: t, Class: ClassCall, PrefixIndex: -1, Salt: salt}
		a.EntryIndex = rng.Uint64()
		a.ContentSeed = rng.Uint64() ^ xxhash.Sum64String(salt)
		if t.Kind == KindChat {
			a.drawChat(rng)
		} else {
			a.drawCall(rng, keyPrefix, len(arrivals), keyed)
		}
		if a.Key != "" && !a.Repeat {
			keyed = append(keyed, a)
		}
		arrivals = append(arrivals, a)
	}
}

func (a *Arrival) drawChat(rng *rand.Rand) {
	t := a.Traffic
	a.Class = drawClass(rng, t.Prompt)
	lengths, _ := rangeOfClass(a.Class) // the mix has been validated, so the class is known
	// The length is log-uniform within the class, so shorter prompts are more frequent than longer ones.
	a.PromptTokens = int(float64(lengths.minTokens) * math.Pow(float64(lengths.maxTokens)/float64(lengths.minTokens), rng.Float64()))
	a.MaxTokens = t.Answer.Min + rng.IntN(t.Answer.Max-t.Answer.Min+1)
	if rng.Float64() < t.Prefixes.Share {
		a.PrefixIndex = rng.IntN(t.Prefixes.Count)
	}
}

func drawClass(rng *rand.Rand, weights map[Class]float64) Class {
	totalWeight := 0.0
	for _, r := range classRanges {
		totalWeight += weights[r.class]
	}
	remaining := rng.Float64() * totalWeight
	drawn := ClassShort
	for _, r := range classRanges {
		if weights[r.class] <= 0 {
			continue
		}
		drawn = r.class
		if remaining -= weights[r.class]; remaining < 0 {
			break
		}
	}
	return drawn
}

func (a *Arrival) drawCall(rng *rand.Rand, keyPrefix string, index int, keyed []Arrival) {
	a.Item = rng.IntN(a.Traffic.Items)
	repeat := rng.Float64() < a.Traffic.RepeatShare
	recency := rng.IntN(repeatWindow)
	if !a.Traffic.Key {
		return
	}
	a.Key = keyPrefix + strconv.Itoa(index)
	if repeat && len(keyed) > 0 {
		earlier := keyed[len(keyed)-1-recency%min(len(keyed), repeatWindow)]
		a.Key, a.Item, a.ContentSeed, a.Repeat = earlier.Key, earlier.Item, earlier.ContentSeed, true
	}
}

// chatRequest is the body of a chat request.
type chatRequest struct {
	Model         string         `json:"model"`
	Messages      []chatMessage  `json:"messages"`
	MaxTokens     int            `json:"max_tokens"`
	Stream        bool           `json:"stream"`
	StreamOptions *streamOptions `json:"stream_options,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Body returns the request body.
func (a *Arrival) Body() ([]byte, error) {
	if a.Traffic.Kind == KindCall {
		return []byte(a.expandItem(a.Traffic.Body)), nil
	}
	request := chatRequest{
		Model:     a.Traffic.Model,
		Messages:  []chatMessage{{Role: "user", Content: a.Prompt()}},
		MaxTokens: a.MaxTokens,
		Stream:    a.Traffic.streamed(),
	}
	if request.Stream {
		request.StreamOptions = &streamOptions{IncludeUsage: true}
	}
	body, err := json.Marshal(request)
	return body, errors.Wrap(err, "encode request")
}

// Path returns the request path.
func (a *Arrival) Path() string {
	if a.Traffic.Kind == KindChat {
		return "/v1/chat/completions"
	}
	return a.expandItem(a.Traffic.Path)
}

// expandItem replaces {n} by the item.
func (a *Arrival) expandItem(template string) string {
	return strings.ReplaceAll(template, "{n}", strconv.Itoa(a.Item))
}

// Prompt returns the prompt text of a chat: the shared prefix, if any, followed by text of its own, in total PromptTokens
// tokens.
func (a *Arrival) Prompt() string {
	size := a.PromptTokens * bytesPerToken
	var b strings.Builder
	b.Grow(size)
	if a.PrefixIndex >= 0 {
		writeText(&b, a.sharedPrefixSeed(), min(size, a.Traffic.Prefixes.Tokens*bytesPerToken))
	}
	writeText(&b, a.ContentSeed, size-b.Len())
	return b.String()
}

// sharedPrefixSeed returns the seed of the shared prefix. It includes the salt, so that the prefixes of an earlier phase of
// an experiment are not found in caches.
func (a *Arrival) sharedPrefixSeed() uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%s/%s/%d", a.Salt, a.Workspace.Name, a.Traffic.Name, a.PrefixIndex))
}

const letters = "abcdefghijklmnopqrstuvwxyz      "

// writeText appends size bytes of pseudo-random letters and spaces.
func writeText(b *strings.Builder, seed uint64, size int) {
	rng := rand.NewPCG(seed, seed)
	var word uint64
	for i := range size {
		if i%12 == 0 { // a random word of 64 bits yields 12 letters of 5 bits
			word = rng.Uint64()
		}
		b.WriteByte(letters[word&31])
		word >>= 5
	}
}
