// Package operator serves the HTTP API of an entry for operators: the configuration text, its status and the audit trail.
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
	"github.com/bilberrylink/bilberrylink/internal/transport"
)

// Headers of a submission.
const (
	SubmissionHeader = "Submission-Id" // optional idempotency key: a PUT repeated with the same value is accepted once
	OperatorHeader   = "Operator-Name" // optional: an unverified remark in the audit trail
)

const (
	maxSubmissionIDLength = 64
	maxRemarkLength       = 256 // bytes
	defaultAuditLimit     = 100
)

// Acceptor contains the methods of epoch.Acceptor that the handlers use.
type Acceptor interface {
	Submit(ctx context.Context, sub epoch.Submission) (epoch.SubmitResult, error)
	CurrentSnapshot(ctx context.Context) (*fleet.Snapshot, error)
	Status() epoch.Status
	Audit(ctx context.Context, after string, limit int) ([]epoch.AuditRecord, error)
}

// Options configure a Handler.
type Options struct {
	Acceptor    Acceptor
	TokenHashes []string              // operator tokens in the form that ParseToken accepts
	Blamed      func() []blame.Record // blamed prompts known to this entry; may be nil
	Log         *logrus.Logger        // may be nil
}

// Status is the response body of GET /v1/fleet/status.
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

// operatorToken is a token that authorizes operator requests.
type operatorToken struct {
	name string // may be empty
	hash []byte // SHA-256
}

// ParseToken parses NAME=HASH or a bare HASH, where HASH is the hex SHA-256 of an operator token.
func ParseToken(text string) (name string, hash []byte, err error) {
	name, hexHash, hasName := strings.Cut(text, "=")
	if !hasName {
		name, hexHash = "", text
	}
	if hasName && !operatorNamePattern.MatchString(name) {
		return "", nil, errors.Errorf("operator name %q must be 1 to 64 letters, digits, dots, hyphens or underscores", name)
	}
	hash, err = hex.DecodeString(hexHash)
	if err != nil || len(hash) != sha256.Size {
		return "", nil, errors.New("hash must be 64 hex digits, as sha256sum prints")
	}
	return name, hash, nil
}

var operatorNamePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// Handler serves the HTTP API for operators.
type Handler struct {
	opts   Options
	tokens []operatorToken
}

// New returns a handler. Invalid entries of TokenHashes are logged and ignored.
func New(opts Options) *Handler {
	if opts.Log == nil {
		opts.Log = logrus.New()
		opts.Log.SetLevel(logrus.PanicLevel)
	}
	h := &Handler{opts: opts}
	for _, text := range opts.TokenHashes {
		name, hash, err := ParseToken(text)
		if err != nil {
			opts.Log.WithError(err).Error("ignoring an invalid operator token hash")
			continue
		}
		h.tokens = append(h.tokens, operatorToken{name: name, hash: hash})
	}
	return h
}

// Register adds the routes to r.
func (h *Handler) Register(r *mux.Router) {
	r.HandleFunc("/v1/fleet", h.requireToken(h.getText)).Methods(http.MethodGet)
	r.HandleFunc("/v1/fleet", h.requireToken(h.putText)).Methods(http.MethodPut)
	r.HandleFunc("/v1/fleet/status", h.requireToken(h.getStatus)).Methods(http.MethodGet)
	r.HandleFunc("/v1/audit", h.requireToken(h.getAudit)).Methods(http.MethodGet)
}

// operatorNameKey is the context key for the name of the token that authorized the request.
type operatorNameKey struct{}

// requireToken passes requests with a valid operator token on to next. All hashes are compared, each in constant time.
func (h *Handler) requireToken(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		bearer, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		hash := sha256.Sum256([]byte(bearer))
		match, name := false, ""
		for _, t := range h.tokens {
			if subtle.ConstantTimeCompare(hash[:], t.hash) == 1 {
				match, name = true, t.name
			}
		}
		if !found || !match {
			h.refuse(w, r, errkind.New(errkind.Unauthorized, "missing or wrong operator token"))
			return
		}
		next(w, r.WithContext(context.WithValue(r.Context(), operatorNameKey{}, name)))
	}
}

// operatorName returns the name of the token that authorized the request. It is empty for an unnamed token.
func operatorName(r *http.Request) string {
	name, _ := r.Context().Value(operatorNameKey{}).(string)
	return name
}

func (h *Handler) getText(w http.ResponseWriter, r *http.Request) {
	snapshot, err := h.opts.Acceptor.CurrentSnapshot(r.Context())
	if err != nil {
		if errkind.Is(err, errkind.NotReady) {
			w.Header().Set("ETag", etag(0)) // If-Match for the submission of the first text
		}
		h.writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/yaml")
	w.Header().Set("ETag", etag(snapshot.Epoch))
	if _, err := w.Write(snapshot.Raw); err != nil {
		h.opts.Log.WithError(err).Debug("failed to write the response")
	}
}

func etag(epoch int64) string { return `"` + strconv.FormatInt(epoch, 10) + `"` }

// parseIfMatch returns the epoch in an If-Match header. Lists and wildcards are rejected, because a change must be based on
// one particular text.
func parseIfMatch(value string) (int64, error) {
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

func (h *Handler) putText(w http.ResponseWriter, r *http.Request) {
	baseEpoch, err := parseIfMatch(r.Header.Get("If-Match"))
	if err != nil {
		h.refuse(w, r, err)
		return
	}
	submissionID := r.Header.Get(SubmissionHeader)
	if len(submissionID) > maxSubmissionIDLength ||
		strings.ContainsFunc(submissionID, func(c rune) bool { return c <= ' ' || c > '~' || c == '/' }) {
		h.refuse(w, r, errkind.New(errkind.InvalidRequest, SubmissionHeader+" must be at most 64 printable characters without '/'"))
		return
	}
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, fleet.MaxTextBytes))
	if err != nil {
		h.refuse(w, r, bodyReadError(err))
		return
	}
	result, err := h.opts.Acceptor.Submit(r.Context(), epoch.Submission{ID: submissionID, Operator: operatorName(r),
		ClaimedOperator: operatorRemark(r), BaseEpoch: baseEpoch, Raw: raw})
	if err != nil {
		h.writeError(w, err)
		return
	}
	w.Header().Set("ETag", etag(result.Epoch))
	h.writeJSON(w, http.StatusOK, result)
}

// operatorRemark returns the unverified remark of the request, truncated because the audit trail keeps it permanently.
func operatorRemark(r *http.Request) string {
	remark := strings.ToValidUTF8(r.Header.Get(OperatorHeader), "")
	return remark[:min(len(remark), maxRemarkLength)]
}

func bodyReadError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errkind.Wrap(err, errkind.BodyTooLarge, "the text is too large")
	}
	return errkind.Wrap(err, errkind.InvalidRequest, "the body could not be read")
}

func (h *Handler) getStatus(w http.ResponseWriter, _ *http.Request) {
	status := Status{Status: h.opts.Acceptor.Status()}
	if h.opts.Blamed != nil {
		for _, b := range h.opts.Blamed() {
			status.Blamed = append(status.Blamed, BlamedPrompt{Fingerprint: b.Fingerprint, Crashes: b.Crashes, Endpoints: b.Endpoints,
				Until: b.Expires})
		}
	}
	h.writeJSON(w, http.StatusOK, status)
}

func (h *Handler) getAudit(w http.ResponseWriter, r *http.Request) {
	limit := defaultAuditLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > epoch.MaxAuditLimit {
			h.writeError(w, errkind.New(errkind.InvalidRequest, "limit must be between 1 and 1000"))
			return
		}
		limit = n
	}
	records, err := h.opts.Acceptor.Audit(r.Context(), r.URL.Query().Get("after"), limit)
	if err != nil {
		h.writeError(w, err)
		return
	}
	if records == nil {
		records = []epoch.AuditRecord{}
	}
	h.writeJSON(w, http.StatusOK, records)
}

// refuse answers a request whose body has not been read to its end.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, err error) {
	h.writeError(w, err)
	transport.DiscardBody(w, r)
}

func (h *Handler) writeError(w http.ResponseWriter, err error) {
	status, body := errkind.Response(err)
	var rejection *epoch.RejectionError
	if errors.As(err, &rejection) {
		body.Error.Details = rejection.Details
		if rejection.Cause.Kind == errkind.EpochConflict {
			w.Header().Set("ETag", etag(rejection.CurrentEpoch))
		}
	}
	h.writeJSON(w, status, body)
}

func (h *Handler) writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		h.opts.Log.WithError(err).Debug("failed to write the response")
	}
}
