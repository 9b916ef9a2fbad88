package entry

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/bilberrylink/bilberrylink/wire"
)

func answerTokens(_ *fakeAgent, r *wire.RunRequest, out *frameWriter) {
	if r.GetCall() != nil {
		out.started().response(http.StatusCreated, "ok "+r.GetCall().GetPath()).end()
		return
	}
	out.started().tokens(0, "Two ", "do.").end()
}

// Guards against responses that are not in the format of OpenAI's API.
func TestChatAnswersWholeAndStreamed(t *testing.T) {
	e := newTestEntry(t, newFleet(t, answerTokens), Disabled{})
	whole := e.chat(t, chatBody)
	assert.Equal(t, http.StatusOK, whole.status)
	assert.Contains(t, whole.body, `"content":"Two do."`)
	assert.Contains(t, whole.body, `"usage":{"prompt_tokens":7,"completion_tokens":2,"total_tokens":9`)
	streamed := e.chat(t, streamingChatBody)
	assert.Equal(t, "text/event-stream", streamed.header.Get("Content-Type"))
	assert.Contains(t, streamed.body, `"delta":{"role":"assistant","content":"Two "}`)
	assert.Contains(t, streamed.body, `"total_tokens":9`)
	assert.True(t, strings.HasSuffix(streamed.body, "data: [DONE]\n\n"))
}

// Guards against calls whose path, status or body is lost between caller and service.
func TestPlainCallPassesThrough(t *testing.T) {
	e := newTestEntry(t, newFleet(t, answerTokens), Disabled{})
	got := e.do(t, http.MethodPost, "/services/stock/orders?express=1", `{"skins":3}`, "Idempotency-Key", `"k-1"`)
	assert.Equal(t, http.StatusCreated, got.status)
	assert.Equal(t, "ok /orders?express=1", got.body)
	models := e.do(t, http.MethodGet, "/v1/models", "")
	assert.Contains(t, models.body, `"id":"clerk"`)
	assert.NotContains(t, models.body, `"id":"stock"`)
}

// Guards against malformed input that reaches an endpoint, or that is refused with the wrong error kind.
func TestInvalidInputIsRefusedBeforeAnyEndpoint(t *testing.T) {
	f := newFleet(t, answerTokens)
	e := newTestEntry(t, f, Disabled{})
	const chat, post = "/v1/chat/completions", http.MethodPost
	long := strings.Repeat("x", 120_000)
	cases := []struct{ name, method, path, body, header, value, kind string }{
		{"no key", post, chat, chatBody, "Authorization", "", "unauthorized"},
		{"wrong key", post, chat, chatBody, "Authorization", "Bearer nobody", "unauthorized"},
		{"forbidden", http.MethodGet, "/services/stock/stock/7", "", "Authorization", "Bearer guest", "forbidden"},
		{"no JSON", post, chat, "{", "", "", "invalid_request"},
		{"no messages", post, chat, `{"model":"clerk"}`, "", "", "invalid_request"},
		{"image part", post, chat, `{"model":"clerk","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, "", "", "invalid_request"},
		{"negative max_tokens", post, chat, `{"model":"clerk","max_tokens":-1,"messages":[{"role":"user","content":"a"}]}`, "", "", "invalid_request"},
		{"unknown model", post, chat, `{"model":"wren","messages":[{"role":"user","content":"a"}]}`, "", "", "unknown_model"},
		{"plain service", post, chat, `{"model":"stock","messages":[{"role":"user","content":"a"}]}`, "", "", "invalid_request"},
		{"large body", post, chat, long, "", "", "body_too_large"},
		{"deadline text", post, chat, chatBody, "X-Request-Timeout", "soon", "invalid_deadline"},
		{"deadline zero", post, chat, chatBody, "X-Request-Timeout", "0s", "invalid_deadline"},
		{"deadline negative", post, chat, chatBody, "X-Request-Timeout", "-1s", "invalid_deadline"},
		{"deadline too long", post, chat, chatBody, "X-Request-Timeout", "11s", "invalid_deadline"},
		{"unknown service", http.MethodGet, "/services/none/x", "", "", "", "unknown_service"},
		{"call not listed", http.MethodDelete, "/services/stock/orders", "", "", "", "method_not_allowed"},
		{"key missing", post, "/services/stock/orders", "{}", "", "", "key_required"},
		{"key with slash", post, "/services/stock/orders", "{}", "Idempotency-Key", "a/b", "invalid_request"},
		{"key unbalanced", post, "/services/stock/orders", "{}", "Idempotency-Key", `"a`, "invalid_request"},
		{"dot segments", http.MethodGet, "/services/stock/stock/../orders", "", "", "", "invalid_request"},
		{"escaped slash", http.MethodGet, "/services/stock/stock/a%2Fb", "", "", "", "invalid_request"},
		{"no such path", http.MethodGet, "/v2/other", "", "", "", "unknown_service"},
	}
	for _, c := range cases {
		got := e.do(t, c.method, c.path, c.body, c.header, c.value)
		assert.Contains(t, got.body, `"kind":"`+c.kind+`"`, c.name)
		assert.Contains(t, got.body, `"run":"not_run"`, c.name)
		assert.NotContains(t, got.body, testKey, c.name)
	}
	runs, _ := f.totalCounts()
	assert.Zero(t, runs)
	assert.Equal(t, http.StatusOK, e.chat(t, chatBody).status)
}

// Guards against the deadline of a request that fails a later request on the same connection.
func TestDeadlineEndsWithItsRequest(t *testing.T) {
	e := newTestEntry(t, newFleet(t, answerTokens), Disabled{})
	assert.Equal(t, http.StatusOK, e.chat(t, chatBody, "X-Request-Timeout", "300ms").status)
	time.Sleep(350 * time.Millisecond)
	assert.Equal(t, http.StatusUnauthorized, e.chat(t, chatBody, "Authorization", "none").status)
}

// Guards against a connection that is closed without a response when the deadline is too short for any attempt.
func TestImpossibleDeadlineIsAnswered(t *testing.T) {
	f := newFleet(t, func(_ *fakeAgent, _ *wire.RunRequest, out *frameWriter) { out.hang() })
	e := newTestEntry(t, f, Disabled{})
	for _, timeout := range []string{"1ns", "1us", "1ms", "5ms"} {
		got := e.do(t, http.MethodGet, "/services/stock/stock/7", "", "X-Request-Timeout", timeout)
		assert.Equal(t, http.StatusGatewayTimeout, got.status, timeout)
		assert.Contains(t, got.body, `"kind":"deadline_exceeded"`, timeout)
	}
}
