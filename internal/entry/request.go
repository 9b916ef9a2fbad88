package entry

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/route"
	"github.com/bilberrylink/bilberrylink/wire"
)

// prefixBytes is the length of the prompt's beginning whose hash selects an endpoint that may have it cached. System
// prompts and shared documents are longer, and prompts that differ earlier share no useful cache.
const prefixBytes = 4096

// request is one request of a caller with its progress over all attempts. Only the goroutine that dispatches it changes it.
type request struct {
	id            string
	workspace     string
	weight        float64
	requestedName string // service or model that the caller named; fallbacks may change the target
	snap          *fleet.Snapshot
	target        fleet.Target
	deadline      time.Time
	arrived       time.Time
	fingerprint   string
	triesParts    bool     // a trial of parts that were blamed together with others
	parts         []string // fingerprints of the messages that other chats may share: all but the last
	alone         bool     // suspected of crashing an endpoint: to be run while nothing else runs there

	// Chats.
	prompt       string
	promptTokens int64
	maxTokens    int64
	prefix       uint64
	buffered     bool // the answer is sent as one response: nothing reaches the caller before its end
	onToken      func(text string) error
	tokens       []string
	version      *wire.Version // of the attempt that gave the first token; later attempts must match it
	usage        *wire.End

	// Calls.
	call                  *wire.CallWork
	response              *wire.CallResponse
	expectedRecordVersion int64 // version of the idempotency record that the next attempt requires

	runState errkind.RunState // highest run state of all attempts: ran, unknown or not_run
	retries  int
}

func newID() string {
	var raw [16]byte
	_, _ = rand.Read(raw[:]) // never fails
	return hex.EncodeToString(raw[:])
}

// computeFingerprint returns a hash that identifies a prompt or a call of a workspace.
func computeFingerprint(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		_, _ = h.Write([]byte(p)) // a hash never fails to write
		_, _ = h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// prefixHash returns the hash of a prompt's beginning together with the version that computes its KV.
func prefixHash(v endpoint.Version, prompt string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(v.Model + "\x00" + v.Version + "\x00" + v.Adapter + "\x00" + v.AdapterVersion + "\x00")
	_, _ = h.WriteString(prompt[:min(len(prompt), prefixBytes)])
	return h.Sum64()
}

func (r *request) isChat() bool { return r.call == nil }

// hasTokens reports whether the request holds part of its answer, which was sent to the caller or is kept to be continued.
func (r *request) hasTokens() bool { return len(r.tokens) > 0 }

func (r *request) idempotent() bool { return r.isChat() || r.call.GetIdempotent() }

// raiseRunState sets the run state of the request to that of an ended attempt if it is higher.
func (r *request) raiseRunState(run errkind.RunState) {
	if runStateRank(run) > runStateRank(r.runState) {
		r.runState = run
	}
}

// runStateRank orders run states by how much they say was executed: not_run, unknown, ran.
func runStateRank(run errkind.RunState) int {
	switch run {
	case errkind.Ran:
		return 2
	case errkind.NotRun, "":
		return 0
	}
	return 1
}

// finalError returns err with the run state of the request over all attempts.
func (r *request) finalError(err error) *errkind.Error {
	e := errkind.From(err)
	r.raiseRunState(e.RunState)
	run := r.runState
	if run == "" {
		run = errkind.NotRun
	}
	return e.WithRunState(run)
}

// class returns the class of service; it defaults to interactive.
func (r *request) class() fleet.Class {
	if r.target.Spec.Class == "" {
		return fleet.ClassInteractive
	}
	return r.target.Spec.Class
}

func (r *request) routeRequest(exclude []*route.Endpoint, confined bool, cachedTokens int64) *route.Request {
	return &route.Request{
		Class:        r.class(),
		PromptTokens: r.promptTokens,
		Prefix:       r.prefix,
		CachedTokens: cachedTokens,
		Favor:        r.target.Spec.Favor,
		Fingerprint:  xxhash.Sum64String(r.fingerprint),
		Confined:     confined,
		Exclude:      exclude,
	}
}

// runRequest returns the message that starts one attempt at an agent.
func (r *request) runRequest(attemptID string, remaining time.Duration, v endpoint.Version) *wire.RunRequest {
	m := &wire.RunRequest{
		RequestId:   r.id,
		AttemptId:   attemptID,
		Workspace:   r.workspace,
		Service:     r.target.Service,
		Class:       string(r.class()),
		Epoch:       r.snap.Epoch,
		DeadlineMs:  max(remaining.Milliseconds(), 1),
		Weight:      r.weight,
		Fingerprint: r.fingerprint,
		Alone:       r.alone,
	}
	if r.isChat() {
		m.Work = &wire.RunRequest_Model{Model: &wire.ModelWork{
			Version:      wire.EncodeVersion(v),
			Prompt:       r.prompt,
			PromptTokens: r.promptTokens,
			MaxTokens:    r.maxTokens,
			Generated:    r.tokens,
		}}
		return m
	}
	m.Work = &wire.RunRequest_Call{Call: &wire.CallWork{
		Method:         r.call.GetMethod(),
		Path:           r.call.GetPath(),
		Headers:        r.call.GetHeaders(),
		Body:           r.call.GetBody(),
		Idempotent:     r.call.GetIdempotent(),
		IdempotencyKey: r.call.GetIdempotencyKey(),
		RequestHash:    r.call.GetRequestHash(),
		ExpectVersion:  r.expectedRecordVersion,
	}}
	return m
}

// sameVersion compares all but the batch, which names a delivery of the same weights.
func sameVersion(a, b *wire.Version) bool {
	return a.GetModel() == b.GetModel() && a.GetVersion() == b.GetVersion() && a.GetAdapter() == b.GetAdapter() &&
		a.GetAdapterVersion() == b.GetAdapterVersion()
}
