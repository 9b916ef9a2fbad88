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
	"github.com/bilberrylink/bilberrylink/wire"
)

// keyHeader is the header of the IETF draft on idempotency keys.
const keyHeader = "Idempotency-Key"

// notForwarded lists headers that belong to the caller's connection or are secret.
var notForwarded = map[string]bool{
	"Authorization": true, "Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Cookie": true, timeoutHeader: true, keyHeader: true,
}

// plain answers any method on /services/{service}/{path}.
func (s *server) plain(w http.ResponseWriter, hr *http.Request) error {
	arrived := time.Now()
	id, err := s.identify(hr)
	if err != nil {
		return err
	}
	name, err := url.PathUnescape(mux.Vars(hr)["service"])
	if err != nil {
		return errkind.New(errkind.InvalidRequest, "malformed path")
	}
	r, err := s.open(id, name, hr, arrived)
	if err != nil {
		return err
	}
	boundWrite(w, r.deadline)
	body, err := readBody(w, hr, maxBody(id.snap), r.deadline)
	if err != nil {
		return err
	}
	if err := r.setCall(hr, body); err != nil {
		return err
	}
	if err := s.admit(id, r); err != nil {
		return err
	}
	if err := s.serve(hr.Context(), r); err != nil {
		return err
	}
	return writeResponse(w, r.response)
}

// setCall fills the call from the caller's request and checks it against the service's rules.
func (r *request) setCall(hr *http.Request, body []byte) error {
	if r.target.Spec.Kind != fleet.KindPlain {
		return errkind.New(errkind.InvalidRequest, r.asked+" answers chats only")
	}
	callPath, err := callPath(hr)
	if err != nil {
		return err
	}
	rule, ok := r.target.Spec.MatchCall(hr.Method, callPath)
	if !ok {
		return errkind.New(errkind.MethodNotAllowed, "service "+r.asked+" has no call "+hr.Method+" "+callPath)
	}
	key, err := keyOf(hr)
	if err != nil {
		return err
	}
	if key == "" && !rule.Idempotent && rule.WithoutKey != fleet.WithoutKeySingleAttempt {
		return errkind.New(errkind.KeyRequired, "this call needs an "+keyHeader+" header")
	}
	if rule.Idempotent {
		key = "" // may be repeated freely, so no record is kept
	}
	full := callPath
	if hr.URL.RawQuery != "" {
		full += "?" + hr.URL.RawQuery
	}
	sum := sha256.New()
	for _, part := range []string{hr.Method, full, hr.Header.Get("Content-Type"), string(body)} {
		_, _ = sum.Write([]byte(part + "\x00")) // a hash never fails to write
	}
	r.call = &wire.CallWork{
		Method:         hr.Method,
		Path:           full,
		Headers:        forwarded(hr.Header),
		Body:           body,
		Idempotent:     rule.Idempotent,
		IdempotencyKey: key,
		RequestHash:    hex.EncodeToString(sum.Sum(nil)),
	}
	r.fingerprint = fingerprintOf(r.workspace, r.target.Service, hr.Method, full, string(body))
	return nil
}

// callPath returns the escaped path below the service. Dot segments are refused: a rule must match what is called.
func callPath(hr *http.Request) (string, error) {
	rest := "/" + mux.Vars(hr)["path"]
	plain, err := url.PathUnescape(rest)
	if err != nil || !utf8.ValidString(plain) || strings.ContainsRune(plain, 0) {
		return "", errkind.New(errkind.InvalidRequest, "malformed path")
	}
	if clean := path.Clean(plain); clean != plain && clean+"/" != plain {
		return "", errkind.New(errkind.InvalidRequest, "path must not contain empty or dot segments")
	}
	if strings.Contains(strings.ToLower(rest), "%2f") || !utf8.ValidString(hr.URL.RawQuery) {
		return "", errkind.New(errkind.InvalidRequest, "path must not contain an escaped slash")
	}
	return rest, nil
}

// keyOf returns the idempotency key: a quoted string as in the draft, or a bare token.
func keyOf(hr *http.Request) (string, error) {
	values := hr.Header.Values(keyHeader)
	if len(values) == 0 {
		return "", nil
	}
	key := strings.TrimSpace(values[0])
	if strings.HasPrefix(key, `"`) != strings.HasSuffix(key, `"`) || len(values) > 1 {
		return "", errkind.New(errkind.InvalidRequest, keyHeader+" must be one string")
	}
	key = strings.Trim(key, `"`)
	if key == "" || len(key) > maxKeyLength || !printable(key) {
		return "", errkind.New(errkind.InvalidRequest, keyHeader+" must have 1 to 255 printable ASCII characters")
	}
	return key, nil
}

// printable admits visible ASCII without quotes and slashes, because the key is part of a table key.
func printable(key string) bool {
	for _, c := range []byte(key) {
		if c <= ' ' || c > '~' || c == '"' || c == '\\' || c == '/' {
			return false
		}
	}
	return true
}

func forwarded(h http.Header) []*wire.Header {
	var out []*wire.Header
	for name, values := range h {
		if !notForwarded[name] {
			out = append(out, &wire.Header{Name: name, Values: values})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// writeResponse gives the service's complete answer to the caller.
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
	if status < http.StatusOK || status > 999 {
		return errkind.New(errkind.StreamBroken, "service answered with an invalid status")
	}
	w.WriteHeader(status)
	if _, err := w.Write(resp.GetBody()); err != nil {
		return errAnswered{kind: errkind.Canceled}
	}
	return nil
}
