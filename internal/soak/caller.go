package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/bilberrylink/bilberrylink/platform/platformtest"
)

const (
	callerTimeout = 5 * time.Second
	answerMargin  = 2 * time.Second // after the deadline, until an answer must have come
	longOrders    = 10              // one order of so many has a long body
	crashingCalls = 200             // one request of so many is the call that crashes endpoints
)

// caller sends requests one after the other. It keeps its connection for as long as the gateway does.
type caller struct {
	world   *world
	rng     *rand.Rand
	conn    net.Conn
	reader  *bufio.Reader
	gateway *gateway
}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.request()
		time.Sleep(time.Duration(c.rng.IntN(60)) * time.Millisecond)
	}
	c.disconnect()
}

func (c *caller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *caller) connect() bool {
	c.gateway = c.world.gateways[c.rng.IntN(len(c.world.gateways))]
	conn, err := net.DialTimeout("tcp", c.gateway.callerAddr, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

func (c *caller) request() {
	if c.conn == nil && !c.connect() {
		return
	}
	r := result{attempt: fmt.Sprintf("%016x", c.rng.Uint64()), gateway: c.gateway.name}
	request := platformtest.CallerRequest{Method: http.MethodPost, Host: host, AttemptID: r.attempt, APIKey: apiKey, Timeout: callerTimeout,
		Body: "body of " + r.attempt}
	kind := c.rng.IntN(10)
	if c.world.crashingShare() > 0 && c.rng.IntN(crashingCalls) == 0 {
		kind = crashingCall
	}
	switch kind {
	case crashingCall:
		r.kind, request.Method, request.Path, request.Body = "crashing call", http.MethodGet, crashingPath, ""
	case 0, 1:
		r.kind, request.Path = "order", "/orders/"+r.attempt
		if c.rng.IntN(longOrders) == 0 {
			request.Body += strings.Repeat("x", longBody)
		}
	case 2:
		r.kind, request.Method, request.Path = "stock", http.MethodGet, "/stock/"+r.attempt
	default:
		r.kind, request.Path = "chat", chatPrefix+"x"
		r.parts = c.prompt(c.rng.Float64() < c.world.crashingShare()) + r.attempt + ":4000"
		request.Parts, request.PromptTokens, request.OutputTokens = r.parts, 4140, 400
	}
	r.sentAt = time.Now()
	_ = c.conn.SetDeadline(r.sentAt.Add(callerTimeout + answerMargin))
	_, err := c.conn.Write(request.Encode())
	keep := err == nil && c.receive(&r)
	r.endedAt = time.Now()
	if took := r.endedAt.Sub(r.sentAt); r.status == 0 && took >= callerTimeout+answerMargin && !c.gateway.wasDisturbed(r.sentAt) {
		r.badResponse = fmt.Sprintf("no answer %s after it was sent", took.Round(time.Millisecond))
	}
	c.world.checker.recordResult(r)
	if !keep {
		c.disconnect()
	}
}

// crashingCall is the kind of request that crashes endpoints while they answer.
const crashingCall = -1

// promptLengths are the numbers of shared parts of prompts behind the first one.
var promptLengths = []int{0, 3, 100}

// sharedParts returns the parts that all prompts of a length have in common.
func sharedParts(length int) []string {
	parts := make([]string, length)
	for i := range parts {
		parts[i] = fmt.Sprintf("%d%06x:10", length, i)
	}
	return parts
}

// promptOf returns a prompt up to its last part.
func promptOf(parts []string) string { return "c0ffee:40," + strings.Join(append(parts, ""), ",") }

// prompt returns a prompt up to its last part. One that crashes endpoints has a further part at any position.
func (c *caller) prompt(crashes bool) string {
	parts := sharedParts(promptLengths[c.rng.IntN(len(promptLengths))])
	if crashes {
		parts = slices.Insert(parts, c.rng.IntN(len(parts)+1), crashingPart+":100")
	}
	return promptOf(parts)
}

// receive reads the response and reports whether the connection stays open.
func (c *caller) receive(r *result) bool {
	if _, err := c.reader.Peek(1); err != nil {
		return false
	}
	r.bytes = c.reader.Buffered()
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: "POST"})
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	r.status = resp.StatusCode
	if r.status < 200 || r.status > 599 {
		r.badResponse = fmt.Sprintf("status %03d", r.status)
	}
	for name := range resp.Header {
		if strings.ContainsAny(name, " \t") {
			r.badResponse = fmt.Sprintf("field name %q", name)
		}
	}
	body, err := io.ReadAll(resp.Body)
	r.body, r.complete = string(body), err == nil
	if r.status == http.StatusOK {
		r.badResponse = badBody(r, err == nil)
	}
	if got := platformtest.AttemptID(resp); got != "" && got != r.attempt {
		r.badResponse = "answer of " + got
	}
	return err == nil && !resp.Close && c.reader.Buffered() == 0
}

// badBody returns what is wrong with the body of a successful answer, which may have been broken off.
func badBody(r *result, complete bool) string {
	want := "ran " + r.attempt
	if r.kind == "chat" {
		var events strings.Builder
		for i := 1; i <= eventsPerAnswer; i++ {
			events.WriteString(eventOf(r.attempt, i))
		}
		want = events.String()
	}
	switch {
	case complete && r.body != want:
		return fmt.Sprintf("complete answer with another body: %.80q", r.body)
	case !strings.HasPrefix(want, r.body):
		return fmt.Sprintf("answer with another beginning: %.80q", r.body)
	}
	return ""
}
