// Package endpoint declares what an agent expects of the endpoint beside it: a model engine or a plain service.
package endpoint

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Errors of an endpoint.
var (
	// ErrDown means that the endpoint does not answer or crashed during the call.
	ErrDown = errors.New("endpoint: down")
	// ErrNoMemory means that the engine has no KV memory for the request.
	ErrNoMemory = errors.New("endpoint: out of KV memory")
	// ErrNotLoaded means that the engine has not loaded the model, adapter or version.
	ErrNotLoaded = errors.New("endpoint: version not loaded")
	// ErrFenced means that the engine refused an order with an old fencing token.
	ErrFenced = errors.New("endpoint: order fenced")
	// ErrUnknownStream means that the engine has no stream or KV of that name.
	ErrUnknownStream = errors.New("endpoint: unknown stream")
)

// bytesPerToken is the usual average for English text and byte-pair encodings.
const bytesPerToken = 4

// EstimateTokens estimates the number of tokens of a text. Callers' engines may count slightly differently.
func EstimateTokens(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }

// Priority orders work inside an engine; a lower value is served first.
type Priority int

// PrioritySteps is the number of priorities of a class. Within a class, shorter prompts get the lower values.
const PrioritiesPerClass = 8

// First priorities of each class of service.
const (
	PriorityUrgent      Priority = 0
	PriorityInteractive Priority = PrioritiesPerClass
	PriorityBulk        Priority = 2 * PrioritiesPerClass
)

// Version names exactly what produces an answer. The adapter's version and batch belong to it, because an adapter may
// be recalled or replaced alone.
type Version struct {
	Model          string `json:"model"`
	Version        string `json:"version"`
	Adapter        string `json:"adapter,omitempty"`
	Batch          string `json:"batch,omitempty"` // of the model
	AdapterVersion string `json:"adapter_version,omitempty"`
	AdapterBatch   string `json:"adapter_batch,omitempty"`
}

// KVHandle names KV cache held by an engine for a range of prompt tokens.
type KVHandle struct {
	Engine  string  `json:"engine"` // address of the engine that holds it
	ID      string  `json:"id"`
	Tokens  int     `json:"tokens"`
	Version Version `json:"version"`
}

// GenerateRequest asks an engine for an answer stream.
type GenerateRequest struct {
	StreamID  string     `json:"stream_id"`
	Version   Version    `json:"version"`
	Prompt    string     `json:"prompt"`               // this engine's part of the prompt
	Generated []string   `json:"generated,omitempty"`  // tokens already emitted by an earlier attempt; the answer continues after them
	Imported  []KVHandle `json:"imported,omitempty"`   // earlier segments' KV, held by other engines
	MaxTokens int        `json:"max_tokens,omitempty"` // 0: engine default
	Priority  Priority   `json:"priority"`
}

// PrefillRequest asks an engine to prefill one segment of a long prompt and to keep its KV for export.
type PrefillRequest struct {
	ID       string     `json:"id"`
	Version  Version    `json:"version"`
	Prompt   string     `json:"prompt"`
	Imported []KVHandle `json:"imported,omitempty"`
	Priority Priority   `json:"priority"`
}

// Token is one generated token.
type Token struct {
	Index int    `json:"index"` // counted from 0 over the whole answer, including Generate.Generated
	Text  string `json:"text"`
}

// Usage counts the tokens of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// TokenStream yields the tokens of one answer.
type TokenStream interface {
	// Recv returns the next token. Errors: io.EOF after the last token, ErrDown, context errors.
	Recv() (Token, error)
	// Usage is valid after Recv returned io.EOF.
	Usage() Usage
	// Close detaches from the stream without cancelling it.
	Close() error
}

// Order tells an engine what to hold. Fence grows with each order; engines that check it refuse a lower one.
type Order struct {
	FencingToken int64             `json:"fence"`
	Versions     []Version         `json:"versions"` // the complete set to hold; anything else is unloaded
	Role         string            `json:"role,omitempty"`
	Tickets      map[string]string `json:"tickets,omitempty"` // weight store tickets by weight name
}

// LoadReport is an engine's load report. It may lag.
type LoadReport struct {
	TakenAt                time.Time `json:"at"`             // when the engine took the report
	KVCapacityTokens       int       `json:"kv_capacity"`    // tokens
	KVUsedTokens           int       `json:"kv_used"`        // tokens, running streams and exported segments, without evictable prefix cache
	QueuedPrefillTokens    int       `json:"queued_prefill"` // tokens
	RunningIDs             []string  `json:"running"`        // stream and segment IDs that hold memory
	Loaded                 []Version `json:"loaded"`
	PrefillTokensPerSecond float64   `json:"prefill_rate"` // tokens per second of an idle engine
	ChecksFencing          bool      `json:"checks_fencing"`
	Incarnation            string    `json:"incarnation"` // changes when the engine restarts
}

// CacheEvent says that the engine's prefix cache gained or lost a prefix. Events come late and with gaps in Seq.
type CacheEvent struct {
	Seq        int64   `json:"seq"`
	Version    Version `json:"version"`
	PrefixHash uint64  `json:"prefix"` // xxhash of the prefix text
	Tokens     int     `json:"tokens"`
	Evicted    bool    `json:"evicted"`
}

// Engine is a model engine as its agent sees it. All methods may fail with ErrDown or a context error.
type Engine interface {
	// Generate starts a stream. Errors: ErrNoMemory, ErrNotLoaded.
	Generate(ctx context.Context, g GenerateRequest) (TokenStream, error)
	// Resume attaches to a running or recently finished stream at token index from. Errors: ErrUnknownStream.
	Resume(ctx context.Context, streamID string, from int) (TokenStream, error)
	// Cancel ends a stream or segment and frees its memory. Unknown IDs are no error.
	Cancel(ctx context.Context, id string) error
	// Prefill computes one segment and returns a handle for its KV, held until Cancel. Errors: ErrNoMemory, ErrNotLoaded.
	Prefill(ctx context.Context, s PrefillRequest) (KVHandle, error)
	// ApplyOrder sets what the engine holds. Errors: ErrFenced.
	ApplyOrder(ctx context.Context, o Order) error
	// Report returns the latest load report.
	Report(ctx context.Context) (LoadReport, error)
	// CacheEvents returns events after seq.
	CacheEvents(ctx context.Context, seq int64) ([]CacheEvent, error)
}

// Call is one request to a plain service.
type Call struct {
	Method string
	Path   string // with query
	Header http.Header
	Body   []byte
}

// Response is a plain service's answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Service is a plain service as its agent sees it.
type Service interface {
	// Do runs one call. Errors: ErrDown (the call may have run), context errors (the call may have run).
	Do(ctx context.Context, c Call) (Response, error)
	// CheckHealth reports whether the service takes calls.
	CheckHealth(ctx context.Context) error
}

// WeightName returns the name under which the weight store issues the ticket for v.
func (v Version) WeightName() string {
	if v.Adapter == "" {
		return v.Model + "@" + v.Version
	}
	return v.Model + "@" + v.Version + "+" + v.Adapter + "@" + v.AdapterVersion
}
