package standin

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bilberrylink/bilberrylink/endpoint"
)

// maxTimesPerCounter bounds the timestamps of one counter; the oldest are dropped, the count stays exact. It covers
// nearly an hour at three events a second.
const maxTimesPerCounter = 10_000

// CallCount counts the executions of one plain-service call.
type CallCount struct {
	Key        string      `json:"key"` // Idempotency-Key; empty for calls without one
	Endpoint   string      `json:"endpoint"`
	Method     string      `json:"method"`
	Path       string      `json:"path"`
	Executions int         `json:"executions"`
	Times      []time.Time `json:"times"`
}

// AnswerCount counts the model answers of one version on one endpoint.
type AnswerCount struct {
	endpoint.Version
	Endpoint string      `json:"endpoint"`
	Started  int         `json:"started"`  // answers whose first token was produced
	Finished int         `json:"finished"` // answers whose last token was produced
	Starts   []time.Time `json:"starts"`
	Finishes []time.Time `json:"finishes"`
}

// TableCount counts the admitted table calls by the first path element of the row key. Calls that an outage or the rate
// limit rejects, or whose context ends during the delay, are not counted.
type TableCount struct {
	Prefix string `json:"prefix"`
	Reads  int    `json:"reads"`  // rows read, and scans
	Writes int    `json:"writes"` // rows written, or rejected by their version condition
}

// Counts is a snapshot of the counters.
type Counts struct {
	Table   []TableCount  `json:"table"`
	Calls   []CallCount   `json:"calls"`
	Answers []AnswerCount `json:"answers"`
	Tickets TicketCount   `json:"tickets"`
}

// TicketCount counts the ticket requests of the weight store.
type TicketCount struct {
	Issued  int `json:"issued"`
	Refused int `json:"refused"` // over the rate limit
}

// callKey identifies a CallCount.
type callKey struct{ key, endpoint, method, path string }

// answerKey identifies an AnswerCount.
type answerKey struct {
	version  endpoint.Version
	endpoint string
}

// Counters record what the emulators executed, whether or not the caller received the result. They are safe for
// concurrent use.
type Counters struct {
	mu      sync.Mutex
	calls   map[callKey]*CallCount
	answers map[answerKey]*AnswerCount
	crashes map[string][]string // crashed endpoints by prompt
	table   map[string]*TableCount
	tickets TicketCount
}

func newCounters() *Counters {
	return &Counters{calls: make(map[callKey]*CallCount), answers: make(map[answerKey]*AnswerCount),
		crashes: make(map[string][]string), table: make(map[string]*TableCount)}
}

func (c *Counters) countTableCall(key string, reads, writes int) {
	prefix, _, _ := strings.Cut(key, "/")
	c.mu.Lock()
	defer c.mu.Unlock()
	count := c.table[prefix]
	if count == nil {
		count = &TableCount{Prefix: prefix}
		c.table[prefix] = count
	}
	count.Reads += reads
	count.Writes += writes
}

func (c *Counters) countCall(k callKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := c.calls[k]
	if count == nil {
		count = &CallCount{Key: k.key, Endpoint: k.endpoint, Method: k.method, Path: k.path}
		c.calls[k] = count
	}
	count.Executions++
	count.Times = appendTime(count.Times)
}

func (c *Counters) countAnswerStart(k answerKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.answerCount(k)
	a.Started++
	a.Starts = appendTime(a.Starts)
}

func (c *Counters) countAnswerEnd(k answerKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.answerCount(k)
	a.Finished++
	a.Finishes = appendTime(a.Finishes)
}

func (c *Counters) answerCount(k answerKey) *AnswerCount {
	a := c.answers[k]
	if a == nil {
		a = &AnswerCount{Version: k.version, Endpoint: k.endpoint}
		c.answers[k] = a
	}
	return a
}

func appendTime(times []time.Time) []time.Time {
	if len(times) == maxTimesPerCounter {
		times = slices.Delete(times, 0, 1)
	}
	return append(times, time.Now())
}

func (c *Counters) recordCrash(prompt, endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes[prompt] = append(c.crashes[prompt], endpoint)
}

// Crashes returns, for each prompt with the crash marker, the endpoints that it crashed, in order.
func (c *Counters) Crashes() map[string][]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	crashes := make(map[string][]string, len(c.crashes))
	for prompt, endpoints := range c.crashes {
		crashes[prompt] = slices.Clone(endpoints)
	}
	return crashes
}

func (c *Counters) countTicket(issued bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if issued {
		c.tickets.Issued++
	} else {
		c.tickets.Refused++
	}
}

// Executions returns the number of executions of the calls with an idempotency key, summed over all endpoints.
func (c *Counters) Executions(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for k, count := range c.calls {
		if k.key == key {
			n += count.Executions
		}
	}
	return n
}

// Snapshot returns a copy of the counters in a deterministic order.
func (c *Counters) Snapshot() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := Counts{Table: []TableCount{}, Calls: []CallCount{}, Answers: []AnswerCount{}, Tickets: c.tickets}
	for _, prefix := range slices.Sorted(maps.Keys(c.table)) {
		counts.Table = append(counts.Table, *c.table[prefix])
	}
	for _, count := range slices.Collect(maps.Values(c.calls)) {
		copied := *count
		copied.Times = slices.Clone(count.Times)
		counts.Calls = append(counts.Calls, copied)
	}
	for _, a := range slices.Collect(maps.Values(c.answers)) {
		copied := *a
		copied.Starts = slices.Clone(a.Starts)
		copied.Finishes = slices.Clone(a.Finishes)
		counts.Answers = append(counts.Answers, copied)
	}
	slices.SortFunc(counts.Calls, func(a, b CallCount) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Path, b.Path), cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Method, b.Method))
	})
	slices.SortFunc(counts.Answers, func(a, b AnswerCount) int {
		return cmp.Or(cmp.Compare(a.WeightName(), b.WeightName()), cmp.Compare(a.Batch, b.Batch),
			cmp.Compare(a.AdapterBatch, b.AdapterBatch), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return counts
}
