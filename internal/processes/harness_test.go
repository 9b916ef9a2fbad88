package processes

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/cloud/cloudhttp"
	"github.com/bilberrylink/bilberrylink/internal/load"
	"github.com/bilberrylink/bilberrylink/internal/settings"
	"github.com/bilberrylink/bilberrylink/internal/standin"
)

// Both timeouts are reached only in failing tests.
const (
	readyTimeout = 30 * time.Second
	stopTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

const (
	callerKey     = "caller"
	operatorToken = "operator"
	timeScale     = "4"
)

const fleetText = `
settings: {failure_domains: [north, south, west], blame_ttl: 1m}
services:
  chat: {kind: model, class: interactive, model: small, timeout: 30s, max_timeout: 1m, max_tokens: 512}
  orders:
    kind: plain
    class: urgent
    endpoints: ["order-{01..02}"]
    timeout: 20s
    max_timeout: 30s
    calls:
      - {method: GET, path: /stock/*, idempotent: true}
      - {method: POST, path: /orders}
models:
  small: {version: "1", endpoints: ["model-{01..04}"], max_tokens: 100000, prefill_rate: 20000}
workspaces:
  callers: {key_hashes: [%q]}
`

var (
	domains  = []string{"north", "south", "west"}
	engines  = []string{"model-01", "model-02", "model-03", "model-04"}
	services = []string{"order-01", "order-02"}
)

// binaryDir is the directory in which TestMain builds the programs.
var binaryDir string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "bilberry-processes")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir, "../../cmd/bilberry-dev", "../../cmd/bilberry-entry", "../../cmd/bilberry-agent")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	binaryDir = dir
	return m.Run()
}

func hexSHA256(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

// process is a program of the fleet. It can be started again with the same arguments.
type process struct {
	t    *testing.T
	name string
	args []string

	mu     sync.Mutex
	cmd    *exec.Cmd
	log    bytes.Buffer // output of all its runs
	exited chan error
}

// Write appends to the log of the process.
func (p *process) Write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(data)
}

func (p *process) start() {
	p.t.Helper()
	p.cmd = exec.Command(filepath.Join(binaryDir, p.args[0]), p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = p, p
	// The kernel kills the process when the test process ends, so a crash of the tests leaves no process behind.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(p.t, p.cmd.Start())
	end := make(chan error, 1)
	cmd := p.cmd
	go func() { end <- cmd.Wait() }()
	p.exited = end
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	require.NoError(p.t, p.cmd.Process.Signal(s), p.name)
}

// awaitExit waits for the process to exit and returns the result of its Wait. It fails the test after the limit.
func (p *process) awaitExit(limit time.Duration) error {
	p.t.Helper()
	select {
	case err := <-p.exited:
		p.exited = nil
		return err
	case <-time.After(limit):
		require.FailNow(p.t, "process did not exit", p.name)
		return nil
	}
}

func (p *process) kill() {
	p.t.Helper()
	p.signal(syscall.SIGKILL)
	_ = p.awaitExit(stopTimeout) // the error is always the signal
}

// cleanup kills the process if it still runs, and logs the end of its output if the test failed.
func (p *process) cleanup() {
	if p.exited != nil {
		_ = p.cmd.Process.Kill() // it may have exited already
		<-p.exited
	}
	if p.t.Failed() {
		p.mu.Lock()
		defer p.mu.Unlock()
		data := p.log.Bytes()
		p.t.Logf("log of %s:\n%s", p.name, data[max(0, len(data)-4000):])
	}
}

// fleet is a set of processes on loopback.
type fleet struct {
	t             *testing.T
	standinURL    string // base URL
	entries       []*process
	agents        map[string]*process // by endpoint
	entryURLs     []string            // base URLs of the entries
	internalAddrs map[string]string   // by node name
	client        *http.Client
	keyPrefix     string // of idempotency keys
	ip            string
}

type fleetOptions struct {
	ip        string // address of all listeners; empty: a new loopback address
	tls       func(node string) settings.TLS
	advertise func(node, addr string) string // address to advertise for a node; nil: addr
	entryArgs []string                       // of the entries, in addition
}

// startFleet starts the stand-ins, two entries, and an agent for each of four engines and two plain services. It waits until
// the fleet serves requests.
func startFleet(t *testing.T, o fleetOptions) *fleet {
	t.Helper()
	f := &fleet{t: t, agents: make(map[string]*process), internalAddrs: make(map[string]string), client: newClient(t)}
	if f.ip = o.ip; f.ip == "" {
		f.ip = fleetIP()
	}
	f.keyPrefix = strings.ReplaceAll(t.Name(), "/", "-")
	addrs := freeAddrs(t, f.ip, 1+2*2+len(engines)+len(services))
	nextAddr := func() string {
		addr := addrs[0]
		addrs = addrs[1:]
		return addr
	}
	textFile := filepath.Join(t.TempDir(), "fleet.yaml")
	require.NoError(t, os.WriteFile(textFile, fmt.Appendf(nil, fleetText, hexSHA256(callerKey)), 0o600))
	addr := nextAddr()
	f.standinURL = "http://" + addr
	f.newProcess("stand-ins", "bilberry-dev", "--only-standins", "--text", textFile, "--standin-listen", addr, "--engines", "4",
		"--time-scale", timeScale).start()
	f.awaitStatus("stand-ins", f.standinURL+"/healthz", http.StatusOK)
	seeds := []string{nextAddr(), nextAddr()}
	for i := range seeds {
		listen := nextAddr()
		f.entryURLs = append(f.entryURLs, "http://"+listen)
		name := fmt.Sprintf("entry-%d", i+1)
		args := f.registerNode(o, name, seeds[i], i, cloud.RoleEntry)
		args = append(args, "--seeds", strings.Join(seeds, ","), "--listen", listen, "--balancer-lag", "500ms",
			"--operator-token-hash", hexSHA256(operatorToken))
		args = append(args, o.entryArgs...)
		f.entries = append(f.entries, f.newProcess(name, "bilberry-entry", args...))
	}
	for i, name := range slices.Concat(engines, services) {
		kind, path := "model", standin.PathEngine
		if i >= len(engines) {
			kind, path = "plain", standin.PathService
		}
		args := f.registerNode(o, "agent-"+name, nextAddr(), i, cloud.RoleAgent)
		args = append(args, "--seeds", strings.Join(seeds, ","), "--endpoint", name, "--endpoint-kind", kind,
			"--endpoint-url", f.standinURL+path+name)
		f.agents[name] = f.newProcess("agent-"+name, "bilberry-agent", args...)
	}
	for _, p := range f.entries {
		p.start()
	}
	for _, p := range f.agents {
		p.start()
	}
	f.submitText(textFile)
	f.awaitServing()
	return f
}

// newProcess returns a process that is not started. It is cleaned up at the end of the test.
func (f *fleet) newProcess(name, program string, args ...string) *process {
	p := &process{t: f.t, name: name, args: append([]string{program}, args...)}
	f.t.Cleanup(p.cleanup)
	return p
}

// registerNode adds a node to the VM list and returns the flags that entries and agents have in common.
func (f *fleet) registerNode(o fleetOptions, name, addr string, i int, role cloud.VMRole) []string {
	advertised := addr
	if o.advertise != nil {
		advertised = o.advertise(name, addr)
	}
	f.internalAddrs[name] = addr
	domain := domains[i%len(domains)]
	body, err := json.Marshal(cloudhttp.VMListResponse{VMs: []cloud.VM{{Name: name, Addr: advertised, FailureDomain: domain,
		State: cloud.VMLive, Role: role}}})
	require.NoError(f.t, err)
	f.put(standin.PathVM, string(body))
	args := []string{"--name", name, "--failure-domain", domain, "--listen-internal", addr,
		"--advertise", advertised, "--platform-url", f.standinURL}
	if o.tls != nil {
		files := o.tls(name)
		args = append(args, "--tls-cert", files.CertFile, "--tls-key", files.KeyFile, "--tls-ca", files.CAFile)
	}
	return args
}

// submitText submits the first configuration text.
func (f *fleet) submitText(file string) {
	data, err := os.ReadFile(file)
	require.NoError(f.t, err)
	f.eventually("acceptance of the text", func() bool {
		req, err := http.NewRequest(http.MethodPut, f.entryURLs[0]+"/v1/fleet", bytes.NewReader(data))
		require.NoError(f.t, err)
		req.Header.Set("Authorization", "Bearer "+operatorToken)
		req.Header.Set("If-Match", `"0"`)
		status, _ := f.do(req)
		return status == http.StatusOK || status == http.StatusPreconditionFailed // 412: accepted before, but the response was lost
	})
}

// awaitServing waits until the entries are ready, every engine has loaded its model, and both entries answer calls and chats.
func (f *fleet) awaitServing() {
	for _, url := range f.entryURLs {
		f.awaitStatus("entry", url+"/readyz", http.StatusOK)
	}
	for _, name := range engines {
		f.awaitLoaded(name)
	}
	for i := range f.entryURLs {
		f.eventually("first order", func() bool { return f.call(i, http.MethodGet, "/stock/hose", "").Outcome == load.OutcomeOK })
		f.eventually("first chat", func() bool { return f.chat(i, "Hello", 4).Outcome == load.OutcomeOK })
	}
}

func (f *fleet) awaitLoaded(engine string) {
	f.eventually("weights loaded by "+engine, func() bool {
		status, body := f.get(f.standinURL + standin.PathEngine + engine + "/v1/report")
		return status == http.StatusOK && strings.Contains(body, `"small"`)
	})
}

// awaitStatus waits until a GET of url has the status.
func (f *fleet) awaitStatus(name, url string, status int) {
	f.t.Helper()
	f.eventually(name, func() bool {
		got, _ := f.get(url)
		return got == status
	})
}

func (f *fleet) eventually(name string, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(readyTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			require.FailNow(f.t, "timeout while waiting for: "+name)
		}
	}
}

// do sends a request. The status is 0 if there is no complete response.
func (f *fleet) do(req *http.Request) (status int, body string) {
	resp, err := f.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(data)
}

func (f *fleet) get(url string) (status int, body string) {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	require.NoError(f.t, err)
	return f.do(req)
}

func (f *fleet) put(path, body string) {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodPut, f.standinURL+path, strings.NewReader(body))
	require.NoError(f.t, err)
	status, responseBody := f.do(req)
	require.Less(f.t, status, 300, responseBody)
	require.NotZero(f.t, status)
}

func (f *fleet) setFaults(body string) { f.t.Helper(); f.put(standin.PathFaults, body) }

// counts returns the calls that the endpoints have executed.
func (f *fleet) counts() standin.Counts {
	f.t.Helper()
	var counts standin.Counts
	status, body := f.get(f.standinURL + standin.PathCounters)
	require.Equal(f.t, http.StatusOK, status)
	require.NoError(f.t, json.Unmarshal([]byte(body), &counts))
	return counts
}

// resumeCount returns the number of streams that the entries have resumed.
func (f *fleet) resumeCount() (total float64) {
	f.t.Helper()
	for _, url := range f.entryURLs {
		_, body := f.get(url + "/metrics")
		for line := range strings.Lines(body) {
			if value, ok := strings.CutPrefix(line, "bilberry_entry_resumes_total "); ok {
				n, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
				require.NoError(f.t, err)
				total += n
			}
		}
	}
	return total
}

// executionsByKey returns how often the call of each idempotency key was executed.
func (f *fleet) executionsByKey() map[string]int {
	f.t.Helper()
	byKey := make(map[string]int)
	for _, call := range f.counts().Calls {
		if call.Key != "" {
			byKey[call.Key] += call.Executions
		}
	}
	return byKey
}

func newClient(t *testing.T) *http.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: time.Minute}
}

// fleetCount is the number of fleets that this test process has started.
var fleetCount atomic.Int32

// fleetIP returns a loopback address that only one fleet uses. Other tests connect from 127.0.0.1, so their connections
// cannot occupy a port of the fleet before a process starts or while it restarts.
func fleetIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8%254, pid&255, fleetCount.Add(1))
}

// firstPort is below the kernel's range of ephemeral ports.
const firstPort = 21_000

// freeAddrs returns n distinct free ports on ip, as host:port.
func freeAddrs(t *testing.T, ip string, n int) []string {
	t.Helper()
	var addrs []string
	for port := firstPort; len(addrs) < n; port++ {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			require.Less(t, port, 2*firstPort, err)
			continue // another process listens on this port on all addresses
		}
		require.NoError(t, l.Close())
		addrs = append(addrs, l.Addr().String())
	}
	return addrs
}
