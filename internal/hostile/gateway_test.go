// Package hostile has tests of a gateway process before callers that its operator does not control. Each test starts the real process and
// asserts only what does not depend on the speed of the machine.
package hostile

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/platform/platformtest"
)

// The machine that the settings file states. Its memory is below that of the smallest VM, so that few callers suffice.
const (
	memoryMb      = 96
	maxFds        = 600
	reservedFiles = 200 // descriptors that the platform reserves for files
)

const (
	gatewayIP     = "127.0.0.95"
	callerHost    = "h.example"
	apiKey        = "key"
	attemptID     = "a" // of all requests
	callerTimeout = time.Minute
	startTimeout  = 30 * time.Second
	answerTimeout = time.Minute // for the ordinary request; a failure, not a bound on the time to answer
	maxBodyBytes  = 4 << 20
	maxHeadBytes  = 16 << 10
	longAnswer    = 7 << 20
	eventBytes    = 200_000 // of a stream
	sampleTime    = 20 * time.Millisecond
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "hostile")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "bilberry-gateway")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/bilberry-gateway").CombinedOutput()
	if err != nil {
		panic(string(out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir) // a temporary directory
	os.Exit(code)
}

// gateway is a gateway process with one endpoint. Requests to /hold/ are answered when the crowd has left, those to /long/ at length and those to
// /stream/ and /endless without end.
type gateway struct {
	t       *testing.T
	addr    string
	backend string // address of the endpoint
	cmd     *exec.Cmd
	ended   chan struct{}
	release chan struct{} // closed when the crowd has left

	mu        sync.Mutex
	memory    int64 // highest sum of resident memory and unread bytes
	openFiles int   // highest number
}

func startGateway(t *testing.T) *gateway {
	g := &gateway{t: t, ended: make(chan struct{}), release: make(chan struct{})}
	endpoint := httptest.NewServer(http.HandlerFunc(g.answer))
	t.Cleanup(endpoint.Close)
	g.backend = endpoint.Listener.Addr().String()
	store := platformtest.NewStore()
	route := func(kind, prefix string) platformtest.Route {
		return platformtest.Route{Host: callerHost, Prefix: prefix, Kind: kind, Service: "shop", Attempts: 1, Timeout: callerTimeout}
	}
	store.SetConfig(platformtest.Config{Epoch: 1, Services: []string{"shop"}, APIKeys: []string{apiKey},
		Routes: []platformtest.Route{route("idempotent", "/hold/"), route("idempotent", "/long/"), route("idempotent", "/short/"),
			route("idempotent", "/endless/"), route("streaming", "/endless-stream/"), route("streaming", "/stream/")},
		Limits: platformtest.Limits{MaxHeaderBytes: maxHeadBytes, MaxBodyBytes: maxBodyBytes, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}.Encode())
	store.SetEndpoint("i-1", platformtest.Endpoint{Service: "shop", Addr: g.backend, StartedAt: time.Now()})
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	first, err := platformtest.FreePorts(gatewayIP, 24000, 4)
	require.NoError(t, err)
	addr := func(i int) string { return net.JoinHostPort(gatewayIP, strconv.Itoa(first+i)) }
	g.addr = addr(0)
	settings := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(settings, platformtest.GatewaySettings{Name: "g", Zone: "z", IP: gatewayIP, CallerAddr: g.addr,
		ReadinessAddr: addr(1), FirstPort: strconv.Itoa(first + 2), LastPort: strconv.Itoa(first + 3), GracePeriod: time.Second,
		StoreAddr: storeServer.Listener.Addr().String(), MemoryMb: memoryMb, MaxFds: maxFds}.Encode(), 0o600))
	g.cmd = exec.Command(binary, "--settings", settings)
	require.NoError(t, g.cmd.Start())
	go func() {
		_ = g.cmd.Wait() // an end before the cleanup is found by requireBounds
		close(g.ended)
	}()
	t.Cleanup(func() {
		_ = g.cmd.Process.Kill() // it may have ended
		<-g.ended
	})
	require.Eventually(t, func() bool { return g.request("/short/", "") == http.StatusOK }, startTimeout, 50*time.Millisecond)
	return g
}

// answer answers a request as the endpoint.
func (g *gateway) answer(w http.ResponseWriter, req *http.Request) {
	_, _ = io.Copy(io.Discard, req.Body) // fails only if the gateway has disconnected
	size := 2
	switch {
	case strings.HasPrefix(req.URL.Path, "/endless"):
		writeEndlessly(w, req)
		return
	case strings.HasPrefix(req.URL.Path, "/hold/"):
		select {
		case <-g.release:
		case <-req.Context().Done():
		}
	case strings.HasPrefix(req.URL.Path, "/long/"):
		size = longAnswer
	}
	platformtest.EndpointHandler(func(string) string { return strings.Repeat("x", size) }).ServeHTTP(w, req)
	for i := 0; strings.HasPrefix(req.URL.Path, "/stream/"); i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", eventBytes)); err != nil {
			return
		}
	}
}

// request sends an ordinary request and returns the status of its whole answer, or 0.
func (g *gateway) request(path, body string) int {
	conn, err := net.Dial("tcp", g.addr)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(callerTimeout)) // fails only on a closed connection
	if _, err := conn.Write(callerRequest(path, body)); err != nil {
		return 0
	}
	return readAnswer(conn)
}

func callerRequest(path, body string) []byte {
	return platformtest.CallerRequest{Method: http.MethodPost, Path: path, Host: callerHost, AttemptID: attemptID, APIKey: apiKey,
		Timeout: callerTimeout, Body: body}.Encode()
}

// sample records what the process holds.
func (g *gateway) sample() {
	dir := fmt.Sprintf("/proc/%d", g.cmd.Process.Pid)
	files, _ := os.ReadDir(dir + "/fd") // an ended process has none, and is found by requireBounds
	held := max(procKilobytes(dir+"/status", "VmHWM:"), procKilobytes(dir+"/status", "VmRSS:")+g.unreadBytes())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.memory, g.openFiles = max(g.memory, held), max(g.openFiles, len(files))
}

// procKilobytes returns a figure of a process in bytes.
func procKilobytes(path, name string) int64 {
	status, _ := os.ReadFile(path) // as above
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == name {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// unreadBytes returns what the kernel has received for the process from callers and the endpoint and the process has not read.
func (g *gateway) unreadBytes() (total int64) {
	const localField, remoteField, stateField, queueField, listening = 1, 2, 3, 4, "0A"
	callers, endpoint := procAddr(g.addr), procAddr(g.backend)
	table, err := os.ReadFile("/proc/net/tcp")
	require.NoError(g.t, err)
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) <= queueField || fields[localField] != callers && fields[remoteField] != endpoint || fields[stateField] == listening {
			continue
		}
		_, unread, _ := strings.Cut(fields[queueField], ":")
		n, _ := strconv.ParseInt(unread, 16, 64)
		total += n
	}
	return total
}

// procAddr returns an address as the table of connections has it.
func procAddr(addr string) string {
	host, port, _ := net.SplitHostPort(addr) // of a listener
	ip := net.ParseIP(host).To4()
	portNumber, _ := strconv.Atoi(port) // as above
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], portNumber)
}

// requireBounds fails the test if the process has ended or exceeds its machine, or if it does not answer an ordinary request.
func (g *gateway) requireBounds() {
	g.t.Logf("highest: %d of %d MB, %d of %d descriptors", g.memory>>20, memoryMb, g.openFiles, maxFds-reservedFiles)
	select {
	case <-g.ended:
		g.t.Fatal("the process has ended: ", g.cmd.ProcessState)
	default:
	}
	require.Eventually(g.t, func() bool { return g.request("/short/", "x") == http.StatusOK }, answerTimeout, 100*time.Millisecond)
	require.LessOrEqual(g.t, g.memory, int64(memoryMb<<20), "memory in bytes")
	require.LessOrEqual(g.t, g.openFiles, maxFds-reservedFiles, "open descriptors")
}
