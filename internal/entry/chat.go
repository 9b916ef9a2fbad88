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

// chatRequest has the supported fields of OpenAI's chat completion request; others are ignored.
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
	case req.tokenLimit() != nil && *req.tokenLimit() <= 0:
		return nil, errkind.New(errkind.InvalidRequest, "max_tokens must be positive")
	}
	for _, m := range req.Messages {
		if m.Role == "" {
			return nil, errkind.New(errkind.InvalidRequest, "a message has no role")
		}
	}
	return req, nil
}

func (c *chatRequest) tokenLimit() *int64 {
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

// sharedParts returns the fingerprints of the first messages. The last one belongs to this chat.
func (c *chatRequest) sharedParts(model string) []string {
	parts := make([]string, 0, len(c.Messages)-1)
	for _, m := range c.Messages[:len(c.Messages)-1] {
		parts = append(parts, computeFingerprint(model, m.Role, string(m.Content)))
	}
	return parts
}

// maxTokens returns the largest number of answer tokens: what the caller asks for, within the service's limit.
func (c *chatRequest) maxTokens(spec *fleet.Service) int64 {
	maximum := int64(spec.MaxAnswerTokens)
	requested := c.tokenLimit()
	switch {
	case requested == nil && maximum > 0:
		return maximum
	case requested == nil:
		return defaultMaxTokens
	case maximum > 0:
		return min(*requested, maximum)
	}
	return *requested
}

// handleChat handles POST /v1/chat/completions.
func (s *server) handleChat(w http.ResponseWriter, hr *http.Request) error {
	arrived := time.Now()
	caller, err := s.identify(hr)
	if err != nil {
		return err
	}
	setWriteDeadline(w, arrived.Add(chatBodyTimeout))
	data, err := readBody(w, hr, maxBodyBytes(caller.snap), arrived.Add(chatBodyTimeout))
	if err != nil {
		return err
	}
	body, err := parseChat(data)
	if err != nil {
		return err
	}
	r, err := s.newChatRequest(caller, body, hr, arrived)
	if err != nil {
		return err
	}
	setWriteDeadline(w, r.deadline)
	if err := s.admit(caller, r); err != nil {
		return err
	}
	writer := &chatWriter{w: w, r: r, body: body, id: "chatcmpl-" + r.id, created: arrived.Unix(), metrics: s.metrics}
	if body.Stream {
		r.onToken = writer.writeToken
	}
	return writer.finish(s.execute(hr.Context(), r))
}

func (s *server) newChatRequest(caller identity, body *chatRequest, hr *http.Request, arrived time.Time) (*request, error) {
	r, err := s.newRequest(caller, body.Model, hr, arrived)
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
	r.prefix = prefixHash(r.target.Version, r.prompt)
	r.fingerprint = computeFingerprint(r.workspace, r.target.Version.Model, r.prompt)
	r.parts = body.sharedParts(r.target.Version.Model)
	model := caller.snap.Text.Models[r.target.Version.Model]
	if model != nil && model.MaxPromptTokens > 0 && r.promptTokens > int64(model.MaxPromptTokens) {
		return nil, errkind.New(errkind.PromptTooLarge, "prompt is longer than the model allows")
	}
	return r, nil
}

// JSON objects of OpenAI's chat completion responses.
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
		PromptTokens        int64           `json:"prompt_tokens"`
		CompletionTokens    int64           `json:"completion_tokens"`
		TotalTokens         int64           `json:"total_tokens"`
		PromptTokensDetails chatPromptUsage `json:"prompt_tokens_details"`
	}
	chatPromptUsage struct {
		CachedTokens int64 `json:"cached_tokens"`
	}
)

// chatWriter writes the response of one chat.
type chatWriter struct {
	w             http.ResponseWriter
	r             *request
	body          *chatRequest
	id            string
	created       int64
	metrics       *metrics
	headerWritten bool
}

// writeToken sends one token of a streamed answer. The headers are sent with the first token, so that an earlier failure
// can set its own status.
func (cw *chatWriter) writeToken(text string) error {
	delta := &chatDelta{Content: text}
	if !cw.headerWritten {
		cw.writeHeader()
		delta.Role = "assistant"
	}
	return cw.writeEvent(cw.chunk("chat.completion.chunk", chatChoice{Delta: delta}))
}

func (cw *chatWriter) writeHeader() {
	cw.headerWritten = true
	cw.metrics.ttft.WithLabelValues(promptLengthLabel(cw.r.promptTokens)).Observe(time.Since(cw.r.arrived).Seconds())
	cw.w.Header().Set("Content-Type", "text/event-stream")
	cw.w.Header().Set("Cache-Control", "no-store")
	cw.w.WriteHeader(http.StatusOK)
}

func (cw *chatWriter) chunk(object string, choices ...chatChoice) chatChunk {
	if choices == nil {
		choices = []chatChoice{}
	}
	return chatChunk{ID: cw.id, Object: object, Created: cw.created, Model: cw.r.requestedName, Choices: choices}
}

func (cw *chatWriter) writeEvent(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return cw.write("data: " + string(data) + "\n\n")
}

func (cw *chatWriter) write(text string) error {
	if _, err := io.WriteString(cw.w, text); err != nil {
		return err
	}
	return http.NewResponseController(cw.w).Flush()
}

// finish completes the response after the dispatch returned err.
func (cw *chatWriter) finish(err error) error {
	switch {
	case err != nil && cw.headerWritten:
		return cw.writeErrorEvent(err)
	case err != nil:
		return err
	case cw.body.Stream:
		return cw.finishStream()
	}
	reason := cw.finishReason()
	message := &chatDelta{Role: "assistant", Content: strings.Join(cw.r.tokens, "")}
	completion := cw.chunk("chat.completion", chatChoice{Message: message, FinishReason: &reason})
	completion.Usage = cw.usage()
	return writeJSON(cw.w, completion)
}

// writeErrorEvent ends a stream that has started with an error event instead of [DONE].
func (cw *chatWriter) writeErrorEvent(err error) error {
	_, body := errkind.Response(err)
	data, marshalErr := json.Marshal(body)
	if marshalErr == nil {
		_ = cw.write("event: error\ndata: " + string(data) + "\n\n") // a failed write means that the caller has disconnected
	}
	return handledError{kind: body.Error.Kind}
}

func (cw *chatWriter) finishStream() error {
	if !cw.headerWritten {
		cw.writeHeader()
	}
	reason := cw.finishReason()
	if err := cw.writeEvent(cw.chunk("chat.completion.chunk", chatChoice{Delta: &chatDelta{}, FinishReason: &reason})); err != nil {
		return handledError{kind: errkind.Canceled}
	}
	if cw.body.StreamOptions.IncludeUsage {
		usageChunk := cw.chunk("chat.completion.chunk")
		usageChunk.Usage = cw.usage()
		if err := cw.writeEvent(usageChunk); err != nil {
			return handledError{kind: errkind.Canceled}
		}
	}
	if err := cw.write("data: [DONE]\n\n"); err != nil {
		return handledError{kind: errkind.Canceled}
	}
	return nil
}

func (cw *chatWriter) finishReason() string {
	if int64(len(cw.r.tokens)) >= cw.r.maxTokens {
		return "length"
	}
	return "stop"
}

func (cw *chatWriter) usage() *chatUsage {
	prompt := cw.r.usage.GetPromptTokens()
	if prompt == 0 {
		prompt = cw.r.promptTokens
	}
	completion := int64(len(cw.r.tokens))
	return &chatUsage{
		PromptTokens:        prompt,
		CompletionTokens:    completion,
		TotalTokens:         prompt + completion,
		PromptTokensDetails: chatPromptUsage{CachedTokens: cw.r.usage.GetCachedTokens()},
	}
}
