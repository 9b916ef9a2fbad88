// Package operator serves the operators' interface of an entry: the configuration text, its status and the audit trail.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bilberrylink/bilberrylink/blame"
	"github.com/bilberrylink/bilberrylink/epoch"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/fleet"
)

// Headers of a submission.
const (
	SubmissionHeader = "Submission-Id" // optional: a repeated PUT with the same value is accepted once
	OperatorHeader   = "Operator-Name" // optional: an unverified remark in the audit trail
)

const (
	maxIDLength       = 64
	maxRemarkLength   = 256 // bytes
	defaultAuditLimit = 100
)

// Acceptor is what the handlers need of epoch.Acceptor.
type Acceptor interface {
	Submit(ctx context.Context, sub epoch.Submission) (epoch.SubmitResult, error)
	CurrentSnapshot(ctx context.Context) (*fleet.Snapshot, error)
	Status() epoch.Status
	Audit(ctx context.Context, after string, limit int) ([]epoch.AuditRecord, error)
}

// Options configure a Handler.
type Options struct {
	Acceptor    Acceptor
	TokenHashes []string              // of the operators' tokens, see ParseToken
	Blamed      func() []blame.Record // blamed prompts known to this entry; may be nil
	Log         *logrus.Logger        // may be nil
}

// Status is the answer to GET /v1/fleet/status.
type Status struct {
	epoch.Status
	Blamed []BlamedPrompt `json:"blamed,omitempty"`
}

// BlamedPrompt is a prompt that is refused because it crashed endpoints.
type BlamedPrompt struct {
	Fingerprint string    `json:"fingerprint"`
	Crashes     int       `json:"crashes"`
	Endpoints   []string  `json:"endpoints"`
	Until       time.Time `json:"until"` // refused until then, unless it crashes again
}

// token is one operators' token.
type token struct {
	name string
	hash []byte // SHA-256
}

// ParseToken parses NAME=HASH or a bare HASH, where HASH is the hex SHA-256 of an operators' token.
func ParseToken(text string) (name string, hash []byte, err error) {
	name, digits, named := strings.Cut(text, "=")
	if !named {
		name, digits = "", text
	}
	if named && !validName.MatchString(name) {
		return "", nil, errors.Errorf("operator name %q must be 1 to 64 letters, digits, dots, hyphens or underscores", name)
	}
	hash, err = hex.DecodeString(digits)
	if err != nil || len(hash) != sha256.Size {
		return "", nil, errors.New("hash must be 64 hex digits, as sha256sum prints")
	}
	return name, hash, nil
}

var validName = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// Handler serves the operators' interface.
type Handler struct {
	options Options
	tokens  []token
}

// New returns a handler. A token hash that is not hex SHA-256 matches no token.
func New(o Options) *Handler {
	if o.Log == nil {
		o.Log = logrus.New()
		o.Log.SetLevel(logrus.PanicLevel)
	}
	h := &Handler{options: o}
	for _, text := range o.TokenHashes {
		name, hash, err := ParseToken(text)
		if err != nil {
			o.Log.WithError(err).Error("operator token ignored")
			continue
		}
		h.tokens = append(h.tokens, token{name: name, hash: hash})
	}
	return h
}

// Register adds the routes to r.
func (h *Handler) Register(r *mux.Router) {
	r.HandleFunc("/v1/fleet", h.authorized(h.get)).Methods(http.MethodGet)
	r.HandleFunc("/v1/fleet", h.authorized(h.put)).Methods(http.MethodPut)
	r.HandleFunc("/v1/fleet/status", h.authorized(h.status)).Methods(http.MethodGet)
	r.HandleFunc("/v1/audit", h.authorized(h.audit)).Methods(http.MethodGet)
}

// operatorKey is the context key of the name of the request's token.
type operatorKey struct{}

// authorized calls next for requests with an operator's token. Every hash is compared in constant time.
func (h *Handler) authorized(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		given, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(given))
		match, name := false, ""
		for _, t := range h.tokens {
			if subtle.ConstantTimeCompare(sum[:], t.hash) == 1 {
				match, name = true, t.name
			}
		}
		if !found || !match {
			h.fail(w, errkind.New(errkind.Unauthorized, "missing or wrong operator token"))
			return
		}
		next(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, name)))
	}
}

// operatorOf returns the name of the request's token, empty if it has none.
func operatorOf(r *http.Request) string {
	name, _ := r.Context().Value(operatorKey{}).(string)
	return name
}

func (h *Handler) get(w http.ResponseWriter, r *http.Request) {
	s, err := h.options.Acceptor.CurrentSnapshot(r.Context())
	if err != nil {
		if errkind.Is(err, errkind.NotReady) {
			w.Header().Set("ETag", etag(0)) // lets an operator submit the first text
		}
		h.fail(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/yaml")
	w.Header().Set("ETag", etag(s.Epoch))
	if _, err := w.Write(s.Raw); err != nil {
		h.options.Log.WithError(err).Debug("answer not written")
	}
}

func etag(epoch int64) string { return `"` + strconv.FormatInt(epoch, 10) + `"` }

// parseETag returns the epoch of If-Match. A list or a wildcard is refused: a change is made against one text.
func parseETag(value string) (int64, error) {
	if value == "" {
		return 0, errkind.New(errkind.PreconditionRequired, "If-Match with the ETag of the current text is required")
	}
	text, err := strconv.Unquote(strings.TrimSpace(value))
	if err == nil {
		var n int64
		if n, err = strconv.ParseInt(text, 10, 64); err == nil && n >= 0 {
			return n, nil
		}
	}
	return 0, errkind.New(errkind.InvalidRequest, "If-Match must be the ETag of the current text")
}

func (h *Handler) put(w http.ResponseWriter, r *http.Request) {
	base, err := parseETag(r.Header.Get("If-Match"))
	if err != nil {
		h.fail(w, err)
		return
	}
	id := r.Header.Get(SubmissionHeader)
	if len(id) > maxIDLength || strings.ContainsFunc(id, func(c rune) bool { return c <= ' ' || c > '~' || c == '/' }) {
		h.fail(w, errkind.New(errkind.InvalidRequest, SubmissionHeader+" must be at most 64 printable characters without '/'"))
		return
	}
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, fleet.MaxTextBytes))
	if err != nil {
		h.fail(w, readError(err))
		return
	}
	accepted, err := h.options.Acceptor.Submit(r.Context(), epoch.Submission{ID: id, Operator: operatorOf(r), ClaimedOperator: remarkOf(r), BaseEpoch: base, Raw: raw})
	if err != nil {
		h.fail(w, err)
		return
	}
	w.Header().Set("ETag", etag(accepted.Epoch))
	h.answer(w, http.StatusOK, accepted)
}

// remarkOf returns the operator's own remark, bounded because it is kept for good.
func remarkOf(r *http.Request) string {
	remark := strings.ToValidUTF8(r.Header.Get(OperatorHeader), "")
	return remark[:min(len(remark), maxRemarkLength)]
}

func readError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errkind.Wrap(err, errkind.BodyTooLarge, "the text is too large")
	}
	return errkind.Wrap(err, errkind.InvalidRequest, "the body could not be read")
}

func (h *Handler) status(w http.ResponseWriter, _ *http.Request) {
	st := Status{Status: h.options.Acceptor.Status()}
	if h.options.Blamed != nil {
		for _, b := range h.options.Blamed() {
			st.Blamed = append(st.Blamed, BlamedPrompt{Fingerprint: b.Fingerprint, Crashes: b.Crashes, Endpoints: b.Endpoints, Until: b.Expires})
		}
	}
	h.answer(w, http.StatusOK, st)
}

func (h *Handler) audit(w http.ResponseWriter, r *http.Request) {
	limit := defaultAuditLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > epoch.MaxAuditLimit {
			h.fail(w, errkind.New(errkind.InvalidRequest, "limit must be between 1 and 1000"))
			return
		}
		limit = n
	}
	records, err := h.options.Acceptor.Audit(r.Context(), r.URL.Query().Get("after"), limit)
	if err != nil {
		h.fail(w, err)
		return
	}
	if records == nil {
		records = []epoch.AuditRecord{}
	}
	h.answer(w, http.StatusOK, records)
}

func (h *Handler) fail(w http.ResponseWriter, err error) {
	status, body := errkind.Response(err)
	var refusal *epoch.RejectionError
	if errors.As(err, &refusal) {
		body.Error.Details = refusal.Details
		if refusal.Cause.Kind == errkind.EpochConflict {
			w.Header().Set("ETag", etag(refusal.CurrentEpoch))
		}
	}
	h.answer(w, status, body)
}

func (h *Handler) answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		h.options.Log.WithError(err).Debug("answer not written")
	}
}
