package entry

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/fleet"
)

// chatRequest is the part of OpenAI's request that is honoured; other fields are ignored.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           *int64        `json:"max_tokens"`
	MaxCompletionTokens *int64        `json:"max_completion_tokens"`
	N                   *int          `json:"n"`
	Stream              bool          `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

// chatContent is a string or a list of text parts.
type chatContent string

// UnmarshalJSON implements json.Unmarshaler.
func (c *chatContent) UnmarshalJSON(data []byte) error {
	if bytes.HasPrefix(bytes.TrimSpace(data), []byte("[")) {
		return c.unmarshalParts(data)
	}
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errkind.New(errkind.InvalidRequest, "content must be a string or a list of text parts")
	}
	*c = chatContent(text)
	return nil
}

func (c *chatContent) unmarshalParts(data []byte) error {
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return errkind.New(errkind.InvalidRequest, "content parts must be objects with type and text")
	}
	var all strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return errkind.New(errkind.InvalidRequest, "only text parts are supported")
		}
		all.WriteString(p.Text)
	}
	*c = chatContent(all.String())
	return nil
}

// parseChat decodes and checks the body of a chat.
func parseChat(data []byte) (*chatRequest, error) {
	req := new(chatRequest)
	if err := json.Unmarshal(data, req); err != nil {
		if errkind.Is(err, errkind.InvalidRequest) {
			return nil, err
		}
		return nil, errkind.New(errkind.InvalidRequest, "body is not a valid chat request: "+err.Error())
	}
	switch {
	case req.Model == "":
		return nil, errkind.New(errkind.InvalidRequest, "model is missing")
	case len(req.Messages) == 0:
		return nil, errkind.New(errkind.InvalidRequest, "messages is empty")
	case req.N != nil && *req.N != 1:
		return nil, errkind.New(errkind.InvalidRequest, "n must be 1")
	case req.limit() != nil && *req.limit() <= 0:
		return nil, errkind.New(errkind.InvalidRequest, "max_tokens must be positive")
	}
	for _, m := range req.Messages {
		if m.Role == "" {
			return nil, errkind.New(errkind.InvalidRequest, "a message has no role")
		}
	}
	return req, nil
}

func (c *chatRequest) limit() *int64 {
	if c.MaxCompletionTokens != nil {
		return c.MaxCompletionTokens
	}
	return c.MaxTokens
}

// prompt renders the messages in order, so that equal beginnings of conversations give equal prefixes.
func (c *chatRequest) prompt() string {
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(string(m.Content))
		b.WriteString("\n")
	}
	return b.String()
}

// maxTokens returns the length of the answer: what the caller asks for, at most the service's limit.
func (c *chatRequest) maxTokens(spec *fleet.Service) int64 {
	most := int64(spec.MaxAnswerTokens)
	asked := c.limit()
	switch {
	case asked == nil && most > 0:
		return most
	case asked == nil:
		return defaultMaxTokens
	case most > 0:
		return min(*asked, most)
	}
	return *asked
}

// chat answers POST /v1/chat/completions.
func (s *server) chat(w http.ResponseWriter, hr *http.Request) error {
	arrived := time.Now()
	id, err := s.identify(hr)
	if err != nil {
		return err
	}
	boundWrite(w, arrived.Add(bodyTimeout))
	data, err := readBody(w, hr, maxBody(id.snap), arrived.Add(bodyTimeout))
	if err != nil {
		return err
	}
	body, err := parseChat(data)
	if err != nil {
		return err
	}
	r, err := s.openChat(id, body, hr, arrived)
	if err != nil {
		return err
	}
	boundWrite(w, r.deadline)
	if err := s.admit(id, r); err != nil {
		return err
	}
	answer := &chatAnswer{w: w, r: r, body: body, id: "chatcmpl-" + r.id, created: arrived.Unix(), metrics: s.metrics}
	if body.Stream {
		r.onToken = answer.token
	}
	return answer.finish(s.serve(hr.Context(), r))
}

func (s *server) openChat(id identity, body *chatRequest, hr *http.Request, arrived time.Time) (*request, error) {
	r, err := s.open(id, body.Model, hr, arrived)
	if errkind.Is(err, errkind.UnknownService) {
		return nil, errkind.New(errkind.UnknownModel, "unknown model: "+body.Model)
	}
	if err != nil {
		return nil, err
	}
	if r.target.Spec.Kind == fleet.KindPlain {
		return nil, errkind.New(errkind.InvalidRequest, body.Model+" does not answer chats")
	}
	r.buffered = !body.Stream
	r.prompt = body.prompt()
	r.promptTokens = int64(endpoint.EstimateTokens(r.prompt))
	r.maxTokens = body.maxTokens(r.target.Spec)
	r.prefix = prefixOf(r.target.Version, r.prompt)
	r.fingerprint = fingerprintOf(r.workspace, r.target.Version.Model, r.prompt)
	model := id.snap.Text.Models[r.target.Version.Model]
	if model != nil && model.MaxPromptTokens > 0 && r.promptTokens > int64(model.MaxPromptTokens) {
		return nil, errkind.New(errkind.PromptTooLarge, "prompt is longer than the model allows")
	}
	return r, nil
}

// Wire form of OpenAI's answers.
type (
	chatChunk struct {
		ID      string       `json:"id"`
		Object  string       `json:"object"`
		Created int64        `json:"created"`
		Model   string       `json:"model"`
		Choices []chatChoice `json:"choices"`
		Usage   *chatUsage   `json:"usage,omitempty"`
	}
	chatChoice struct {
		Index        int        `json:"index"`
		Delta        *chatDelta `json:"delta,omitempty"`
		Message      *chatDelta `json:"message,omitempty"`
		FinishReason *string    `json:"finish_reason"`
	}
	chatDelta struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content"`
	}
	chatUsage struct {
		PromptTokens        int64              `json:"prompt_tokens"`
		CompletionTokens    int64              `json:"completion_tokens"`
		TotalTokens         int64              `json:"total_tokens"`
		PromptTokensDetails chatUsageOfPrompts `json:"prompt_tokens_details"`
	}
	chatUsageOfPrompts struct {
		CachedTokens int64 `json:"cached_tokens"`
	}
)

// chatAnswer writes the answer of one chat.
type chatAnswer struct {
	w       http.ResponseWriter
	r       *request
	body    *chatRequest
	id      string
	created int64
	metrics *metrics
	begun   bool
}

// token sends one token of a streaming answer. The headers are sent with the first one, so that earlier failures have
// their own status.
func (a *chatAnswer) token(text string) error {
	delta := &chatDelta{Content: text}
	if !a.begun {
		a.begin()
		delta.Role = "assistant"
	}
	return a.event(a.chunk("chat.completion.chunk", chatChoice{Delta: delta}))
}

func (a *chatAnswer) begin() {
	a.begun = true
	a.metrics.ttft.WithLabelValues(promptLabel(a.r.promptTokens)).Observe(time.Since(a.r.arrived).Seconds())
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.Header().Set("Cache-Control", "no-store")
	a.w.WriteHeader(http.StatusOK)
}

func (a *chatAnswer) chunk(object string, choices ...chatChoice) chatChunk {
	if choices == nil {
		choices = []chatChoice{}
	}
	return chatChunk{ID: a.id, Object: object, Created: a.created, Model: a.r.asked, Choices: choices}
}

func (a *chatAnswer) event(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return a.write("data: " + string(data) + "\n\n")
}

func (a *chatAnswer) write(text string) error {
	if _, err := io.WriteString(a.w, text); err != nil {
		return err
	}
	return http.NewResponseController(a.w).Flush()
}

// finish ends the answer after the dispatch returned err.
func (a *chatAnswer) finish(err error) error {
	switch {
	case err != nil && a.begun:
		return a.broken(err)
	case err != nil:
		return err
	case a.body.Stream:
		return a.finishStream()
	}
	stop := a.finishReason()
	message := &chatDelta{Role: "assistant", Content: strings.Join(a.r.tokens, "")}
	whole := a.chunk("chat.completion", chatChoice{Message: message, FinishReason: &stop})
	whole.Usage = a.usage()
	return writeJSON(a.w, whole)
}

// broken ends a begun stream with an error event and without [DONE].
func (a *chatAnswer) broken(err error) error {
	_, body := errkind.Response(err)
	data, marshalErr := json.Marshal(body)
	if marshalErr == nil {
		_ = a.write("event: error\ndata: " + string(data) + "\n\n") // a failed write means that the caller is gone
	}
	return errAnswered{kind: body.Error.Kind}
}

func (a *chatAnswer) finishStream() error {
	if !a.begun {
		a.begin()
	}
	stop := a.finishReason()
	if err := a.event(a.chunk("chat.completion.chunk", chatChoice{Delta: &chatDelta{}, FinishReason: &stop})); err != nil {
		return errAnswered{kind: errkind.Canceled}
	}
	if a.body.StreamOptions.IncludeUsage {
		last := a.chunk("chat.completion.chunk")
		last.Usage = a.usage()
		if err := a.event(last); err != nil {
			return errAnswered{kind: errkind.Canceled}
		}
	}
	if err := a.write("data: [DONE]\n\n"); err != nil {
		return errAnswered{kind: errkind.Canceled}
	}
	return nil
}

func (a *chatAnswer) finishReason() string {
	if int64(len(a.r.tokens)) >= a.r.maxTokens {
		return "length"
	}
	return "stop"
}

func (a *chatAnswer) usage() *chatUsage {
	prompt := a.r.usage.GetPromptTokens()
	if prompt == 0 {
		prompt = a.r.promptTokens
	}
	completion := int64(len(a.r.tokens))
	return &chatUsage{
		PromptTokens:        prompt,
		CompletionTokens:    completion,
		TotalTokens:         prompt + completion,
		PromptTokensDetails: chatUsageOfPrompts{CachedTokens: a.r.usage.GetCachedTokens()},
	}
}
