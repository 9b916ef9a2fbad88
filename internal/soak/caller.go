package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	callerTimeout = 5 * time.Second
	answerMargin  = 2 * time.Second // after the deadline, until an answer must have come
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
	var head string
	switch c.rng.IntN(10) {
	case 0, 1:
		r.kind, head = "order", "POST /orders/"+r.attempt
	case 2:
		r.kind, head = "stock", "GET /stock/"+r.attempt
	default:
		r.kind, head = "chat", "POST /chat/x"
		r.parts = "c0ffee:40," + r.attempt + ":4000"
		if c.rng.Float64() < c.world.crashingShare() {
			r.parts = "c0ffee:40," + crashingPart + ":100," + r.attempt + ":4000"
		}
	}
	body := "body of " + r.attempt
	request := fmt.Sprintf("%s HTTP/1.1\r\nHost: soak.example\r\nX-Bilberrylink-Attempt-Id: %s\r\nX-Bilberrylink-Deadline-Ms: %d\r\n"+
		"X-Bilberrylink-Key: key\r\nContent-Length: %d\r\n", head, r.attempt, callerTimeout.Milliseconds(), len(body))
	if r.kind == "chat" {
		request += "X-Bilberrylink-Token-Usage: 4140,400\r\nX-Bilberrylink-Prompt-Prefix: " + r.parts + "\r\n"
	}
	r.sentAt = time.Now()
	_ = c.conn.SetDeadline(r.sentAt.Add(callerTimeout + answerMargin))
	_, err := io.WriteString(c.conn, request+"\r\n"+body)
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
	body, err := io.ReadAll(resp.Body)
	r.body, r.complete = string(body), err == nil
	if r.status == http.StatusOK {
		r.badResponse = badBody(r, err == nil)
	}
	if got := resp.Header.Get("X-Bilberrylink-Attempt-Id"); got != "" && got != r.attempt {
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
			fmt.Fprintf(&events, "id: %d\ndata: %s\n\n", i, r.attempt)
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
