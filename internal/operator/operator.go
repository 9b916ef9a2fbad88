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
	"strconv"
	"strings"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bilberrylink/bilberrylink/epoch"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/fleet"
)

// Headers of a submission.
const (
	SubmissionHeader = "Submission-Id" // optional: a repeated PUT with the same value is accepted once
	OperatorHeader   = "Operator-Name" // optional: shown in the audit trail
)

const (
	maxIDLength       = 64
	defaultAuditLimit = 100
)

// Acceptor is what the handlers need of epoch.Acceptor.
type Acceptor interface {
	Submit(ctx context.Context, sub epoch.Submission) (epoch.Accepted, error)
	Current(ctx context.Context) (*fleet.Snapshot, error)
	Status() epoch.Status
	Audit(ctx context.Context, after string, limit int) ([]epoch.AuditRecord, error)
}

// Options configure a Handler.
type Options struct {
	Acceptor    Acceptor
	TokenHashes []string       // hex SHA-256 of the operators' tokens
	Log         *logrus.Logger // may be nil
}

// Handler serves the operators' interface.
type Handler struct {
	options Options
	hashes  [][]byte
}

// New returns a handler. A token hash that is not hex SHA-256 matches no token.
func New(o Options) *Handler {
	if o.Log == nil {
		o.Log = logrus.New()
		o.Log.SetLevel(logrus.PanicLevel)
	}
	h := &Handler{options: o}
	for _, text := range o.TokenHashes {
		if sum, err := hex.DecodeString(text); err == nil && len(sum) == sha256.Size {
			h.hashes = append(h.hashes, sum)
		}
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

// authorized calls next for requests with an operator's token. Every hash is compared in constant time.
func (h *Handler) authorized(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(token))
		match := 0
		for _, want := range h.hashes {
			match |= subtle.ConstantTimeCompare(sum[:], want)
		}
		if !found || match != 1 {
			h.fail(w, errkind.New(errkind.Unauthorized, "missing or wrong operator token"))
			return
		}
		next(w, r)
	}
}

func (h *Handler) get(w http.ResponseWriter, r *http.Request) {
	s, err := h.options.Acceptor.Current(r.Context())
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
	accepted, err := h.options.Acceptor.Submit(r.Context(), epoch.Submission{ID: id, Operator: r.Header.Get(OperatorHeader), Base: base, Raw: raw})
	if err != nil {
		h.fail(w, err)
		return
	}
	w.Header().Set("ETag", etag(accepted.Epoch))
	h.answer(w, http.StatusOK, accepted)
}

func readError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errkind.Wrap(err, errkind.BodyTooLarge, "the text is too large")
	}
	return errkind.Wrap(err, errkind.InvalidRequest, "the body could not be read")
}

func (h *Handler) status(w http.ResponseWriter, _ *http.Request) {
	h.answer(w, http.StatusOK, h.options.Acceptor.Status())
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
	status, body := errkind.Answer(err)
	var refusal *epoch.Refusal
	if errors.As(err, &refusal) {
		body.Error.Details = refusal.Details
		if refusal.Cause.Kind == errkind.EpochConflict {
			w.Header().Set("ETag", etag(refusal.Epoch))
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
