// Package fleet parses and validates the operators' configuration text and gives daemons an immutable Snapshot of it.
package fleet

import (
	"time"
)

// Text is the operators' configuration text. It is YAML; unknown fields are faults.
type Text struct {
	Settings   Settings            `yaml:"settings"`
	Services   map[string]*Service `yaml:"services"`
	Models     map[string]*Model   `yaml:"models"`
	Adapters   map[string]*Adapter `yaml:"adapters"`
	Batches    map[string]*Batch   `yaml:"batches"`
	Workspaces Workspaces          `yaml:"workspaces"`
	Recalled   []string            `yaml:"recalled"`   // names of batches, models, adapters or versions (model@version)
	Reinstated []string            `yaml:"reinstated"` // names that an earlier text recalled and this one allows again
}

// Settings are fleet-wide values. Zero durations take the defaults of DefaultSettings.
type Settings struct {
	FailureDomains   []string      `yaml:"failure_domains"` // all domains of the fleet; the base of majorities
	FreshnessBound   time.Duration `yaml:"freshness_bound"` // B: age after which evidence no longer allows new answers
	RecallStreams    string        `yaml:"recall_streams"`  // finish or cut
	IdempotencyTTL   time.Duration `yaml:"idempotency_ttl"` // life of an at-most-once record after its last write
	BlameTTL         time.Duration `yaml:"blame_ttl"`       // how long a blamed prompt is refused
	MaxBodyBytes     int64         `yaml:"max_body_bytes"`  // largest request body
	RolloutBatchSize int           `yaml:"rollout_step"`    // engines of one model that change version at a time
}

// Defaults of Settings.
const (
	DefaultFreshnessBound   = 4 * time.Second
	DefaultIdempotencyTTL   = 24 * time.Hour
	DefaultBlameTTL         = 15 * time.Minute
	DefaultMaxBodyBytes     = 16 << 20
	DefaultRolloutBatchSize = 2
	RecallStreamsFinish     = "finish"
	RecallStreamsCut        = "cut"
)

// Kinds of services.
const (
	KindModel = "model" // answered by model engines
	KindPlain = "plain" // answered by plain services
)

// Class orders requests under load.
type Class string

// Classes of service, most urgent first.
const (
	ClassUrgent      Class = "urgent"      // orders and lookups
	ClassInteractive Class = "interactive" // chats
	ClassBulk        Class = "bulk"        // ledgers and archives
)

// Service is something that callers may ask for by name.
type Service struct {
	Kind            string        `yaml:"kind"`
	Class           Class         `yaml:"class"`
	Model           string        `yaml:"model"`         // kind model: name in Models
	Adapter         string        `yaml:"adapter"`       // kind model: name in Adapters, optional
	Endpoints       []string      `yaml:"endpoints"`     // kind plain: endpoint names or patterns such as order-{01..03}
	Calls           []CallRule    `yaml:"calls"`         // kind plain: allowed calls, first match wins
	DependsOn       []string      `yaml:"depends_on"`    // names of other services that this one needs
	Fallbacks       []string      `yaml:"fallbacks"`     // services to try in order when this one's supplier is recalled
	Timeout         time.Duration `yaml:"timeout"`       // default deadline
	MaxTimeout      time.Duration `yaml:"max_timeout"`   // largest X-Request-Timeout
	MaxAnswerTokens int           `yaml:"max_tokens"`    // largest answer
	Favor           string        `yaml:"favor"`         // slowdown or first_token: which measure routing weighs more
	WhenIsolated    string        `yaml:"when_isolated"` // refuse (default) or serve
}

// Values of Service.WhenIsolated and Service.Favor.
const (
	WhenIsolatedRefuse = "refuse"
	WhenIsolatedServe  = "serve"
	FavorSlowdown      = "slowdown"
	FavorFirstToken    = "first_token"
)

// CallRule describes calls of a plain service.
type CallRule struct {
	Method     string `yaml:"method"`      // HTTP method or *
	Path       string `yaml:"path"`        // path.Match pattern below the service, such as /stock/*
	Idempotent bool   `yaml:"idempotent"`  // may be retried and hedged
	WithoutKey string `yaml:"without_key"` // not idempotent: refuse (default) or single_attempt
}

// Values of CallRule.WithoutKey.
const (
	WithoutKeyRefuse        = "refuse"
	WithoutKeySingleAttempt = "single_attempt"
)

// Model is a base model in one version.
type Model struct {
	Version                string   `yaml:"version"`
	Batch                  string   `yaml:"batch"`
	Endpoints              []string `yaml:"endpoints"`    // endpoint names or patterns such as model-{01..24}
	MaxPromptTokens        int      `yaml:"max_tokens"`   // longest prompt
	PrefillTokensPerSecond int      `yaml:"prefill_rate"` // tokens per second of an idle engine, for estimates before the first report
}

// Adapter is an adapter over a model.
type Adapter struct {
	Model   string `yaml:"model"`
	Version string `yaml:"version"`
	Batch   string `yaml:"batch"`
}

// Batch is a delivery that is recalled as a whole.
type Batch struct {
	Supplier string `yaml:"supplier"`
	Note     string `yaml:"note"`
}

// Workspace is one customer's account.
type Workspace struct {
	KeyHashes         []string `yaml:"key_hashes"`          // hex SHA-256 of the callers' keys
	Weight            float64  `yaml:"weight"`              // share under contention; 0 means 1
	RequestsPerSecond float64  `yaml:"requests_per_second"` // over the whole fleet; 0: no limit
	TokensPerSecond   float64  `yaml:"tokens_per_second"`   // prompt and answer tokens over the whole fleet; 0: no limit
	Services          []string `yaml:"services"`            // allowed services; empty: all
}
