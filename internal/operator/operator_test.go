package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/blame"
	"github.com/bilberrylink/bilberrylink/epoch"
	"github.com/bilberrylink/bilberrylink/fleet"
)

// fakeAcceptor accepts and records all submissions.
type fakeAcceptor struct{ submissions []epoch.Submission }

func (f *fakeAcceptor) Submit(_ context.Context, s epoch.Submission) (epoch.SubmitResult, error) {
	f.submissions = append(f.submissions, s)
	return epoch.SubmitResult{Epoch: 1}, nil
}
func (f *fakeAcceptor) CurrentSnapshot(context.Context) (*fleet.Snapshot, error) { return nil, nil }
func (f *fakeAcceptor) Status() epoch.Status                                     { return epoch.Status{Epoch: 1} }
func (f *fakeAcceptor) Audit(context.Context, string, int) ([]epoch.AuditRecord, error) {
	return nil, nil
}

// serveRequest sends a request with a submission to a handler with the options and returns the response.
func serveRequest(o Options, method, path, token, remark string) *httptest.ResponseRecorder {
	router := mux.NewRouter()
	New(o).Register(router)
	r := httptest.NewRequest(method, path, strings.NewReader("services: {}\n"))
	r.Header.Set("Authorization", "Bearer "+token)
	r.Header.Set("If-Match", `"0"`)
	r.Header.Set(OperatorHeader, remark)
	w := httptest.NewRecorder()
	router.ServeHTTP(w, r)
	return w
}

// Guards against an audit trail whose operator name the caller can choose: the name must come from the token alone.
func TestOperatorNameComesFromTheToken(t *testing.T) {
	f := new(fakeAcceptor)
	o := Options{Acceptor: f, TokenHashes: []string{"anna=" + fleet.Hash([]byte("a")), "bela=" + fleet.Hash([]byte("b")), fleet.Hash([]byte("c"))}}
	for _, c := range []struct{ token, name string }{{"a", "anna"}, {"b", "bela"}, {"c", ""}} {
		require.Equal(t, http.StatusOK, serveRequest(o, http.MethodPut, "/v1/fleet", c.token, "anna").Code)
		last := f.submissions[len(f.submissions)-1]
		require.Equal(t, c.name, last.Operator)
		require.Equal(t, "anna", last.ClaimedOperator)
	}
	require.Equal(t, http.StatusUnauthorized, serveRequest(o, http.MethodPut, "/v1/fleet", "d", "anna").Code)
	require.Equal(t, http.StatusUnauthorized, serveRequest(o, http.MethodPut, "/v1/fleet", "anna="+fleet.Hash([]byte("a")), "").Code)
	require.Len(t, f.submissions, 3)
	serveRequest(o, http.MethodPut, "/v1/fleet", "a", strings.Repeat("x", 1000))
	require.Len(t, f.submissions[3].ClaimedOperator, maxRemarkLength)
}

// Guards against a token hash that is accepted with an invalid name or a wrong length.
func TestParseTokenRejectsInvalidInput(t *testing.T) {
	hash := fleet.Hash([]byte("a"))
	for _, bad := range []string{"", "anna=", "=" + hash, "an na=" + hash, hash[:62], "anna=" + hash + "00", "anna=bela=" + hash, strings.Repeat("a", 65) + "=" + hash} {
		_, _, err := ParseToken(bad)
		require.Error(t, err, bad)
	}
	name, _, err := ParseToken("anna=" + strings.ToUpper(hash))
	require.NoError(t, err)
	require.Equal(t, "anna", name)
}

// Guards against a status that omits the blamed prompts, which are refused.
func TestStatusShowsBlamedPrompts(t *testing.T) {
	o := Options{Acceptor: new(fakeAcceptor), TokenHashes: []string{fleet.Hash([]byte("a"))}, Blamed: func() []blame.Record {
		return []blame.Record{{Fingerprint: "f1", Crashes: 2, Endpoints: []string{"e1", "e2"}, Expires: time.Unix(1000, 0)}}
	}}
	var st Status
	require.NoError(t, json.Unmarshal(serveRequest(o, http.MethodGet, "/v1/fleet/status", "a", "").Body.Bytes(), &st))
	require.EqualValues(t, 1, st.Epoch)
	require.Len(t, st.Blamed, 1)
	require.Equal(t, "f1", st.Blamed[0].Fingerprint)
	require.True(t, st.Blamed[0].Until.Equal(time.Unix(1000, 0)))
}
