// Package fleet parses and validates the operators' configuration text and provides an immutable Snapshot of it.
package fleet

import (
	"time"
)

// Text is the decoded configuration text that operators write in YAML. Unknown fields are faults.
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

// Settings are fleet-wide values. Zero values take the defaults.
type Settings struct {
	FailureDomains   []string      `yaml:"failure_domains"` // all domains of the fleet; majorities are counted over them
	Evacuated        []string      `yaml:"evacuated"`       // domains whose endpoints are sent nothing
	FreshnessBound   time.Duration `yaml:"freshness_bound"` // age at which evidence of the epoch stops allowing new answers
	RecallStreams    string        `yaml:"recall_streams"`  // what a recall does to running answers: finish or cut
	IdempotencyTTL   time.Duration `yaml:"idempotency_ttl"` // lifetime of an idempotency record after its last write
	BlameTTL         time.Duration `yaml:"blame_ttl"`       // how long a blamed prompt is refused
	MaxBodyBytes     int64         `yaml:"max_body_bytes"`  // largest request body
	RolloutBatchSize int           `yaml:"rollout_step"`    // engines of a model that change version at the same time
}

// Defaults of Settings, and the values of Settings.RecallStreams.
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
	KindModel = "model" // chats, answered by the engines of a model
	KindPlain = "plain" // other calls, answered by services that are not models
)

// Class is a service's class, by which requests are prioritized under load.
type Class string

// Classes of service, most urgent first.
const (
	ClassUrgent      Class = "urgent"      // such as orders and lookups
	ClassInteractive Class = "interactive" // such as chats; the default
	ClassBulk        Class = "bulk"        // such as ledgers and archives
)

// Service is a service that callers may request by its name.
type Service struct {
	Kind            string        `yaml:"kind"`
	Class           Class         `yaml:"class"`
	Model           string        `yaml:"model"`         // kind model: name in Models
	Adapter         string        `yaml:"adapter"`       // kind model: name in Adapters, optional
	Endpoints       []string      `yaml:"endpoints"`     // kind plain: endpoint names or patterns such as order-{01..03}
	Calls           []CallRule    `yaml:"calls"`         // kind plain: allowed calls; the first match applies
	DependsOn       []string      `yaml:"depends_on"`    // names of other services that this one needs
	Fallbacks       []string      `yaml:"fallbacks"`     // services to try in order while this one or a dependency is recalled
	Timeout         time.Duration `yaml:"timeout"`       // of requests without X-Request-Timeout
	MaxTimeout      time.Duration `yaml:"max_timeout"`   // largest X-Request-Timeout
	MaxAnswerTokens int           `yaml:"max_tokens"`    // longest answer
	Favor           string        `yaml:"favor"`         // the measure that routing gives more weight: slowdown or first_token
	WhenIsolated    string        `yaml:"when_isolated"` // what an entry without fresh evidence does: refuse (default) or serve
}

// Values of Service.WhenIsolated and Service.Favor.
const (
	WhenIsolatedRefuse = "refuse"
	WhenIsolatedServe  = "serve"
	FavorSlowdown      = "slowdown"
	FavorFirstToken    = "first_token"
)

// CallRule allows calls of a plain service and says how they may be repeated.
type CallRule struct {
	Method     string `yaml:"method"`      // HTTP method or *
	Path       string `yaml:"path"`        // pattern of path.Match for the path below the service, such as /stock/*
	Idempotent bool   `yaml:"idempotent"`  // may be retried and hedged
	WithoutKey string `yaml:"without_key"` // a non-idempotent call without an idempotency key: refuse (default) or single_attempt
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
	PrefillTokensPerSecond int      `yaml:"prefill_rate"` // of an idle engine, for estimates before its first load report
}

// Adapter is an adapter that a model can be run with.
type Adapter struct {
	Model   string `yaml:"model"`
	Version string `yaml:"version"`
	Batch   string `yaml:"batch"`
}

// Batch is a delivery of models and adapters, which can be recalled as a whole.
type Batch struct {
	Supplier string `yaml:"supplier"`
	Note     string `yaml:"note"`
}

// Workspace is the account of one customer.
type Workspace struct {
	KeyHashes         []string `yaml:"key_hashes"`          // hex SHA-256 of the callers' keys
	Weight            float64  `yaml:"weight"`              // relative share under load; 0 means 1
	RequestsPerSecond float64  `yaml:"requests_per_second"` // limit over all entries; 0: none
	TokensPerSecond   float64  `yaml:"tokens_per_second"`   // limit of prompt and answer tokens over all entries; 0: none
	Services          []string `yaml:"services"`            // allowed services; empty: all
}
