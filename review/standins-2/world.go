package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// gatewayProgram is the program of the deploy file, which is started in the root of the repository.
const gatewayProgram = "target/bilberry-gateway"

// settingsVariable holds the path of the settings file of a process.
const settingsVariable = "BILBERRYLINK_NODE_FILE"

// Figures of a small deployment (the page with the settings of a process).
const (
	contactMs = 3000
	freeMs    = 4000
	graceS    = 8
	memoryMb  = 284
	maxFds    = 4200
	startTime = 15 * time.Second
)

// world is what a case runs in: a temporary folder, addresses, the store and the gateways.
type world struct {
	dir      string
	basePort int
	store    *store
	began    time.Time

	mu       sync.Mutex
	record   io.Writer
	gateways []*gateway
	closers  []io.Closer
	ids      atomic.Int64

	starting sync.Mutex // held while a process is started again
	closed   bool
}

const portsPerGateway = 6

func newWorld(record io.Writer) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, record: record, began: time.Now(), store: newStore()}
	if w.basePort, err = freePorts(); err != nil {
		return nil, err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		w.close()
		os.Exit(exitCannot)
	}()
	return w, nil
}

// maxGateways is the number of addresses for which ports are looked for.
const maxGateways = 8

func gatewayIP(i int) string { return fmt.Sprintf("127.0.41.%d", i+1) }

// freePorts returns the first of some consecutive ports that are free at the addresses of all gateways: ports are the same on all machines.
func freePorts() (int, error) {
	const tries = 50
	for range tries {
		base := 20000 + rand.IntN(1000)*10
		if portsAreFree(base) {
			return base, nil
		}
	}
	return 0, fmt.Errorf("%w: no free ports", errCannotRun)
}

func portsAreFree(base int) bool {
	for i := range maxGateways {
		for p := range portsPerGateway {
			l, err := net.Listen("tcp", net.JoinHostPort(gatewayIP(i), strconv.Itoa(base+p)))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// note adds a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// say is note, and prints the line, too.
func (w *world) say(format string, args ...any) {
	w.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// newID returns the ID of a new requester attempt.
func (w *world) newID() string { return fmt.Sprintf("%016x", 0x1c41d07be2000000+w.ids.Add(1)) }

// onClose has something closed at the end.
func (w *world) onClose(c io.Closer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closers = append(w.closers, c)
}

// close ends all processes and listeners.
func (w *world) close() {
	w.starting.Lock()
	w.closed = true
	w.starting.Unlock()
	w.mu.Lock()
	gateways, closers := w.gateways, w.closers
	w.gateways, w.closers = nil, nil
	w.mu.Unlock()
	for _, g := range gateways {
		g.kill()
	}
	for _, c := range closers {
		_ = c.Close()
	}
	_ = os.RemoveAll(w.dir)
}

// gateway is a gateway process on a machine of its own, which is a loopback address.
type gateway struct {
	world *world
	name  string
	ip    string
	store *storeAccess
	index int

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
	memory int64 // highest resident memory in bytes, as sampled
}

func (w *world) addrOf(i, port int) string {
	return net.JoinHostPort(gatewayIP(i), strconv.Itoa(w.basePort+port))
}

// addGateway writes the settings of machine i of a fleet whose seeds are the first three machines, and starts its process.
func (w *world) addGateway(i, seeds int, zone string) (*gateway, error) {
	access, err := w.store.listen(w)
	if err != nil {
		return nil, err
	}
	g := &gateway{world: w, name: fmt.Sprintf("edge-%s-%d", zone, i+1), ip: gatewayIP(i), store: access, index: i}
	var seedList strings.Builder
	for s := range seeds {
		fmt.Fprintf(&seedList, "  - %q\n", w.addrOf(s, 2))
	}
	settings := fmt.Sprintf(`NodeName: %q
Role: "gateway"
MachineClass: "edge"
Serves:
  - "edge"
Ip: %q
Zone: %q
Region: "alfold"
Listen:
  Front: %q
  Ready: %q
  Control: %q
PortRange:
  - %d
  - %d
SeedNodes:
%sBootstrap: true
Limits:
  CpuShare: 0.304
  CpuCores: 1
  MemoryMb: %d
  MaxFds: %d
  LinkMbps: 1000.0
  DiskMb: 0
HeartbeatMs: 1200
Bounds:
  ContactMs: %d
  DrainMs: 2000
  GraceS: %d
  ConfigApplyMs: 2000
  RetryRatio: 0.2
  BudgetWindowS: 10
  RetrySlack: 102
  stall_ms: 1500
  HoldMaxMs: 20000
  FreeMs: %d
  IdleMaxMs: 9000
Provider:
  Address: %q
  form: "table"
  WritesPerS: 400
  ReadsPerS: 2000
`, g.name, g.ip, zone, w.addrOf(i, 0), w.addrOf(i, 1), w.addrOf(i, 2), w.basePort+3, w.basePort+portsPerGateway-1, seedList.String(),
		memoryMb, maxFds, contactMs, graceS, freeMs, access.addr)
	path := filepath.Join(w.dir, g.name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	if err := g.start(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.gateways = append(w.gateways, g)
	w.mu.Unlock()
	return g, nil
}

// start starts the process of the gateway.
func (g *gateway) start() error {
	settings := filepath.Join(g.world.dir, g.name+".yaml")
	log, err := os.Create(filepath.Join(g.world.dir, g.name+".log"))
	if err != nil {
		return err
	}
	g.world.onClose(log)
	g.cmd = exec.Command(gatewayProgram)
	g.cmd.Env = []string{settingsVariable + "=" + settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	g.ended = make(chan struct{})
	if err := g.cmd.Start(); err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	g.world.note("%s starts at %s", g.name, g.world.addrOf(g.index, 0))
	go func(cmd *exec.Cmd, ended chan struct{}) {
		err := cmd.Wait()
		g.world.note("%s has ended: %v", g.name, err)
		close(ended)
	}(g.cmd, g.ended)
	return nil
}

// front returns the address for requesters.
func (g *gateway) front() string { return net.JoinHostPort(g.ip, strconv.Itoa(g.world.basePort)) }

// isReady asks the readiness check as the platform does.
func (g *gateway) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + net.JoinHostPort(g.ip, strconv.Itoa(g.world.basePort+1)) + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the gateway says that it is ready.
func (g *gateway) awaitReady() error {
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.isReady() {
			g.world.note("%s is ready", g.name)
			return nil
		}
		if g.hasEnded() {
			break
		}
	}
	return fmt.Errorf("%w: %s does not get ready", errCannotRun, g.name)
}

func (g *gateway) hasEnded() bool {
	select {
	case <-g.ended:
		return true
	default:
		return false
	}
}

// restart starts the process again after its end, unless the case has ended.
func (g *gateway) restart() error {
	g.world.starting.Lock()
	defer g.world.starting.Unlock()
	if g.world.closed {
		return errCannotRun
	}
	return g.start()
}

func (g *gateway) signal(s syscall.Signal) {
	g.world.note("%s gets %v", g.name, s)
	_ = g.cmd.Process.Signal(s) // fails only if the process has ended
}

// kill ends the process and waits for its end.
func (g *gateway) kill() {
	_ = g.cmd.Process.Kill() // as above
	<-g.ended
}

// enforceMemory kills the process when its resident memory exceeds that of the machine, as the platform does.
func (g *gateway) enforceMemory() {
	for !g.hasEnded() {
		held := residentBytes(g.cmd.Process.Pid)
		g.mu.Lock()
		g.memory = max(g.memory, held)
		g.mu.Unlock()
		if held > memoryMb<<20 {
			g.world.note("%s holds %d MB, more than the %d MB of its machine, and is killed by the platform", g.name, held>>20, memoryMb)
			g.kill()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// highestMemory returns the highest resident memory that was seen, in MB.
func (g *gateway) highestMemory() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.memory >> 20
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0 // the process has ended
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}
