package gateway

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bilberrylink/bilberrylink/catalog"
)

// maxSendsOfCrashingPart is the platform's bound: five crashes, and three more requests.
const maxSendsOfCrashingPart = 5 + 3

// crashOn returns a script for endpoints that crash when they start an answer to a prompt with a part, after some events, and that
// are back at once under the same ID.
func crashOn(tg *testGateway, part string, events int) func(context.Context, int, *EndpointRequest) (*Response, error) {
	return func(_ context.Context, n int, r *EndpointRequest) (*Response, error) {
		time.Sleep(50 * time.Millisecond)
		if !slices.Contains(r.Request.SharedParts, part) {
			return newResponse(200, eventText(1, 9)), nil
		}
		entry := r.Endpoint.Entry
		entry.Born = int64(n)
		tg.registry.Upsert(entry)
		if events == 0 {
			return nil, errReset
		}
		from := int(r.LastEventID) + 1
		return &Response{Status: 200, SignatureValid: true, ContentLength: -1, Body: brokenBody(eventText(from, from+events-1))}, nil
	}
}

func (tg *testGateway) sendsWith(part string) (sends int) {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	for i := range tg.requests {
		if slices.Contains(tg.requests[i].Request.SharedParts, part) {
			sends++
		}
	}
	return sends
}

// A part that crashes endpoints, in requests no two of which are alike, must not reach one endpoint after the other.
func TestPromptPartThatCrashesEndpointsIsStopped(t *testing.T) {
	for _, events := range []int{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			tg := newTestGateway(nil)
			tg.script = crashOn(tg, "bad", events)
			for i := range 40 {
				for _, part := range []string{"bad", "good"} {
					caller := tg.serve(t.Context(), catalog.Stream, func(r *Request) {
						r.ID = fmt.Sprint(part, i)
						r.Fingerprint, r.SharedParts = xxhash.Sum64String(r.ID), []string{"common", part}
					})
					if part == "good" {
						require.Equal(t, eventText(1, 9), caller.body.String(), "sound requests with the same first part are served")
					}
				}
				time.Sleep(200 * time.Millisecond)
			}
			require.LessOrEqual(t, tg.sendsWith("bad"), maxSendsOfCrashingPart, "%d events before the crash", events)
		})
	}
}

// A request that crashes each endpoint that runs it must be stopped, wherever in the answer they crash and whatever its route allows: each
// attempt that breaks off is evidence, and what came before the break is none against it.
func TestCrashAnywhereInAnAnswerIsStopped(t *testing.T) {
	const (
		maxSends = 3 + 3 // the platform's bound: three crashes, and three more requests
		requests = 24
	)
	kinds := []catalog.Kind{catalog.Idempotent, catalog.NonIdempotent, catalog.Stream}
	rapid.Check(t, func(rt *rapid.T) {
		kind := rapid.SampledFrom(kinds).Draw(rt, "kind")
		events := rapid.IntRange(0, 70).Draw(rt, "events before the crash")
		inHead := rapid.Bool().Draw(rt, "crash in the head")
		pause := time.Duration(rapid.IntRange(0, 3000).Draw(rt, "pause in ms")) * time.Millisecond
		sends, served := 0, 0
		synctest.Test(t, func(t *testing.T) {
			tg := newTestGateway(nil)
			tg.script = func(_ context.Context, n int, r *EndpointRequest) (*Response, error) {
				time.Sleep(20 * time.Millisecond)
				if r.Request.ID != "crashing" {
					return newResponse(200, eventText(1, 9)), nil
				}
				sends++
				entry := r.Endpoint.Entry
				entry.Born = int64(n) // it is back at once
				tg.registry.Upsert(entry)
				if inHead {
					return nil, errReset
				}
				from := int(max(r.LastEventID, 0)) + 1
				return &Response{Status: 200, SignatureValid: true, ContentLength: -1, Body: brokenBody(eventText(from, from+events-1))}, nil
			}
			for i := range requests {
				tg.serve(t.Context(), kind, func(r *Request) { r.ID, r.Fingerprint = "crashing", 7 })
				if tg.serve(t.Context(), kind, func(r *Request) { r.ID, r.Fingerprint = "sound", uint64(100+i) }).status == 200 {
					served++
				}
				time.Sleep(pause)
			}
		})
		if sends > maxSends || served < requests {
			rt.Fatalf("%d requests reached endpoints, %d of %d sound ones were served", sends, served, requests)
		}
	})
}
