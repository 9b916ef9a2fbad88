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

// Waits of the tests. They only bound a failing test; a passing one ends earlier.
const (
	readyWait = 30 * time.Second
	stopWait  = 30 * time.Second
	pollEvery = 20 * time.Millisecond
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

// binaries is where TestMain puts the programs.
var binaries string

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
	binaries = dir
	return m.Run()
}

func hexSHA256(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

// process is one program of the fleet; it can be started again with the same arguments.
type process struct {
	t    *testing.T
	name string
	args []string

	mu  sync.Mutex
	cmd *exec.Cmd
	log bytes.Buffer // of all runs
	end chan error
}

// Write collects the log of the process.
func (p *process) Write(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(data)
}

func (p *process) start() {
	p.t.Helper()
	p.cmd = exec.Command(filepath.Join(binaries, p.args[0]), p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = p, p
	// The kernel ends the process with the test process, so that a crash of the tests leaves none behind.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(p.t, p.cmd.Start())
	end := make(chan error, 1)
	cmd := p.cmd
	go func() { end <- cmd.Wait() }()
	p.end = end
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	require.NoError(p.t, p.cmd.Process.Signal(s), p.name)
}

// wait returns how the process ended.
func (p *process) wait(limit time.Duration) error {
	p.t.Helper()
	select {
	case err := <-p.end:
		p.end = nil
		return err
	case <-time.After(limit):
		require.FailNow(p.t, "process did not end", p.name)
		return nil
	}
}

func (p *process) kill() {
	p.t.Helper()
	p.signal(syscall.SIGKILL)
	_ = p.wait(stopWait) // a killed process reports the signal
}

// cleanup kills the process if it still runs, and shows its log if the test failed.
func (p *process) cleanup() {
	if p.end != nil {
		_ = p.cmd.Process.Kill() // it may have ended by itself
		<-p.end
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
	t        *testing.T
	standin  string // base URL
	entries  []*process
	agents   map[string]*process // by endpoint
	callers  []string            // base URLs of the entries
	internal map[string]string   // internal address by node
	client   *http.Client
	prefix   string // of the idempotency keys
	ip       string
}

type fleetOptions struct {
	ip        string // of all listeners; empty: a new one
	tls       func(node string) settings.TLS
	advertise func(node, addr string) string // address that others use for a node; nil: its own
}

// startFleet starts two entries, four engines and two plain services with an agent each, and waits until all answer.
func startFleet(t *testing.T, o fleetOptions) *fleet {
	t.Helper()
	f := &fleet{t: t, agents: make(map[string]*process), internal: make(map[string]string), client: newClient(t)}
	if f.ip = o.ip; f.ip == "" {
		f.ip = fleetIP()
	}
	f.prefix = strings.ReplaceAll(t.Name(), "/", "-")
	addrs := freeAddrs(t, f.ip, 1+2*2+len(engines)+len(services))
	next := func() string {
		addr := addrs[0]
		addrs = addrs[1:]
		return addr
	}
	text := filepath.Join(t.TempDir(), "fleet.yaml")
	require.NoError(t, os.WriteFile(text, fmt.Appendf(nil, fleetText, hexSHA256(callerKey)), 0o600))
	addr := next()
	f.standin = "http://" + addr
	f.process("stand-ins", "bilberry-dev", "--only-standins", "--text", text, "--standin-listen", addr, "--engines", "4",
		"--time-scale", timeScale).start()
	f.await("stand-ins", f.standin+"/healthz", http.StatusOK)
	seeds := []string{next(), next()}
	for i := range seeds {
		callers := next()
		f.callers = append(f.callers, "http://"+callers)
		name := fmt.Sprintf("entry-%d", i+1)
		args := f.node(o, name, seeds[i], i, cloud.RoleEntry)
		args = append(args, "--seeds", strings.Join(seeds, ","), "--listen", callers, "--balancer-lag", "500ms",
			"--operator-token-hash", hexSHA256(operatorToken))
		f.entries = append(f.entries, f.process(name, "bilberry-entry", args...))
	}
	for i, name := range slices.Concat(engines, services) {
		kind, path := "model", standin.PathEngine
		if i >= len(engines) {
			kind, path = "plain", standin.PathService
		}
		args := f.node(o, "agent-"+name, next(), i, cloud.RoleAgent)
		args = append(args, "--seeds", strings.Join(seeds, ","), "--endpoint", name, "--endpoint-kind", kind,
			"--endpoint-url", f.standin+path+name)
		f.agents[name] = f.process("agent-"+name, "bilberry-agent", args...)
	}
	for _, p := range f.entries {
		p.start()
	}
	for _, p := range f.agents {
		p.start()
	}
	f.submit(text)
	f.awaitServing()
	return f
}

// process prepares a process that is cleaned up with the test.
func (f *fleet) process(name, program string, args ...string) *process {
	p := &process{t: f.t, name: name, args: append([]string{program}, args...)}
	f.t.Cleanup(p.cleanup)
	return p
}

// node lists a VM and returns the settings that entries and agents share.
func (f *fleet) node(o fleetOptions, name, addr string, i int, role cloud.VMRole) []string {
	advertised := addr
	if o.advertise != nil {
		advertised = o.advertise(name, addr)
	}
	f.internal[name] = addr
	domain := domains[i%len(domains)]
	body, err := json.Marshal(cloudhttp.VMListResponse{VMs: []cloud.VM{{Name: name, Addr: advertised, FailureDomain: domain,
		State: cloud.VMLive, Role: role}}})
	require.NoError(f.t, err)
	f.put(standin.PathVM, string(body))
	args := []string{"--name", name, "--failure-domain", domain, "--listen-internal", addr,
		"--advertise", advertised, "--platform-url", f.standin}
	if o.tls != nil {
		files := o.tls(name)
		args = append(args, "--tls-cert", files.CertFile, "--tls-key", files.KeyFile, "--tls-ca", files.CAFile)
	}
	return args
}

func (f *fleet) submit(text string) {
	data, err := os.ReadFile(text)
	require.NoError(f.t, err)
	f.eventually("acceptance of the text", func() bool {
		req, err := http.NewRequest(http.MethodPut, f.callers[0]+"/v1/fleet", bytes.NewReader(data))
		require.NoError(f.t, err)
		req.Header.Set("Authorization", "Bearer "+operatorToken)
		req.Header.Set("If-Match", `"0"`)
		status, _ := f.do(req)
		return status == http.StatusOK || status == http.StatusPreconditionFailed // an earlier answer was lost
	})
}

// awaitServing waits until the entries are ready and every engine answers chats.
func (f *fleet) awaitServing() {
	for _, url := range f.callers {
		f.await("entry", url+"/readyz", http.StatusOK)
	}
	for _, name := range engines {
		f.awaitLoaded(name)
	}
	for i := range f.callers {
		f.eventually("first order", func() bool { return f.call(i, http.MethodGet, "/stock/hose", "").Outcome == load.OutcomeOK })
		f.eventually("first chat", func() bool { return f.chat(i, "Hello", 4).Outcome == load.OutcomeOK })
	}
}

func (f *fleet) awaitLoaded(engine string) {
	f.eventually("weights of "+engine, func() bool {
		status, body := f.get(f.standin + standin.PathEngine + engine + "/v1/report")
		return status == http.StatusOK && strings.Contains(body, `"small"`)
	})
}

func (f *fleet) await(what, url string, status int) {
	f.t.Helper()
	f.eventually(what, func() bool {
		got, _ := f.get(url)
		return got == status
	})
}

func (f *fleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(readyWait); !ok(); time.Sleep(pollEvery) {
		if time.Now().After(deadline) {
			require.FailNow(f.t, "not in time: "+what)
		}
	}
}

// do returns status 0 without an answer.
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
	req, err := http.NewRequest(http.MethodPut, f.standin+path, strings.NewReader(body))
	require.NoError(f.t, err)
	status, answer := f.do(req)
	require.Less(f.t, status, 300, answer)
	require.NotZero(f.t, status)
}

func (f *fleet) faults(body string) { f.t.Helper(); f.put(standin.PathFaults, body) }

// counts returns what the endpoints executed.
func (f *fleet) counts() standin.Counts {
	f.t.Helper()
	var counts standin.Counts
	status, body := f.get(f.standin + standin.PathCounters)
	require.Equal(f.t, http.StatusOK, status)
	require.NoError(f.t, json.Unmarshal([]byte(body), &counts))
	return counts
}

// resumes returns how many streams the entries resumed.
func (f *fleet) resumes() (total float64) {
	f.t.Helper()
	for _, url := range f.callers {
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

// executions returns how often each key ran.
func (f *fleet) executions() map[string]int {
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

// fleets numbers the fleets of this test process.
var fleets atomic.Int32

// fleetIP returns a loopback address of its own for a fleet. Connections that other tests open have 127.0.0.1 as their
// source, so they cannot take a port between its reservation and the start, or the restart, of the process.
func fleetIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>8%254, pid&255, fleets.Add(1))
}

// firstPort is below the range from which the kernel takes ports for other listeners and connections.
const firstPort = 21_000

// freeAddrs returns distinct free addresses of an address that belongs to one fleet.
func freeAddrs(t *testing.T, ip string, n int) []string {
	t.Helper()
	var addrs []string
	for port := firstPort; len(addrs) < n; port++ {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			require.Less(t, port, 2*firstPort, err)
			continue // somebody listens on this port of all addresses
		}
		require.NoError(t, l.Close())
		addrs = append(addrs, l.Addr().String())
	}
	return addrs
}
