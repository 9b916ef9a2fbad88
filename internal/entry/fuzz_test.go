package entry

import (
	"net/http"
	"net/http/httptest"
	"path"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/gorilla/mux"

	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/fleet"
)

// refusedWith fails unless err is a refusal of one of the kinds, all of which tell the caller that nothing ran.
func refusedWith(t *testing.T, err error, kinds ...errkind.Kind) {
	t.Helper()
	e := errkind.From(err)
	for _, kind := range kinds {
		if e.Kind == kind && e.RunState == errkind.NotRun {
			return
		}
	}
	t.Fatalf("refused with %s/%s: %v", e.Kind, e.RunState, err)
}

// Guards against a crash, a wrong error kind and an unusable request for any body of a chat.
func FuzzChatBody(f *testing.F) {
	f.Add([]byte(plainChat))
	f.Add([]byte(`{"model":"clerk","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],"max_tokens":5,"n":1}`))
	f.Add([]byte(`{"model":"clerk","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`))
	f.Add([]byte(`{"model":"clerk","messages":[null],"max_completion_tokens":-1}`))
	f.Add([]byte("[[[[[[\xff"))
	f.Fuzz(func(t *testing.T, data []byte) {
		req, err := parseChat(data)
		if err != nil {
			refusedWith(t, err, errkind.InvalidRequest)
			return
		}
		if n := req.maxTokens(&fleet.Service{MaxAnswerTokens: 100}); n < 1 || n > 100 {
			t.Fatalf("answer of %d tokens", n)
		}
		if req.Model == "" || req.prompt() == "" || !utf8.ValidString(req.prompt()) {
			t.Fatalf("model %q with prompt %q", req.Model, req.prompt())
		}
	})
}

// Guards against a deadline that is zero, negative or over the limit for any header.
func FuzzTimeoutHeader(f *testing.F) {
	for _, value := range []string{"30s", "0", "-1s", "1h", "1e9s", "9223372036854775807ns", "9999999999h", " 1s", "1s,2s", "NaN"} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value string) {
		spec := &fleet.Service{Timeout: 5 * time.Second, MaxTimeout: time.Minute}
		d, err := timeoutOf(&http.Request{Header: http.Header{timeoutHeader: {value}}}, spec)
		if err != nil {
			refusedWith(t, err, errkind.InvalidDeadline)
			return
		}
		if d <= 0 || d > spec.MaxTimeout {
			t.Fatalf("%q gives %v", value, d)
		}
	})
}

// Guards against keys that do not fit into a table key, and against two spellings of a key that are two calls.
func FuzzIdempotencyKey(f *testing.F) {
	for _, value := range []string{"k", `"k"`, `"`, `""`, `"a"b"`, "a/b", "a b", strings.Repeat("k", 256), "\x00", "ä"} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value string) {
		key, err := keyOf(&http.Request{Header: http.Header{keyHeader: {value}}})
		if err != nil {
			refusedWith(t, err, errkind.InvalidRequest)
			return
		}
		if key == "" || len(key) > maxKeyLength || strings.ContainsAny(key, "/\\\" \x00") || !utf8.ValidString(key) {
			t.Fatalf("%q gives key %q", value, key)
		}
		if quoted, err := keyOf(&http.Request{Header: http.Header{keyHeader: {`"` + key + `"`}}}); err != nil || quoted != key {
			t.Fatalf("quoted, key %q is %q: %v", key, quoted, err)
		}
	})
}

// Guards against a path that reaches a call which the service does not list.
func FuzzServicePath(f *testing.F) {
	for _, target := range []string{"stock/1", "stock/../orders", "stock//1", "stock/%2e%2e/orders", "stock/a%2Fb", "%zz", "", "stock/%00", "a/", "./a", "stock/%252e"} {
		f.Add(target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		if strings.ContainsAny(target, "?# \r\n") || len(target) > 1000 {
			t.Skip("not part of a path in a request line")
		}
		hr := httptest.NewRequest(http.MethodGet, "/", nil)
		got, err := callPath(mux.SetURLVars(hr, map[string]string{"path": target}))
		if err != nil {
			refusedWith(t, err, errkind.InvalidRequest)
			return
		}
		if clean := path.Clean(got); !strings.HasPrefix(got, "/") || clean != got && clean+"/" != got || strings.Contains(strings.ToLower(got), "%2f") {
			t.Fatalf("%q gives path %q", target, got)
		}
	})
}
