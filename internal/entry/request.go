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

// prefixBytes is the length of the prompt's start that selects the endpoint of a prefix: system prompts and shared
// documents are longer than this, and prompts that differ earlier share no useful cache.
const prefixBytes = 4096

// request is one admitted request of a caller with the progress over its attempts. Only its dispatch goroutine uses it.
type request struct {
	id          string
	workspace   string
	weight      float64
	asked       string // service or model that the caller named
	snap        *fleet.Snapshot
	target      fleet.Target
	deadline    time.Time
	arrived     time.Time
	fingerprint string
	alone       bool

	// Chats.
	prompt       string
	promptTokens int64
	maxTokens    int64
	prefix       uint64
	buffered     bool // the answer is given whole: nothing reaches the caller before the end
	onToken      func(text string) error
	tokens       []string
	version      *wire.Version // of the first started attempt; later ones must match it
	usage        *wire.End

	// Calls.
	call     *wire.CallWork
	response *wire.CallResponse
	expect   int64 // version of the at-most-once row for the next attempt

	ran     errkind.RunState // strongest state over the attempts
	retries int
}

func newID() string {
	var raw [16]byte
	_, _ = rand.Read(raw[:]) // never fails
	return hex.EncodeToString(raw[:])
}

// fingerprintOf identifies a prompt or a call of a workspace.
func fingerprintOf(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		_, _ = h.Write([]byte(p)) // a hash never fails to write
		_, _ = h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

func prefixOf(v endpoint.Version, prompt string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(v.Model + "\x00" + v.Version + "\x00" + v.Adapter + "\x00" + v.AdapterVersion + "\x00")
	_, _ = h.WriteString(prompt[:min(len(prompt), prefixBytes)])
	return h.Sum64()
}

func (r *request) isChat() bool { return r.call == nil }

// begun reports whether a part of the answer is final: given to the caller, or kept for a continuation.
func (r *request) begun() bool { return len(r.tokens) > 0 }

func (r *request) idempotent() bool { return r.isChat() || r.call.GetIdempotent() }

// note raises the state of the request after an attempt that ended with state run.
func (r *request) note(run errkind.RunState) {
	if strength(run) > strength(r.ran) {
		r.ran = run
	}
}

func strength(run errkind.RunState) int {
	switch run {
	case errkind.Ran:
		return 2
	case errkind.NotRun, "":
		return 0
	}
	return 1
}

// final returns err with the state of the request over all attempts.
func (r *request) final(err error) *errkind.Error {
	e := errkind.From(err)
	r.note(e.RunState)
	run := r.ran
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

func (r *request) routing(exclude []*route.Endpoint, confined bool, cached int64) *route.Request {
	return &route.Request{
		Class:        r.class(),
		PromptTokens: r.promptTokens,
		Prefix:       r.prefix,
		CachedTokens: cached,
		Favor:        r.target.Spec.Favor,
		Fingerprint:  xxhash.Sum64String(r.fingerprint),
		Confined:     confined,
		Exclude:      exclude,
	}
}

// message returns the wire form of one attempt.
func (r *request) message(attempt string, remaining time.Duration, v endpoint.Version) *wire.RunRequest {
	m := &wire.RunRequest{
		RequestId:   r.id,
		AttemptId:   attempt,
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
		ExpectVersion:  r.expect,
	}}
	return m
}

// sameVersion ignores the batch, which names a delivery of the same weights.
func sameVersion(a, b *wire.Version) bool {
	return a.GetModel() == b.GetModel() && a.GetVersion() == b.GetVersion() && a.GetAdapter() == b.GetAdapter() &&
		a.GetAdapterVersion() == b.GetAdapterVersion()
}
