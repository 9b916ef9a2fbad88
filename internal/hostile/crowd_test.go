package hostile

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Sizes of the crowds. Each is large enough that what its callers send or ask for exceeds the memory or the descriptors of the machine.
const (
	bodyCallers   = 64 // with bodies of maxBodyBytes
	headerCallers = 420
	answerCallers = 40  // with answers of longAnswer bytes
	streamCallers = 200 // with events of eventBytes
	callerAddrs   = 4
	pressureTime  = 4 * time.Second // for which the crowd stays, at least
	redialPause   = 50 * time.Millisecond
	smallChunk    = 1 << 10
	dribblePause  = 100 * time.Millisecond
)

// abuse uses a connection until the crowd leaves (ctx) or the gateway ends the connection. It calls parked when it has sent all that it means
// to send at once.
type abuse func(ctx context.Context, conn net.Conn, parked func())

// crowd is a number of callers that do the same.
type crowd struct {
	callers int
	abuse   abuse
}

// Guards against callers whose bodies are within the limit one by one and exceed the memory of the machine together.
func TestLargeBodiesSentWhole(t *testing.T) {
	runCrowds(t, crowd{bodyCallers, sendWhole})
}

// Guards against the same bodies in chunks, whose length is not stated beforehand.
func TestLargeBodiesInSmallChunks(t *testing.T) {
	runCrowds(t, crowd{bodyCallers, sendChunks})
}

// Guards against bodies that are kept because their last byte does not come.
func TestLargeBodiesStallingShortOfTheEnd(t *testing.T) {
	runCrowds(t, crowd{bodyCallers, sendAllButEnd})
}

// Guards against request heads over the limit whose connections stay open.
func TestHeadersOverTheLimit(t *testing.T) {
	runCrowds(t, crowd{headerCallers, sendLargeHeader})
}

// Guards against request heads that never end.
func TestEndlessHeaders(t *testing.T) {
	runCrowds(t, crowd{headerCallers, sendEndlessHeaders})
}

// Guards against heads within the limit that take many times their length in memory.
func TestHeadsOfManyFields(t *testing.T) {
	runCrowds(t, crowd{headerCallers, sendManyFields})
}

// Guards against bytes before a request line that never comes.
func TestEndlessEmptyLines(t *testing.T) {
	runCrowds(t, crowd{headerCallers, sendEmptyLines})
}

// Guards against answers that pile up because callers do not read them.
func TestLongAnswersReadSlowly(t *testing.T) {
	runCrowds(t, crowd{answerCallers, readSlowly})
}

// Guards against streams whose events pile up in the process or in its connections to endpoints because callers do not read them.
func TestEndlessStreamsReadSlowly(t *testing.T) {
	runCrowds(t, crowd{streamCallers, readStreamSlowly})
}

// Guards against limits that hold for each kind of abuse and not for their sum.
func TestAllAbusesAtOnce(t *testing.T) {
	runCrowds(t, crowd{bodyCallers, sendWhole}, crowd{bodyCallers, sendChunks}, crowd{bodyCallers, sendAllButEnd},
		crowd{headerCallers, sendLargeHeader}, crowd{headerCallers, sendEndlessHeaders}, crowd{headerCallers, sendEmptyLines},
		crowd{answerCallers, readSlowly})
}

// Guards against limits that refuse the largest legal request when there is no other load.
func TestLargestRequestAlone(t *testing.T) {
	g := startGateway(t)
	require.Equal(t, http.StatusOK, g.request("/short/", strings.Repeat("x", maxBodyBytes)))
}

// runCrowds sets the crowds on a gateway, all at the same time, and asserts the bounds.
func runCrowds(t *testing.T, crowds ...crowd) {
	g := startGateway(t)
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	var callers, parked sync.WaitGroup
	for _, c := range crowds {
		for i := range c.callers {
			parked.Add(1)
			callers.Go(func() { g.misbehave(ctx, i, c.abuse, sync.OnceFunc(parked.Done)) })
		}
	}
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		for ctx.Err() == nil {
			g.sample()
			time.Sleep(sampleTime)
		}
	}()
	started := time.Now()
	parked.Wait()
	time.Sleep(pressureTime - time.Since(started))
	g.sample()
	leave()
	close(g.release)
	callers.Wait()
	<-sampled
	g.requireBounds()
}

// misbehave repeats an abuse until the crowd leaves. Callers have several addresses.
func (g *gateway) misbehave(ctx context.Context, i int, a abuse, parked func()) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(200+i%callerAddrs))}, Timeout: time.Second}
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp", g.addr)
		if err == nil {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			a(ctx, conn, parked)
			stop()
			_ = conn.Close() // the gateway or the end of the crowd may have closed it
		}
		parked() // the gateway has ended the first connection
		pause(ctx, redialPause)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// awaitEnd returns when the gateway has answered or ended the connection.
func awaitEnd(conn net.Conn) { _, _ = conn.Read(make([]byte, 1)) }

// readAnswer returns the status of a whole answer, or 0.
func readAnswer(conn net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

func sendWhole(_ context.Context, conn net.Conn, parked func()) {
	if _, err := conn.Write(callerRequest("/hold/", strings.Repeat("x", maxBodyBytes))); err == nil {
		parked()
		awaitEnd(conn)
	}
}

func sendAllButEnd(_ context.Context, conn net.Conn, parked func()) {
	request := callerRequest("/hold/", strings.Repeat("x", maxBodyBytes))
	if _, err := conn.Write(request[:len(request)-1]); err == nil {
		parked()
		awaitEnd(conn)
	}
}

func sendChunks(_ context.Context, conn net.Conn, parked func()) {
	head, _, _ := bytes.Cut(callerRequest("/hold/", ""), []byte("Content-Length"))
	if _, err := conn.Write(append(head, "Transfer-Encoding: chunked\r\n\r\n"...)); err != nil {
		return
	}
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", smallChunk, strings.Repeat("x", smallChunk))
	for range maxBodyBytes / smallChunk {
		if _, err := conn.Write(chunk); err != nil {
			return
		}
	}
	if _, err := io.WriteString(conn, "0\r\n\r\n"); err == nil {
		parked()
		awaitEnd(conn)
	}
}

// sendLargeHeader sends a head of 60 KB without its end.
func sendLargeHeader(_ context.Context, conn net.Conn, parked func()) {
	if _, err := io.WriteString(conn, "GET /short/ HTTP/1.1\r\nHost: "+callerHost+"\r\nX-Large: "+strings.Repeat("x", 60<<10)); err == nil {
		parked()
		awaitEnd(conn)
	}
}

// sendManyFields sends a request whose head has about 3,000 fields and is 200 bytes shorter than the limit.
func sendManyFields(_ context.Context, conn net.Conn, parked func()) {
	head := callerRequest("/hold/", "")
	head = head[:len(head)-len("\r\n")]
	for i := 0; len(head) < maxHeadBytes-200; i++ {
		head = fmt.Appendf(head, "%x:\r\n", i)
	}
	if _, err := conn.Write(append(head, "\r\n"...)); err == nil {
		parked()
		awaitEnd(conn)
	}
}

func sendEndlessHeaders(ctx context.Context, conn net.Conn, parked func()) {
	_, err := io.WriteString(conn, "GET /short/ HTTP/1.1\r\nHost: "+callerHost+"\r\n")
	for i := 0; err == nil; i++ {
		_, err = fmt.Fprintf(conn, "X-%d: %s\r\n", i, strings.Repeat("x", smallChunk))
		parked()
		pause(ctx, dribblePause)
	}
}

func sendEmptyLines(_ context.Context, conn net.Conn, parked func()) {
	lines := []byte(strings.Repeat("\r\n", smallChunk/2))
	for {
		if _, err := conn.Write(lines); err != nil {
			return
		}
		parked()
	}
}

// readSlowly asks for a long answer and reads a few bytes of it now and then.
func readSlowly(ctx context.Context, conn net.Conn, parked func()) {
	readPathSlowly(ctx, conn, "/long/", parked)
}

func readStreamSlowly(ctx context.Context, conn net.Conn, parked func()) {
	readPathSlowly(ctx, conn, "/stream/", parked)
}

func readPathSlowly(ctx context.Context, conn net.Conn, path string, parked func()) {
	_ = conn.(*net.TCPConn).SetReadBuffer(smallChunk) // a larger buffer only takes bytes off the gateway
	_, err := conn.Write(callerRequest(path, ""))
	for buf := make([]byte, 16); err == nil; pause(ctx, dribblePause) {
		_, err = conn.Read(buf)
		parked()
	}
}
