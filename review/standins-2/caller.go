package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is a request of a requester, on a connection of its own.
type request struct {
	method, path string
	id           string
	deadlineMs   int
	tokens       string // the value of X-Bilberrylink-Token-Usage; empty: no prompt
	prefix       string
	body         string
}

// answer is what a requester gets.
type answer struct {
	status  int // 0: none
	signed  bool
	body    string
	closes  bool  // the connection is not kept
	err     error // the answer is not complete
	elapsed time.Duration
}

// send sends a request to a gateway on a new connection and reads its whole answer.
func send(addr string, r request) (a answer) {
	began := time.Now()
	defer func() { a.elapsed = time.Since(began) }()
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(began.Add(time.Duration(r.deadlineMs) * time.Millisecond)) // fails only on a closed connection
	return exchange(c, bufio.NewReader(c), r)
}

// exchange sends a request on a connection and reads its whole answer.
func exchange(c net.Conn, reader *bufio.Reader, r request) answer {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Bilberrylink-Deadline-Ms: %d\r\nX-Bilberrylink-Key: %s\r\n",
		r.method, r.path, callerHost, headerAttempt, r.id, r.deadlineMs, apiKey)
	if r.method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	if r.tokens != "" {
		head += fmt.Sprintf("X-Bilberrylink-Model: m\r\nX-Bilberrylink-Token-Usage: %s\r\n%s: %s\r\n", r.tokens, headerPrefix, r.prefix)
	}
	if _, err := io.WriteString(c, head+"\r\n"+r.body); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(reader, &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, signed: resp.Header.Get(headerSignature) != "", body: string(body), closes: resp.Close, err: err}
}
