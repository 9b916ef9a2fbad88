package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of a small deployment, as the users' pages give them.
const (
	heartbeat   = 1200 * time.Millisecond
	contactTime = 3 * time.Second // ContactMs
	applyTime   = 2 * time.Second // ConfigApplyMs
	graceTime   = 8 * time.Second // GraceS
	startTime   = 10 * time.Second
)

// world is a small deployment on loopback addresses.
type world struct {
	trouble bool
	program string
	folder  string // temporary
	began   time.Time

	mu       sync.Mutex
	record   *os.File
	closed   bool
	store    *store
	gateways []*gateway
	workers  []*worker
	lastID   int
}

func newWorld(recordPath, program string, trouble bool) (*world, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, program: program, folder: folder, began: time.Now(), record: record}
	w.store, err = newStore()
	return w, err
}

// notef adds a line to the record.
func (w *world) notef(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
	}
}

// nextID returns a number that no other call returns.
func (w *world) nextID() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	return w.lastID
}

// close ends all processes that the case has started.
func (w *world) close() {
	for _, g := range w.gateways {
		g.kill()
	}
	for _, e := range w.workers {
		e.stop()
	}
	w.store.close()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		w.closed = true
		_ = w.record.Close()
		_ = os.RemoveAll(w.folder)
	}
}

// gateway is a gateway process.
type gateway struct {
	world         *world
	name, ip      string
	front, ready  string
	settings, log string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// freePort returns a port from which on a few ports are free at an address.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// startGateways starts a number of gateways, each at a loopback address and in a zone of its own, and waits until they are ready.
func (w *world) startGateways(count int) {
	port, err := freePort("127.0.0.1")
	must(err)
	if port > 65000 {
		port -= 1000
	}
	for i := range count {
		ip := fmt.Sprintf("127.0.0.%d", 11+i)
		w.gateways = append(w.gateways, &gateway{world: w, name: fmt.Sprintf("edge-%d", i+1), ip: ip,
			front: fmt.Sprintf("%s:%d", ip, port), ready: fmt.Sprintf("%s:%d", ip, port+1)})
	}
	for i, g := range w.gateways {
		var seeds []string
		for _, other := range w.gateways[:min(3, count)] {
			seeds = append(seeds, fmt.Sprintf("  - %q\n", fmt.Sprintf("%s:%d", other.ip, port+2)))
		}
		text := fmt.Sprintf(settingsText, g.name, g.ip, zoneOf(i), g.front, g.ready, g.ip, port+2, port+3, port+12, strings.Join(seeds, ""), w.store.addr)
		g.settings = filepath.Join(w.folder, g.name+".yaml")
		g.log = filepath.Join(w.folder, g.name+".log")
		must(os.WriteFile(g.settings, []byte(text), 0o600))
		must(g.start())
	}
	deadline := time.Now().Add(startTime)
	for _, g := range w.gateways {
		for !g.isReady() {
			if time.Now().After(deadline) {
				panic(notRun{fmt.Errorf("%s is not ready", g.name)})
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(contactTime + time.Second) // all are in touch, and know each other
	w.notef("%d gateways are ready", count)
}

func zoneOf(i int) string { return fmt.Sprintf("zone-%d", 1+i%3) }

const settingsText = `NodeName: %q
Role: "gateway"
MachineClass: "edge"
Serves:
  - "edge"
Ip: %q
Zone: %q
Region: "region"
Zones:
  zone-1: "region"
  zone-2: "region"
  zone-3: "region"
Listen:
  Front: %q
  Ready: %q
  Control: "%s:%d"
PortRange:
  - %d
  - %d
SeedNodes:
%sBootstrap: true
Limits:
  CpuShare: 0.304
  CpuCores: 1
  MemoryMb: 284
  MaxFds: 4200
DataDir: null
HeartbeatMs: 1200
Contracts:
  - "base"
  - "drain"
  - "config"
  - "cost"
  - "retry"
  - "recover"
  - "engine"
  - "stream"
  - "tenants"
  - "platform"
  - "spans"
Bounds:
  ContactMs: 3000
  DrainMs: 2000
  GraceS: 8
  LostMs: 200
  ConfigApplyMs: 2000
  DowngradeMs: 250
  RetryRatio: 0.2
  BudgetWindowS: 10
  RetrySlack: 102
Provider:
  Address: %q
  form: "table"
`

func (g *gateway) start() error {
	out, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(g.world.program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + g.world.folder, "LANG=C", "BILBERRYLINK_NODE_FILE=" + g.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.ended = cmd, ended
	g.mu.Unlock()
	g.world.notef("%s starts, process %d", g.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		g.world.notef("%s has ended: %v", g.name, err)
		close(ended)
	}()
	return nil
}

// terminate sends SIGTERM.
func (g *gateway) terminate() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil {
		g.world.notef("SIGTERM to %s", g.name)
		must(g.cmd.Process.Signal(syscall.SIGTERM))
	}
}

// kill ends the process at once.
func (g *gateway) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil {
		_ = g.cmd.Process.Kill()
		<-g.ended
		g.cmd = nil
	}
}

func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + g.ready + "/ready")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// keepLogs copies lines of the gateways' logs that contain one of the texts to the record.
func (w *world) keepLogs(limit int, texts ...string) {
	for _, g := range w.gateways {
		data, err := os.ReadFile(g.log)
		if err != nil {
			continue
		}
		kept := 0
		for _, line := range strings.Split(string(data), "\n") {
			for _, text := range texts {
				if strings.Contains(line, text) && kept < limit {
					w.notef("log of %s: %s", g.name, line)
					kept++
					break
				}
			}
		}
	}
}
