package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// request is an attempt of a requester.
type request struct {
	method, host, path, key, body string
	timeout                       time.Duration
	parts                         []string // "ID:TOKENS"; none: no prompt
	outputTokens                  int
}

// result is how an attempt has ended.
type result struct {
	attempt  string
	gateway  string
	sentAt   time.Time
	endedAt  time.Time
	status   int // 0: no answer
	complete bool
	signed   bool
	body     string
	err      error
}

// requester keeps connections open.
type requester struct {
	world  *world
	client *http.Client
}

func (w *world) newRequester() *requester {
	return &requester{world: w, client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 8,
		IdleConnTimeout: 10 * time.Second}}}
}

// send sends one attempt to a gateway and waits for the end of its answer.
func (r *requester) send(g *gateway, q request) result {
	res := result{attempt: fmt.Sprintf("%016x", 0xa0000000+r.world.nextID()), gateway: g.name, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), q.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.method, "http://"+g.front+q.path, strings.NewReader(q.body))
	must(err)
	req.Host = q.host
	req.Header.Set("X-Bilberrylink-Attempt-Id", res.attempt)
	req.Header.Set("X-Bilberrylink-Deadline-Ms", fmt.Sprint(q.timeout.Milliseconds()))
	if q.key != "" {
		req.Header.Set("X-Bilberrylink-Key", q.key)
	}
	if len(q.parts) > 0 {
		tokens := 0
		for _, p := range q.parts {
			var n int
			_, _ = fmt.Sscanf(p[strings.IndexByte(p, ':')+1:], "%d", &n)
			tokens += n
		}
		req.Header.Set("X-Bilberrylink-Model", "m")
		req.Header.Set("X-Bilberrylink-Token-Usage", fmt.Sprintf("%d,%d", tokens, q.outputTokens))
		req.Header.Set("X-Bilberrylink-Prompt-Prefix", strings.Join(q.parts, ","))
	}
	r.world.notef("attempt %s: %s %s to %s, key %q", res.attempt, q.method, q.path, g.name, q.key)
	resp, err := r.client.Do(req)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		res.status, res.body, res.signed = resp.StatusCode, string(body), resp.Header.Get("X-Bilberrylink-Response-Signature") != ""
		res.complete = err == nil
	}
	res.err, res.endedAt = err, time.Now()
	r.world.notef("attempt %s: status %d, complete %t, signed %t, %d bytes, %d ms, error %v", res.attempt, res.status, res.complete, res.signed,
		len(res.body), res.endedAt.Sub(res.sentAt).Milliseconds(), err)
	return res
}
