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
)

// Outcomes that are not error kinds of an entry.
const (
	OutcomeOK        = "ok"
	OutcomeNoAnswer  = "client_no_answer" // connection failed, or no answer within deadline and grace
	OutcomeTruncated = "client_truncated" // the stream ended without [DONE] and without an error event
	OutcomeMalformed = "client_malformed" // the answer does not follow the callers' interface
)

// maxLineBytes bounds one SSE line.
const maxLineBytes = 4 << 20

// Result is what the caller saw of one request.
type Result struct {
	Outcome string           // OutcomeOK, an error kind, or another of the outcomes above
	Run     errkind.RunState // run state of an error
	Status  int              // HTTP status, 0 without an answer
	First   time.Time        // first token; zero without one
	Last    time.Time        // end of the answer
	Tokens  int              // tokens received (SSE) or reported by usage (single body)
	Gaps    []time.Duration
	Prompt  int    // prompt tokens as reported by usage
	Fault   string // why the answer is not whole although it ended with [DONE]
	Hash    uint64 // hash of a call's successful answer
}

// Sender sends one request and waits for its answer.
type Sender interface {
	Send(ctx context.Context, a *Arrival, body []byte) Result
}

// Client is the Sender for entries.
type Client struct {
	HTTP          *http.Client
	Entries       []string // base URLs
	DeadlineScale float64  // deadlines are divided by it
}

// maxIdlePerEntry keeps connections of a burst open, so that connection setup does not dominate short requests.
const maxIdlePerEntry = 1024

// NewClient returns a Client for the entries.
func NewClient(entries []string, deadlineScale float64) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdlePerEntry,
		IdleConnTimeout:     20 * time.Second,
		DisableCompression:  true,
	}
	return &Client{HTTP: &http.Client{Transport: transport}, Entries: entries, DeadlineScale: deadlineScale}
}

// Send implements Sender.
func (c *Client) Send(ctx context.Context, a *Arrival, body []byte) Result {
	req, err := c.request(ctx, a, body)
	if err != nil {
		return Result{Outcome: OutcomeMalformed, Run: errkind.NotRun, Last: time.Now()}
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return Result{Outcome: OutcomeNoAnswer, Run: errkind.RunUnknown, Last: time.Now()}
	}
	defer resp.Body.Close()
	r := read(resp, a)
	r.Status = resp.StatusCode
	r.Last = time.Now()
	return r
}

func (c *Client) request(ctx context.Context, a *Arrival, body []byte) (*http.Request, error) {
	method := a.Traffic.Method
	if a.Traffic.Kind == KindChat {
		method = http.MethodPost
	}
	url := strings.TrimSuffix(c.Entries[a.Entry%uint64(len(c.Entries))], "/") + a.Path()
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
		// net/http repeats a request with this header after a broken connection; the nil GetBody prevents it, because
		// the tool itself decides what is repeated.
		req.GetBody = nil
	}
	if a.Traffic.Deadline > 0 {
		req.Header.Set("X-Request-Timeout", c.deadline(a).String())
	}
	return req, nil
}

func (c *Client) deadline(a *Arrival) time.Duration {
	return time.Duration(float64(a.Traffic.Deadline) / c.DeadlineScale)
}

func read(resp *http.Response, a *Arrival) Result {
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return readStream(resp.Body)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Result{Outcome: OutcomeNoAnswer, Run: errkind.RunUnknown}
	}
	if resp.StatusCode >= 300 {
		return readError(body)
	}
	if a.Traffic.Kind == KindCall {
		return Result{Outcome: OutcomeOK, Hash: xxhash.Sum64(body)}
	}
	return readSingle(body)
}

func readError(body []byte) Result {
	var answer errkind.Body
	if err := json.Unmarshal(body, &answer); err != nil || answer.Error.Kind == "" {
		return Result{Outcome: OutcomeMalformed, Run: errkind.RunUnknown}
	}
	return Result{Outcome: string(answer.Error.Kind), Run: answer.Error.RunState}
}

// chatAnswer is a chat answer or one chunk of it.
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

func readSingle(body []byte) Result {
	var answer chatAnswer
	if err := json.Unmarshal(body, &answer); err != nil || len(answer.Choices) == 0 || answer.Usage == nil {
		return Result{Outcome: OutcomeMalformed, Run: errkind.Ran}
	}
	r := Result{Outcome: OutcomeOK, Tokens: answer.Usage.Completion, Prompt: answer.Usage.Prompt}
	if answer.Choices[0].Message.Content == "" && r.Tokens > 0 {
		r.Fault = "usage reports tokens of an empty answer"
	}
	return r
}

// streamReader collects the events of one SSE answer.
type streamReader struct {
	result     Result
	event      string
	previous   time.Time
	completion int // completion tokens by usage, -1 before usage arrived
}

// readStream reads one SSE answer. Each chunk with content counts as one token.
func readStream(body io.Reader) Result {
	s := &streamReader{completion: -1}
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for lines.Scan() {
		if s.line(lines.Text()) {
			return s.result
		}
	}
	s.result.Outcome = OutcomeTruncated
	s.result.Run = errkind.RunUnknown
	return s.result
}

// line handles one line and reports whether it ended the answer.
func (s *streamReader) line(line string) (done bool) {
	if line == "" {
		s.event = ""
		return false
	}
	if name, ok := strings.CutPrefix(line, "event:"); ok {
		s.event = strings.TrimSpace(name)
		return false
	}
	data, ok := strings.CutPrefix(line, "data:")
	if !ok {
		return false // comment or field of no interest
	}
	data = strings.TrimSpace(data)
	switch {
	case s.event == "error":
		failure := readError([]byte(data))
		s.result.Outcome, s.result.Run = failure.Outcome, failure.Run
		return true
	case data == "[DONE]":
		s.finish()
		return true
	}
	return s.chunk(data)
}

func (s *streamReader) chunk(data string) (done bool) {
	var chunk chatAnswer
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		s.result.Outcome = OutcomeMalformed
		s.result.Run = errkind.Ran
		return true
	}
	if chunk.Usage != nil {
		s.completion = chunk.Usage.Completion
		s.result.Prompt = chunk.Usage.Prompt
	}
	if len(chunk.Choices) > 0 && chunk.Choices[0].Delta.Content != "" {
		s.token(time.Now())
	}
	return false
}

func (s *streamReader) token(now time.Time) {
	s.result.Tokens++
	if s.result.Tokens == 1 {
		s.result.First = now
	} else {
		s.result.Gaps = append(s.result.Gaps, now.Sub(s.previous))
	}
	s.previous = now
}

func (s *streamReader) finish() {
	s.result.Outcome = OutcomeOK
	switch {
	case s.completion < 0:
		s.result.Fault = "no usage before [DONE]"
	case s.completion != s.result.Tokens:
		s.result.Fault = "usage differs from the tokens received"
	}
}
