package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/internal/http1"
	"github.com/bilberrylink/bilberrylink/internal/transport"
)

// Outcomes that the client itself determines, besides the error kinds that an entry returns.
const (
	OutcomeOK        = "ok"
	OutcomeNoAnswer  = "client_no_answer" // the connection failed, or no answer arrived within deadline and grace period
	OutcomeTruncated = "client_truncated" // the stream ended without [DONE] and without an error event
	OutcomeMalformed = "client_malformed" // the answer does not conform to the entry's HTTP API
)

// maxLineBytes is the maximum length of an SSE line.
const maxLineBytes = 4 << 20

// Result describes the answer to one request as the caller observed it.
type Result struct {
	Outcome      string           // OutcomeOK, another outcome of the client, or an error kind
	RunState     errkind.RunState // run state that an error reports
	Status       int              // HTTP status; 0 if there was no response
	FirstToken   time.Time        // arrival of the first token; zero if none arrived
	End          time.Time        // when the answer or the attempt ended
	AnswerTokens int              // tokens received (SSE) or reported by usage (single body)
	TokenGaps    []time.Duration  // times between consecutive tokens (SSE)
	PromptTokens int              // prompt tokens reported by usage
	Fault        string           // why an answer that ended as a success is incomplete or inconsistent; empty if it is neither
	AnswerHash   uint64           // hash of the body of a successful call
}

// Sender sends one request and waits for its answer.
type Sender interface {
	Send(ctx context.Context, a *Arrival, body []byte) Result
}

// Client is a Sender that calls entries over HTTP.
type Client struct {
	HTTP          *http.Client
	Entries       []string // base URLs
	DeadlineScale float64  // deadlines are divided by it
}

// maxIdleConnsPerEntry keeps the connections of a burst open, so that connection setup does not dominate the latency of
// short requests.
const maxIdleConnsPerEntry = 1024

// maxAnswerBytes is far above the length of any answer. An entry or a stand-in in trouble may send bytes without end.
const maxAnswerBytes = 64 << 20

// NewClient returns a Client that sends requests to entries and divides deadlines by deadlineScale.
func NewClient(entries []string, deadlineScale float64) *Client {
	client := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnsPerEntry,
		IdleConnTimeout:     20 * time.Second,
		DisableCompression:  true,
	}}
	return &Client{HTTP: transport.BoundBodies(http1.Client(client), maxAnswerBytes), Entries: entries, DeadlineScale: deadlineScale}
}

// Send implements Sender.
func (c *Client) Send(ctx context.Context, a *Arrival, body []byte) Result {
	req, err := c.newRequest(ctx, a, body)
	if err != nil {
		return Result{Outcome: OutcomeMalformed, RunState: errkind.NotRun, End: time.Now()}
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return Result{Outcome: OutcomeNoAnswer, RunState: errkind.RunUnknown, End: time.Now()}
	}
	defer resp.Body.Close()
	result := readAnswer(resp, a)
	result.Status = resp.StatusCode
	result.End = time.Now()
	return result
}

func (c *Client) newRequest(ctx context.Context, a *Arrival, body []byte) (*http.Request, error) {
	method := a.Traffic.Method
	if a.Traffic.Kind == KindChat {
		method = http.MethodPost
	}
	url := strings.TrimSuffix(c.Entries[a.EntryIndex%uint64(len(c.Entries))], "/") + a.Path()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	req.Header.Set("Authorization", "Bearer "+a.Workspace.Key)
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	if a.Key != "" {
		req.Header.Set("Idempotency-Key", a.Key)
		// net/http retries a request with this header after a broken connection. A nil GetBody disables this: only
		// the schedule decides which requests are repeated.
		req.GetBody = nil
	}
	if a.Traffic.Deadline > 0 {
		req.Header.Set("X-Request-Timeout", c.scaledDeadline(a).String())
	}
	return req, nil
}

func (c *Client) scaledDeadline(a *Arrival) time.Duration {
	return time.Duration(float64(a.Traffic.Deadline) / c.DeadlineScale)
}

func readAnswer(resp *http.Response, a *Arrival) Result {
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return readStream(resp.Body)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Result{Outcome: OutcomeNoAnswer, RunState: errkind.RunUnknown}
	}
	if resp.StatusCode >= 300 {
		return readError(body)
	}
	if a.Traffic.Kind == KindCall {
		return Result{Outcome: OutcomeOK, AnswerHash: xxhash.Sum64(body)}
	}
	return readSingleBody(body)
}

func readError(body []byte) Result {
	var answer errkind.Body
	if err := json.Unmarshal(body, &answer); err != nil || answer.Error.Kind == "" {
		return Result{Outcome: OutcomeMalformed, RunState: errkind.RunUnknown}
	}
	return Result{Outcome: string(answer.Error.Kind), RunState: answer.Error.RunState}
}

// chatAnswer holds the fields that the client needs from a chat completion or one of its chunks.
type chatAnswer struct {
	Choices []struct {
		Delta   chatMessage `json:"delta"`
		Message chatMessage `json:"message"`
	} `json:"choices"`
	Usage *struct {
		Prompt     int `json:"prompt_tokens"`
		Completion int `json:"completion_tokens"`
	} `json:"usage"`
}

func readSingleBody(body []byte) Result {
	var answer chatAnswer
	if err := json.Unmarshal(body, &answer); err != nil || len(answer.Choices) == 0 || answer.Usage == nil {
		return Result{Outcome: OutcomeMalformed, RunState: errkind.Ran}
	}
	result := Result{Outcome: OutcomeOK, AnswerTokens: answer.Usage.Completion, PromptTokens: answer.Usage.Prompt}
	if answer.Choices[0].Message.Content == "" && result.AnswerTokens > 0 {
		result.Fault = "usage reports tokens of an empty answer"
	}
	return result
}

// streamReader reads the events of one SSE answer into a Result.
type streamReader struct {
	result         Result
	eventName      string
	lastTokenAt    time.Time
	reportedTokens int // completion tokens reported by usage; -1 before usage arrives
}

// readStream reads one SSE answer. Each chunk with content counts as one token.
func readStream(body io.Reader) Result {
	reader := &streamReader{reportedTokens: -1}
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for lines.Scan() {
		if reader.readLine(lines.Text()) {
			return reader.result
		}
	}
	reader.result.Outcome = OutcomeTruncated
	reader.result.RunState = errkind.RunUnknown
	return reader.result
}

// readLine processes one line and reports whether it ends the answer.
func (s *streamReader) readLine(line string) (done bool) {
	if line == "" {
		s.eventName = ""
		return false
	}
	if name, ok := strings.CutPrefix(line, "event:"); ok {
		s.eventName = strings.TrimSpace(name)
		return false
	}
	data, ok := strings.CutPrefix(line, "data:")
	if !ok {
		return false // a comment or an unused field
	}
	data = strings.TrimSpace(data)
	switch {
	case s.eventName == "error":
		errorResult := readError([]byte(data))
		s.result.Outcome, s.result.RunState = errorResult.Outcome, errorResult.RunState
		return true
	case data == "[DONE]":
		s.finish()
		return true
	}
	return s.readChunk(data)
}

func (s *streamReader) readChunk(data string) (done bool) {
	var chunk chatAnswer
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		s.result.Outcome = OutcomeMalformed
		s.result.RunState = errkind.Ran
		return true
	}
	if chunk.Usage != nil {
		s.reportedTokens = chunk.Usage.Completion
		s.result.PromptTokens = chunk.Usage.Prompt
	}
	if len(chunk.Choices) > 0 && chunk.Choices[0].Delta.Content != "" {
		s.addToken(time.Now())
	}
	return false
}

func (s *streamReader) addToken(now time.Time) {
	s.result.AnswerTokens++
	if s.result.AnswerTokens == 1 {
		s.result.FirstToken = now
	} else {
		s.result.TokenGaps = append(s.result.TokenGaps, now.Sub(s.lastTokenAt))
	}
	s.lastTokenAt = now
}

func (s *streamReader) finish() {
	s.result.Outcome = OutcomeOK
	switch {
	case s.reportedTokens < 0:
		s.result.Fault = "no usage before [DONE]"
	case s.reportedTokens != s.result.AnswerTokens:
		s.result.Fault = "usage differs from the tokens received"
	}
}
