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

// repeatWindow is the number of latest keys from which a repeated key is drawn. It covers both keys that are still in
// progress and keys whose answer is recorded.
const repeatWindow = 64

// Arrival is one scheduled request. Its content is built from it when it is due.
type Arrival struct {
	At        time.Duration // after the start of the run, before time scaling
	Workspace *Workspace
	Traffic   *Traffic
	Class     Class
	Entry     uint64 // entry index modulo the number of entries
	Tokens    int    // prompt length, 0 for calls
	Answer    int    // max_tokens
	Prefix    int    // index of the shared prefix, -1 for none
	Content   uint64 // seed of the content
	Salt      string // part of the seed of shared prefixes
	Item      int
	Key       string // idempotency key; empty for none
	Repeat    bool   // the key was used by an earlier arrival
}

// Schedule returns the arrivals of mix in the first d, in order of time. The result depends on the arguments only. Each
// traffic has its own random numbers, so removing one traffic does not change the others. salt changes keys and
// contents but neither times nor sizes.
func Schedule(mix *Mix, seed uint64, salt string, d time.Duration) []Arrival {
	var all []Arrival
	for i := range mix.Workspaces {
		w := &mix.Workspaces[i]
		for j := range w.Traffic {
			all = append(all, scheduleTraffic(w, &w.Traffic[j], seed, salt, d)...)
		}
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return int(a.At - b.At) })
	return all
}

func scheduleTraffic(w *Workspace, t *Traffic, seed uint64, salt string, d time.Duration) []Arrival {
	rng := rand.New(rand.NewPCG(seed, xxhash.Sum64String(w.Name+"/"+t.Name)))
	keyPrefix := fmt.Sprintf("%s%d-%s-%s-", salt, seed, w.Name, t.Name)
	var arrivals, keyed []Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / t.Rate * float64(time.Second))
		if at >= d {
			return arrivals
		}
		a := Arrival{At: at, Workspace: w, Traffic: t, Class: ClassNone, Prefix: -1, Salt: salt}
		a.Entry = rng.Uint64()
		a.Content = rng.Uint64() ^ xxhash.Sum64String(salt)
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
	r, _ := rangeOf(a.Class) // validated with the mix
	// Log-uniform within the class: short prompts are more frequent than long ones at every scale.
	a.Tokens = int(float64(r.low) * math.Pow(float64(r.high)/float64(r.low), rng.Float64()))
	a.Answer = t.Answer.Min + rng.IntN(t.Answer.Max-t.Answer.Min+1)
	if rng.Float64() < t.Prefixes.Share {
		a.Prefix = rng.IntN(t.Prefixes.Count)
	}
}

func drawClass(rng *rand.Rand, weights map[Class]float64) Class {
	sum := 0.0
	for _, r := range classRanges {
		sum += weights[r.class]
	}
	x := rng.Float64() * sum
	last := ClassShort
	for _, r := range classRanges {
		if weights[r.class] <= 0 {
			continue
		}
		last = r.class
		if x -= weights[r.class]; x < 0 {
			break
		}
	}
	return last
}

func (a *Arrival) drawCall(rng *rand.Rand, keyPrefix string, n int, keyed []Arrival) {
	a.Item = rng.IntN(a.Traffic.Items)
	repeat := rng.Float64() < a.Traffic.RepeatShare
	pick := rng.IntN(repeatWindow)
	if !a.Traffic.Key {
		return
	}
	a.Key = keyPrefix + strconv.Itoa(n)
	if repeat && len(keyed) > 0 {
		first := keyed[len(keyed)-1-pick%min(len(keyed), repeatWindow)]
		a.Key, a.Item, a.Content, a.Repeat = first.Key, first.Item, first.Content, true
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

// Body builds the request body of a.
func (a *Arrival) Body() ([]byte, error) {
	if a.Traffic.Kind == KindCall {
		return []byte(a.expand(a.Traffic.Body)), nil
	}
	request := chatRequest{
		Model:     a.Traffic.Model,
		Messages:  []chatMessage{{Role: "user", Content: a.Prompt()}},
		MaxTokens: a.Answer,
		Stream:    a.Traffic.streams(),
	}
	if request.Stream {
		request.StreamOptions = &streamOptions{IncludeUsage: true}
	}
	body, err := json.Marshal(request)
	return body, errors.Wrap(err, "encode request")
}

// Path returns the request path of a.
func (a *Arrival) Path() string {
	if a.Traffic.Kind == KindChat {
		return "/v1/chat/completions"
	}
	return a.expand(a.Traffic.Path)
}

func (a *Arrival) expand(template string) string {
	return strings.ReplaceAll(template, "{n}", strconv.Itoa(a.Item))
}

// Prompt returns the prompt text of a: the shared prefix, if any, and text of its own, together Tokens tokens long.
func (a *Arrival) Prompt() string {
	size := a.Tokens * bytesPerToken
	var b strings.Builder
	b.Grow(size)
	if a.Prefix >= 0 {
		writeText(&b, a.prefixSeed(), min(size, a.Traffic.Prefixes.Tokens*bytesPerToken))
	}
	writeText(&b, a.Content, size-b.Len())
	return b.String()
}

// prefixSeed includes the salt, so that a phase of an experiment does not find the prefixes of an earlier one cached.
func (a *Arrival) prefixSeed() uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%s/%s/%d", a.Salt, a.Workspace.Name, a.Traffic.Name, a.Prefix))
}

const letters = "abcdefghijklmnopqrstuvwxyz      "

// writeText appends size bytes of pseudo-random letters and spaces.
func writeText(b *strings.Builder, seed uint64, size int) {
	rng := rand.NewPCG(seed, seed)
	var word uint64
	for i := range size {
		if i%12 == 0 { // 12 letters of 5 bits per random word
			word = rng.Uint64()
		}
		b.WriteByte(letters[word&31])
		word >>= 5
	}
}
