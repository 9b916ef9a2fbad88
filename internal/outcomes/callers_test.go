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

// deadlineBound is how long after its deadline a request may end at the caller: the answer travels on a connection that
// takes no time, so only the order of simultaneous timers matters.
const deadlineBound = 250 * time.Millisecond

// chatTimeout is enough for a chat that meets any of the hidden faults.
const chatTimeout = 20 * time.Second

var lark = endpoint.Version{Model: "lark", Version: "v1", Batch: "b1"}

// answer is what a caller got for one request.
type answer struct {
	entry      *node
	from, to   time.Time
	timeout    time.Duration
	status     int // 0: the connection broke
	body       string
	text       string // of a chat
	whole      bool   // a chat that ended as complete
	kind       errkind.Kind
	run        errkind.RunState
	err        error
	left       bool // the caller went away
	notReached bool // no connection
}

func (a *answer) ok() bool { return a.status >= 200 && a.status < 300 && a.kind == "" && a.err == nil }

// record is a unique piece of work with all answers that callers got for it.
type record struct {
	key  string    // of non-idempotent calls
	work string    // prompt or path
	from time.Time // first sending

	mu      sync.Mutex
	answers []*answer
}

// caller is one client with its own random numbers.
type caller struct {
	run    *run
	id     int
	serial int
	rng    *rand.Rand
	client *http.Client
}

func newCaller(r *run, id int) *caller {
	return &caller{run: r, id: id, rng: rand.New(rand.NewPCG(r.seed, uint64(id)+100)), client: r.newClient()}
}

func (c *caller) loop() {
	for {
		select {
		case <-c.run.stop:
			return
		case <-time.After(time.Duration(c.rng.ExpFloat64() * float64(300*time.Millisecond))):
		}
		c.serial++
		switch draw := c.rng.Float64(); {
		case draw < 0.45:
			c.chat(c.newRecord(""), 20+c.rng.IntN(60))
		case draw < 0.65:
			c.call(c.newRecord(""), http.MethodGet, c.timeout(5*time.Second))
		default:
			c.order(c.newRecord("key"))
		}
	}
}

func (c *caller) newRecord(key string) *record {
	id := fmt.Sprintf("%d-%d", c.id, c.serial)
	rec := &record{from: time.Now()}
	if key != "" {
		rec.key, rec.work = key+"-"+id, "/orders"
		if c.serial%3 == 0 {
			rec.work = "/deposits"
		}
	}
	c.run.mu.Lock()
	c.run.requests[id] = rec
	c.run.mu.Unlock()
	if key == "" {
		rec.work = "/stock/" + id
	}
	return rec
}

// timeout is short now and then, so that deadlines pass during the work.
func (c *caller) timeout(normal time.Duration) time.Duration {
	if c.rng.Float64() < 0.1 {
		return time.Duration(c.rng.Float64()*float64(time.Second)) + time.Millisecond
	}
	return normal
}

// chat asks for n tokens.
func (c *caller) chat(rec *record, n int) {
	content := fmt.Sprintf("prompt %s %s", rec.work, strings.Repeat("goatskin ", c.rng.IntN(2000)))
	rec.work = "user: " + content + "\n"
	c.sendChat(rec, content, n, c.pick(nil), c.rng.Float64() < 0.6, c.timeout(chatTimeout), c.leaveAfter())
}

func (c *caller) sendChat(rec *record, content string, n int, at *node, stream bool, timeout, leave time.Duration) *answer {
	body, _ := json.Marshal(map[string]any{"model": "clerk", "stream": stream, "max_tokens": n,
		"messages": []map[string]string{{"role": "user", "content": content}}}) // strings and numbers always marshal
	a := c.send(rec, at, http.MethodPost, "/v1/chat/completions", body, timeout, leave)
	if a.whole {
		if want := standin.Answer(lark, rec.work, n); a.text != want {
			c.run.violate("chat %.40q got %d bytes that are not its answer of %d bytes", content, len(a.text), len(want))
		}
	}
	return a
}

func (c *caller) call(rec *record, method string, timeout time.Duration) {
	c.send(rec, c.pick(nil), method, "/services/orders"+rec.work, nil, timeout, c.leaveAfter())
}

// order sends a non-idempotent call and repeats its key through other entries, at the same time or later.
func (c *caller) order(rec *record) {
	repeats := c.rng.IntN(4)
	together := c.rng.Float64() < 0.3
	var wg sync.WaitGroup
	at := c.pick(nil)
	for range repeats + 1 {
		entry, timeout, leave := at, c.timeout(5*time.Second), c.leaveAfter()
		send := func() {
			c.send(rec, entry, http.MethodPost, "/services/orders"+rec.work, []byte(`{"sack":1}`), timeout, leave)
		}
		if together {
			wg.Go(send)
		} else {
			send()
			time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(500*time.Millisecond)))
		}
		at = c.pick(at)
	}
	wg.Wait()
}

func (c *caller) leaveAfter() time.Duration {
	if c.rng.Float64() < 0.08 {
		return time.Duration(c.rng.Float64() * float64(600*time.Millisecond))
	}
	return 0
}

// pick chooses an entry as a balancer with a lag would, other than the last one.
func (c *caller) pick(last *node) *node {
	for {
		n := c.run.entries[c.rng.IntN(len(c.run.entries))]
		n.mu.Lock()
		out := !n.stopping.IsZero() && time.Since(n.stopping) > balancerLag/2
		n.mu.Unlock()
		if n != last && !out {
			return n
		}
	}
}

func (c *caller) send(rec *record, at *node, method, path string, body []byte, timeout, leave time.Duration) *answer {
	a := &answer{entry: at, from: time.Now(), timeout: timeout}
	ctx, cancel := context.WithTimeout(context.Background(), timeout+10*time.Second)
	defer cancel()
	if leave > 0 {
		ctx, cancel = context.WithTimeout(ctx, leave)
		defer cancel()
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at.callersAddr+path, bytes.NewReader(body))
	if err != nil {
		panic(err) // all parts are constants
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("X-Request-Timeout", timeout.String())
	if rec.key != "" {
		req.Header.Set("Idempotency-Key", rec.key)
	}
	resp, err := c.client.Do(req)
	if err == nil {
		a.status = resp.StatusCode
		a.read(resp)
		_ = resp.Body.Close()
	} else {
		a.err, a.notReached = err, strings.Contains(err.Error(), errRefused.Error())
	}
	a.to = time.Now()
	a.left = leave > 0 && a.to.Sub(a.from) >= leave
	c.judge(rec, a)
	return a
}

// read fills the answer from the response.
func (a *answer) read(resp *http.Response) {
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		a.readEvents(resp.Body)
		return
	}
	data, err := io.ReadAll(resp.Body)
	a.body, a.err = string(data), err
	if err != nil {
		return
	}
	var chat chatBody
	_ = json.Unmarshal(data, &chat) // plain services answer other objects
	a.kind, a.run = chat.Error.Kind, chat.Error.RunState
	if a.ok() && len(chat.Choices) == 1 && chat.Choices[0].Message != nil {
		a.text, a.whole = chat.Choices[0].Message.Content, true
	}
}

type chatBody struct {
	errkind.Body
	Choices []struct {
		Delta   struct{ Content string }
		Message *struct{ Content string }
	}
}

func (a *answer) readEvents(body io.Reader) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.whole = true
			continue
		}
		var chunk chatBody
		_ = json.Unmarshal([]byte(data), &chunk) // a malformed chunk shows as a wrong text
		if chunk.Error.Kind != "" {
			a.kind, a.run = chunk.Error.Kind, chunk.Error.RunState
		}
		for _, choice := range chunk.Choices {
			a.text += choice.Delta.Content
		}
	}
	a.err = lines.Err()
	if a.err == nil && !a.whole && a.kind == "" {
		a.err = io.ErrUnexpectedEOF
	}
}

// judge checks one answer by itself and keeps it for the checks of the whole run.
func (c *caller) judge(rec *record, a *answer) {
	rec.mu.Lock()
	rec.answers = append(rec.answers, a)
	rec.mu.Unlock()
	r := c.run
	r.mu.Lock()
	r.answers[a.label()]++
	r.mu.Unlock()
	troubled := a.entry.wasTroubled(a.from.Add(-time.Second), a.to)
	if took := a.to.Sub(a.from); took > a.timeout+deadlineBound && !troubled {
		r.violate("request %.40q with a timeout of %v took %v: %s", rec.work+rec.key, a.timeout, took, a.label())
	}
	if a.left || troubled {
		return
	}
	if a.err != nil && !a.notReached {
		r.violate("request %.40q was cut off by a running or draining %s: %v", rec.work+rec.key, a.entry.name, a.err)
	}
	if a.kind == errkind.Internal {
		r.violate("request %.40q got an internal error: %s", rec.work+rec.key, a.body)
	}
}

func (a *answer) label() string {
	switch {
	case a.left:
		return "caller left"
	case a.notReached:
		return "not reached"
	case a.err != nil:
		return "cut off"
	case a.kind != "":
		return string(a.kind) + "/" + string(a.run)
	}
	return "ok"
}
