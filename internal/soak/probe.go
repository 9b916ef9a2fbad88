package soak

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/bilberrylink/bilberrylink/platform/platformtest"
)

const (
	probePause   = 250 * time.Millisecond
	probeTimeout = time.Second
)

// probe asks all gateways that have been undisturbed for a while whether the configuration is in force, until ctx ends.
func (w *world) probe(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(probePause)
		for _, g := range w.gateways {
			epoch, due := w.configurationDue(g)
			if !due {
				continue
			}
			w.checkRoute(g, epoch, addedPrefix(epoch), addedKey(epoch), func(status int) bool { return status == 401 || status == 404 },
				"does not know the latest route or key")
			if epoch > 1 {
				w.checkRoute(g, epoch, "/stock/", addedKey(epoch-1), func(status int) bool { return status == 200 }, "accepts a key that was withdrawn")
				w.checkRoute(g, epoch, addedPrefix(epoch-1), apiKey, func(status int) bool { return status == 200 }, "serves a route that was removed")
			}
		}
	}
}

// configurationDue returns the current epoch and whether it must be in force at a gateway.
func (w *world) configurationDue(g *gateway) (epoch int64, due bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, used := w.busy.Load(g)
	now := time.Now()
	return w.epoch, !used && !w.storeAway && now.Sub(w.storeDisturbedAt) > contactTime && now.Sub(w.changedAt) > configTime && !g.wasDisturbed(now)
}

// checkRoute sends a request and records a violation if its status is wrong, unless the configuration changed or the gateway was disturbed
// meanwhile.
func (w *world) checkRoute(g *gateway, epoch int64, prefix, key string, wrong func(status int) bool, what string) {
	status := w.send(g, prefix, key)
	if status == 0 {
		return
	}
	w.checker.mu.Lock()
	w.checker.probes++
	w.checker.mu.Unlock()
	if now, due := w.configurationDue(g); due && now == epoch && wrong(status) {
		w.checker.violate("%s %s: epoch %d, status %d", g.name, what, epoch, status)
	}
}

// checkPrompts sends sound prompts to all gateways after all disturbances, until each gateway has served each of them: what was blocked beside
// the part that crashes endpoints must not stay blocked.
func (w *world) checkPrompts() {
	const servedWithin = 15 * time.Second
	for _, g := range w.gateways {
		for _, shared := range promptLengths {
			served := false
			for startedAt := time.Now(); !served && time.Since(startedAt) < servedWithin; time.Sleep(probePause) {
				served = w.sendRequest(g, platformtest.CallerRequest{Method: http.MethodPost, Path: chatPrefix + "x", APIKey: apiKey,
					Parts: promptOf(sharedParts(shared)) + "1:4000", PromptTokens: 4140, OutputTokens: 400}) == http.StatusOK
			}
			if !served {
				w.checker.violate("%s does not serve a sound prompt with %d further parts", g.name, shared)
			}
		}
	}
}

// send sends a request on a connection of its own and returns the status of the answer; 0: there was none.
func (w *world) send(g *gateway, prefix, key string) (status int) {
	return w.sendRequest(g, platformtest.CallerRequest{Method: http.MethodGet, Path: prefix, APIKey: key})
}

// sendRequest is send for any request, which gets an ID at the end of its path.
func (w *world) sendRequest(g *gateway, request platformtest.CallerRequest) (status int) {
	conn, err := net.DialTimeout("tcp", g.callerAddr, probeTimeout)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(probeTimeout))
	id := fmt.Sprintf("probe-%d", w.nextID())
	request.Path, request.Host, request.AttemptID, request.Timeout = request.Path+id, host, id, probeTimeout
	if _, err := conn.Write(request.Encode()); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
