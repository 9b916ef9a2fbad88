package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gorilla/mux"
	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/epoch"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/fleet"
)

// recordingAcceptor records the arguments of the handlers' calls.
type recordingAcceptor struct {
	submitted epoch.Submission
	after     string
	limit     int
	err       error
}

func (a *recordingAcceptor) Submit(_ context.Context, sub epoch.Submission) (epoch.SubmitResult, error) {
	a.submitted = sub
	return epoch.SubmitResult{Epoch: sub.BaseEpoch + 1, Submission: sub.ID}, a.err
}

func (a *recordingAcceptor) CurrentSnapshot(context.Context) (*fleet.Snapshot, error) {
	return nil, errkind.New(errkind.NotReady, "none")
}

func (a *recordingAcceptor) Status() epoch.Status { return epoch.Status{Epoch: 7} }

func (a *recordingAcceptor) Audit(_ context.Context, after string, limit int) ([]epoch.AuditRecord, error) {
	a.after, a.limit = after, limit
	return nil, a.err
}

// sendRequest sends a request to a handler with one valid token, "secret", and returns the response.
func sendRequest(a *recordingAcceptor, method, target, token string, header map[string]string, body string) *httptest.ResponseRecorder {
	sum := sha256.Sum256([]byte("secret"))
	r := mux.NewRouter()
	New(Options{Acceptor: a, TokenHashes: []string{"not hex", hex.EncodeToString(sum[:])}}).Register(r)
	req := httptest.NewRequest(method, target, strings.NewReader(body))
	req.Header.Set("Authorization", token)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	w := httptest.NewRecorder()
	r.ServeHTTP(w, req)
	return w
}

// Guards against a route that accepts requests without a valid operator token.
func TestEveryRouteNeedsToken(t *testing.T) {
	for _, route := range []string{"GET /v1/fleet", "PUT /v1/fleet", "GET /v1/fleet/status", "GET /v1/audit"} {
		method, path, _ := strings.Cut(route, " ")
		for _, token := range []string{"", "secret", "Bearer ", "Bearer wrong", "Basic secret"} {
			a := &recordingAcceptor{}
			require.Equal(t, http.StatusUnauthorized, sendRequest(a, method, path, token, map[string]string{"If-Match": `"1"`}, "").Code, route+token)
			require.Empty(t, a.submitted)
		}
	}
}

// Guards against a change without an If-Match of one particular text, and against an invalid submission ID.
func TestPutChecksHeaders(t *testing.T) {
	for _, c := range []struct {
		match, id string
		want      int
	}{
		{"", "", http.StatusPreconditionRequired},
		{"*", "", http.StatusBadRequest},
		{`"1", "2"`, "", http.StatusBadRequest},
		{`"-1"`, "", http.StatusBadRequest},
		{`"3"`, "a/b", http.StatusBadRequest},
		{`"3"`, strings.Repeat("x", maxSubmissionIDLength+1), http.StatusBadRequest},
		{`"3"`, "one", http.StatusOK},
	} {
		a := &recordingAcceptor{}
		w := sendRequest(a, "PUT", "/v1/fleet", "Bearer secret", map[string]string{"If-Match": c.match, SubmissionHeader: c.id, OperatorHeader: "clerk"}, "text")
		require.Equal(t, c.want, w.Code, "%q %q: %s", c.match, c.id, w.Body)
		if c.want != http.StatusOK {
			require.Empty(t, a.submitted)
			continue
		}
		require.Equal(t, epoch.Submission{ID: "one", ClaimedOperator: "clerk", BaseEpoch: 3, Raw: []byte("text")}, a.submitted)
		require.Equal(t, `"4"`, w.Header().Get("ETag"))
	}
}

// Guards against a conflict response without the current epoch and the differences, and against a text over the size limit.
func TestPutRejections(t *testing.T) {
	a := &recordingAcceptor{err: &epoch.RejectionError{Cause: errkind.New(errkind.EpochConflict, "another change"), CurrentEpoch: 9, Details: []string{"~ a: 1 -> 2"}}}
	w := sendRequest(a, "PUT", "/v1/fleet", "Bearer secret", map[string]string{"If-Match": `"3"`}, "text")
	require.Equal(t, http.StatusPreconditionFailed, w.Code)
	require.Equal(t, `"9"`, w.Header().Get("ETag"))
	require.Contains(t, w.Body.String(), "~ a: 1 -\\u003e 2")
	w = sendRequest(&recordingAcceptor{}, "PUT", "/v1/fleet", "Bearer secret", map[string]string{"If-Match": `"3"`}, strings.Repeat("x", fleet.MaxTextBytes+1))
	require.Equal(t, http.StatusRequestEntityTooLarge, w.Code)
	w = sendRequest(&recordingAcceptor{}, "GET", "/v1/fleet", "Bearer secret", nil, "")
	require.Equal(t, `"0"`, w.Header().Get("ETag"), "the first text can be submitted")
}

// Guards against unbounded audit responses and a cursor that is not passed on.
func TestAuditLimits(t *testing.T) {
	for query, want := range map[string]int{"": http.StatusOK, "?limit=5&after=audit/000000000003": http.StatusOK, "?limit=1000": http.StatusOK,
		"?limit=1001": http.StatusBadRequest, "?limit=0": http.StatusBadRequest, "?limit=x": http.StatusBadRequest} {
		a := &recordingAcceptor{}
		w := sendRequest(a, "GET", "/v1/audit"+query, "Bearer secret", nil, "")
		require.Equal(t, want, w.Code, query)
		if want == http.StatusOK {
			require.JSONEq(t, "[]", w.Body.String())
			require.LessOrEqual(t, a.limit, epoch.MaxAuditLimit)
		}
		if strings.Contains(query, "after") {
			require.Equal(t, "audit/000000000003", a.after)
			require.Equal(t, 5, a.limit)
		}
	}
}
