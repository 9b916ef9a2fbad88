package outcomes

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/internal/standin"
)

// deadlineTolerance is how long after its deadline a request may end at the caller. In-memory connections add no latency,
// so it only allows for the order of timers that fire at the same time.
const deadlineTolerance = 250 * time.Millisecond

// chatTimeout is long enough for a chat to complete despite any fault in hiddenFaultKinds.
const chatTimeout = 20 * time.Second

var servedVersion = endpoint.Version{Model: "lark", Version: "v1", Batch: "b1"}

// requestResult is the result of one request as seen by the caller.
type requestResult struct {
	entry              *node
	startedAt, endedAt time.Time
	timeout            time.Duration
	status             int // 0: no response was received
	body               string
	chatText           string // generated text of a chat
	chatComplete       bool   // the chat ended normally
	errorKind          errkind.Kind
	runState           errkind.RunState
	err                error
	callerDisconnected bool // the caller disconnected before the result
	connectionRefused  bool // no connection could be made
}

func (result *requestResult) succeeded() bool {
	return result.status >= 200 && result.status < 300 && result.errorKind == "" && result.err == nil
}

// requestRecord is a unique chat or call with the results of all requests that were sent for it.
type requestRecord struct {
	idempotencyKey string // of a non-idempotent call; otherwise empty
	promptOrPath   string
	firstSentAt    time.Time

	mu      sync.Mutex
	results []*requestResult
}

// caller is a client that sends random requests, with a random number generator of its own.
type caller struct {
	sim      *simulation
	id       int
	sequence int
	rng      *rand.Rand
	client   *http.Client
}

func newCaller(sim *simulation, id int) *caller {
	return &caller{sim: sim, id: id, rng: rand.New(rand.NewPCG(sim.seed, uint64(id)+100)), client: sim.newClient()}
}

// sendRequests sends chats, lookups and non-idempotent calls at random intervals until callers stop.
func (c *caller) sendRequests() {
	for {
		select {
		case <-c.sim.stopCallers:
			return
		case <-time.After(time.Duration(c.rng.ExpFloat64() * float64(300*time.Millisecond))):
		}
		c.sequence++
		switch draw := c.rng.Float64(); {
		case draw < 0.45:
			c.sendRandomChat(c.newRequestRecord(""), 20+c.rng.IntN(60))
		case draw < 0.65:
			c.sendCall(c.newRequestRecord(""), http.MethodGet, c.drawTimeout(5*time.Second))
		default:
			c.sendKeyedCall(c.newRequestRecord("key"))
		}
	}
}

func (c *caller) newRequestRecord(keyPrefix string) *requestRecord {
	id := fmt.Sprintf("%d-%d", c.id, c.sequence)
	rec := &requestRecord{firstSentAt: time.Now()}
	if keyPrefix != "" {
		rec.idempotencyKey, rec.promptOrPath = keyPrefix+"-"+id, "/orders"
		if c.sequence%3 == 0 {
			rec.promptOrPath = "/deposits"
		}
	}
	c.sim.mu.Lock()
	c.sim.requests[id] = rec
	c.sim.mu.Unlock()
	if keyPrefix == "" {
		rec.promptOrPath = "/stock/" + id
	}
	return rec
}

// drawTimeout returns the usual timeout or, for one request in ten, a short one that may pass during execution.
func (c *caller) drawTimeout(usual time.Duration) time.Duration {
	if c.rng.Float64() < 0.1 {
		return time.Duration(c.rng.Float64()*float64(time.Second)) + time.Millisecond
	}
	return usual
}

// sendRandomChat sends a chat with a prompt of random length through a random entry.
func (c *caller) sendRandomChat(rec *requestRecord, tokens int) {
	content := fmt.Sprintf("prompt %s %s", rec.promptOrPath, strings.Repeat("goatskin ", c.rng.IntN(2000)))
	rec.promptOrPath = "user: " + content + "\n"
	c.sendChat(rec, content, tokens, c.pickEntry(nil), c.rng.Float64() < 0.6, c.drawTimeout(chatTimeout), c.drawDisconnectDelay())
}

func (c *caller) sendChat(rec *requestRecord, content string, tokens int, entry *node, stream bool,
	timeout, disconnectAfter time.Duration) *requestResult {
	body, _ := json.Marshal(map[string]any{"model": "clerk", "stream": stream, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": content}}}) // strings and numbers always marshal
	result := c.send(rec, entry, http.MethodPost, "/v1/chat/completions", body, timeout, disconnectAfter)
	if result.chatComplete {
		if want := standin.Answer(servedVersion, rec.promptOrPath, tokens); result.chatText != want {
			c.sim.addViolation("chat %.40q received %d bytes that differ from its expected answer of %d bytes",
				content, len(result.chatText), len(want))
		}
	}
	return result
}

func (c *caller) sendCall(rec *requestRecord, method string, timeout time.Duration) {
	c.send(rec, c.pickEntry(nil), method, "/services/orders"+rec.promptOrPath, nil, timeout, c.drawDisconnectDelay())
}

// sendKeyedCall sends a non-idempotent call and repeats it with the same key through other entries, concurrently or later.
func (c *caller) sendKeyedCall(rec *requestRecord) {
	repeats := c.rng.IntN(4)
	concurrent := c.rng.Float64() < 0.3
	var wg sync.WaitGroup
	next := c.pickEntry(nil)
	for range repeats + 1 {
		entry, timeout, disconnectAfter := next, c.drawTimeout(5*time.Second), c.drawDisconnectDelay()
		send := func() {
			c.send(rec, entry, http.MethodPost, "/services/orders"+rec.promptOrPath, []byte(`{"sack":1}`), timeout, disconnectAfter)
		}
		if concurrent {
			wg.Go(send)
		} else {
			send()
			time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(500*time.Millisecond)))
		}
		next = c.pickEntry(next)
	}
	wg.Wait()
}

// drawDisconnectDelay returns after which time the caller disconnects; 0: it waits for the result.
func (c *caller) drawDisconnectDelay() time.Duration {
	if c.rng.Float64() < 0.08 {
		return time.Duration(c.rng.Float64() * float64(600*time.Millisecond))
	}
	return 0
}

// pickEntry picks a random entry other than the previous one. Like a load balancer with a delay, it still picks an entry
// that has just begun to stop.
func (c *caller) pickEntry(previous *node) *node {
	for {
		entry := c.sim.entries[c.rng.IntN(len(c.sim.entries))]
		entry.mu.Lock()
		removed := !entry.stopStartedAt.IsZero() && time.Since(entry.stopStartedAt) > balancerLag/2
		entry.mu.Unlock()
		if entry != previous && !removed {
			return entry
		}
	}
}

func (c *caller) send(rec *requestRecord, entry *node, method, path string, body []byte,
	timeout, disconnectAfter time.Duration) *requestResult {
	result := &requestResult{entry: entry, startedAt: time.Now(), timeout: timeout}
	ctx, cancel := context.WithTimeout(context.Background(), timeout+10*time.Second)
	defer cancel()
	if disconnectAfter > 0 {
		ctx, cancel = context.WithTimeout(ctx, disconnectAfter)
		defer cancel()
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+entry.callerAddr+path, bytes.NewReader(body))
	if err != nil {
		panic(err) // all parts are constants
	}
	req.Header.Set("Authorization", "Bearer "+workspaceKey)
	req.Header.Set("X-Request-Timeout", timeout.String())
	if rec.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", rec.idempotencyKey)
	}
	resp, err := c.client.Do(req)
	if err == nil {
		result.status = resp.StatusCode
		result.readResponse(resp)
		_ = resp.Body.Close()
	} else {
		result.err, result.connectionRefused = err, strings.Contains(err.Error(), errConnectionRefused.Error())
	}
	result.endedAt = time.Now()
	result.callerDisconnected = disconnectAfter > 0 && result.endedAt.Sub(result.startedAt) >= disconnectAfter
	c.checkResult(rec, result)
	return result
}

// readResponse fills the result from the response.
func (result *requestResult) readResponse(resp *http.Response) {
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		result.readEventStream(resp.Body)
		return
	}
	data, err := io.ReadAll(resp.Body)
	result.body, result.err = string(data), err
	if err != nil {
		return
	}
	var decoded responseBody
	_ = json.Unmarshal(data, &decoded) // responses of plain services have other fields
	result.errorKind, result.runState = decoded.Error.Kind, decoded.Error.RunState
	if result.succeeded() && len(decoded.Choices) == 1 && decoded.Choices[0].Message != nil {
		result.chatText, result.chatComplete = decoded.Choices[0].Message.Content, true
	}
}

type responseBody struct {
	errkind.Body
	Choices []struct {
		Delta   struct{ Content string }
		Message *struct{ Content string }
	}
}

func (result *requestResult) readEventStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			result.chatComplete = true
			continue
		}
		var chunk responseBody
		_ = json.Unmarshal([]byte(data), &chunk) // a malformed chunk is detected as a wrong text
		if chunk.Error.Kind != "" {
			result.errorKind, result.runState = chunk.Error.Kind, chunk.Error.RunState
		}
		for _, choice := range chunk.Choices {
			result.chatText += choice.Delta.Content
		}
	}
	result.err = lines.Err()
	if result.err == nil && !result.chatComplete && result.errorKind == "" {
		result.err = io.ErrUnexpectedEOF
	}
}

// checkResult checks a single result and stores it for the checks at the end of the simulation.
func (c *caller) checkResult(rec *requestRecord, result *requestResult) {
	rec.mu.Lock()
	rec.results = append(rec.results, result)
	rec.mu.Unlock()
	sim := c.sim
	sim.mu.Lock()
	sim.resultCounts[result.label()]++
	sim.mu.Unlock()
	disrupted := result.entry.disruptedDuring(result.startedAt.Add(-time.Second), result.endedAt)
	if duration := result.endedAt.Sub(result.startedAt); duration > result.timeout+deadlineTolerance && !disrupted {
		sim.addViolation("request %.40q with a timeout of %v took %v: %s",
			rec.promptOrPath+rec.idempotencyKey, result.timeout, duration, result.label())
	}
	if result.callerDisconnected || disrupted {
		return
	}
	if result.err != nil && !result.connectionRefused {
		sim.addViolation("request %.40q was cut off by a running or draining %s: %v",
			rec.promptOrPath+rec.idempotencyKey, result.entry.name, result.err)
	}
	if result.errorKind == errkind.Internal {
		sim.addViolation("request %.40q failed with an internal error: %s", rec.promptOrPath+rec.idempotencyKey, result.body)
	}
}

// label classifies the result for the counts in the summary.
func (result *requestResult) label() string {
	switch {
	case result.callerDisconnected:
		return "caller left"
	case result.connectionRefused:
		return "not reached"
	case result.err != nil:
		return "cut off"
	case result.errorKind != "":
		return string(result.errorKind) + "/" + string(result.runState)
	}
	return "ok"
}
