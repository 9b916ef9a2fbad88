package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/url"
	"path"
	"sort"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/gorilla/mux"

	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/intake"
	"github.com/bilberrylink/bilberrylink/internal/http1"
	"github.com/bilberrylink/bilberrylink/wire"
)

// idempotencyKeyHeader is the header of the IETF draft "The Idempotency-Key HTTP Header Field".
const idempotencyKeyHeader = "Idempotency-Key"

// notForwarded lists headers that are passed on in neither direction: those of a single connection, those that the entry
// itself handles, and secrets.
var notForwarded = map[string]bool{
	"Authorization": true, "Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Cookie": true, timeoutHeader: true, idempotencyKeyHeader: true,
}

// handleCall handles /services/{service}/{path}, with any method.
func (s *server) handleCall(w http.ResponseWriter, hr *http.Request) error {
	arrived := time.Now()
	caller, err := s.identify(hr)
	if err != nil {
		return err
	}
	name, err := url.PathUnescape(mux.Vars(hr)["service"])
	if err != nil {
		return errkind.New(errkind.InvalidRequest, "malformed path")
	}
	r, err := s.newRequest(caller, name, hr, arrived)
	if err != nil {
		return err
	}
	setWriteDeadline(w, r.deadline)
	body, err := readBody(w, hr, maxBodyBytes(caller.snap), r.deadline)
	if err != nil {
		return err
	}
	if err := r.setCall(hr, body); err != nil {
		return err
	}
	if err := s.admit(caller, r); err != nil {
		return err
	}
	if err := s.execute(hr.Context(), r); err != nil {
		return err
	}
	// The answer counts from here on, so that one that its caller does not read makes room for others.
	if err := intake.FromContext(hr.Context()).Charge(int64(len(r.response.GetBody()))); err != nil {
		return errkind.New(errkind.StreamBroken, "no memory for the answer")
	}
	return writeResponse(w, r.response)
}

// setCall checks the caller's HTTP request against the service's call rules and sets r.call from it.
func (r *request) setCall(hr *http.Request, body []byte) error {
	if r.target.Spec.Kind != fleet.KindPlain {
		return errkind.New(errkind.InvalidRequest, r.requestedName+" answers chats only")
	}
	callPath, err := callPath(hr)
	if err != nil {
		return err
	}
	rule, ok := r.target.Spec.MatchCall(hr.Method, callPath)
	if !ok {
		return errkind.New(errkind.MethodNotAllowed, "service "+r.requestedName+" has no call "+hr.Method+" "+callPath)
	}
	key, err := idempotencyKey(hr)
	if err != nil {
		return err
	}
	if key == "" && !rule.Idempotent && rule.WithoutKey != fleet.WithoutKeySingleAttempt {
		return errkind.New(errkind.KeyRequired, "this call needs an "+idempotencyKeyHeader+" header")
	}
	if rule.Idempotent {
		key = "" // an idempotent call may be repeated and needs no record
	}
	pathAndQuery := callPath
	if hr.URL.RawQuery != "" {
		pathAndQuery += "?" + hr.URL.RawQuery
	}
	requestHash := sha256.New()
	for _, part := range []string{hr.Method, pathAndQuery, hr.Header.Get("Content-Type"), string(body)} {
		_, _ = requestHash.Write([]byte(part + "\x00")) // a hash never fails to write
	}
	r.call = &wire.CallWork{
		Method:         hr.Method,
		Path:           pathAndQuery,
		Headers:        forwardedHeaders(hr.Header),
		Body:           body,
		Idempotent:     rule.Idempotent,
		IdempotencyKey: key,
		RequestHash:    hex.EncodeToString(requestHash.Sum(nil)),
	}
	r.fingerprint = computeFingerprint(r.workspace, r.target.Service, hr.Method, pathAndQuery, string(body))
	return nil
}

// callPath returns the escaped path below the service. Dot segments and escaped slashes are refused, because the service
// could resolve them to a path other than the one that the call rules were matched with.
func callPath(hr *http.Request) (string, error) {
	escaped := "/" + mux.Vars(hr)["path"]
	unescaped, err := url.PathUnescape(escaped)
	if err != nil || !utf8.ValidString(unescaped) || strings.ContainsRune(unescaped, 0) {
		return "", errkind.New(errkind.InvalidRequest, "malformed path")
	}
	if clean := path.Clean(unescaped); clean != unescaped && clean+"/" != unescaped {
		return "", errkind.New(errkind.InvalidRequest, "path must not contain empty or dot segments")
	}
	if strings.Contains(strings.ToLower(escaped), "%2f") || !utf8.ValidString(hr.URL.RawQuery) {
		return "", errkind.New(errkind.InvalidRequest, "path must not contain an escaped slash")
	}
	return escaped, nil
}

// idempotencyKey returns the key of the request, which is a quoted string as in the draft or a bare token. Without the
// header it returns "".
func idempotencyKey(hr *http.Request) (string, error) {
	values := hr.Header.Values(idempotencyKeyHeader)
	if len(values) == 0 {
		return "", nil
	}
	key := strings.TrimSpace(values[0])
	if strings.HasPrefix(key, `"`) != strings.HasSuffix(key, `"`) || len(values) > 1 {
		return "", errkind.New(errkind.InvalidRequest, idempotencyKeyHeader+" must be one string")
	}
	key = strings.Trim(key, `"`)
	if key == "" || len(key) > maxKeyLength || !validKey(key) {
		return "", errkind.New(errkind.InvalidRequest, idempotencyKeyHeader+" must have 1 to 255 printable ASCII characters")
	}
	return key, nil
}

// validKey reports whether a key is visible ASCII without quotes, slashes and backslashes, since it becomes part of the
// key of a table row.
func validKey(key string) bool {
	for _, c := range []byte(key) {
		if c <= ' ' || c > '~' || c == '"' || c == '\\' || c == '/' {
			return false
		}
	}
	return true
}

func forwardedHeaders(h http.Header) []*wire.Header {
	var out []*wire.Header
	for name, values := range h {
		if !notForwarded[name] {
			out = append(out, &wire.Header{Name: name, Values: values})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// writeResponse writes a service's response to the caller.
func writeResponse(w http.ResponseWriter, resp *wire.CallResponse) error {
	for _, h := range resp.GetHeaders() {
		if notForwarded[http.CanonicalHeaderKey(h.GetName())] {
			continue
		}
		w.Header()[http.CanonicalHeaderKey(h.GetName())] = h.GetValues()
	}
	if resp.GetReplayed() {
		w.Header().Set("Idempotency-Replayed", "true")
	}
	status := int(resp.GetStatus())
	if status < http.StatusOK || !http1.IsStatus(status) {
		return errkind.New(errkind.StreamBroken, "service answered with an invalid status")
	}
	w.WriteHeader(status)
	if _, err := w.Write(resp.GetBody()); err != nil {
		return handledError{kind: errkind.Canceled}
	}
	return nil
}
