package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/bilberrylink/bilberrylink/platform/platformtest"
)

// graceTime is the time from SIGTERM until a process must have ended.
const graceTime = 8 * time.Second

// gateway is a gateway process at fixed addresses. It outlives the incarnations of its process.
type gateway struct {
	world      *world
	name       string
	ip         string
	callerAddr string
	settings   string // path
	log        *os.File

	mu        sync.Mutex
	cmd       *exec.Cmd
	ended     chan struct{}
	expected  bool        // the end of the process is expected
	disturbed []time.Time // kills, pauses and starts
}

// zone is the failure domain of all gateways and endpoints.
const zone = "z"

// gatewayIP returns the loopback address of a gateway.
func gatewayIP(i int) string { return fmt.Sprintf("127.0.0.%d", 11+i) }

func newGateway(w *world, i int) (*gateway, error) {
	g := &gateway{world: w, name: fmt.Sprintf("gateway-%d", i), ip: gatewayIP(i)}
	g.callerAddr = net.JoinHostPort(g.ip, w.port(0))
	g.settings = filepath.Join(w.dir, g.name+".yaml")
	text := platformtest.GatewaySettings{Name: g.name, Zone: zone, IP: g.ip, CallerAddr: g.callerAddr,
		ReadinessAddr: net.JoinHostPort(g.ip, w.port(1)), FirstPort: w.port(2), LastPort: w.port(3),
		SeedIPs: []string{gatewayIP(0), gatewayIP(1)}, GracePeriod: graceTime, StoreAddr: w.storeAddr}.Encode()
	if err := os.WriteFile(g.settings, text, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(w.dir, g.name+".log"))
	g.log = log
	return g, err
}

func (g *gateway) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cmd = exec.Command(g.world.binary, "--settings", g.settings)
	g.cmd.Stdout, g.cmd.Stderr = g.log, g.log
	g.ended, g.expected = make(chan struct{}), false
	g.noteDisturbance()
	if err := g.cmd.Start(); err != nil {
		return err
	}
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait() // how it ended is judged by whether it was expected
		g.mu.Lock()
		expected := g.expected
		g.mu.Unlock()
		if !expected {
			g.world.checker.violate("%s ended by itself", g.name)
		}
		close(ended)
	}(g.cmd, g.ended)
	return nil
}

// noteDisturbance records a disturbance of the process. g.mu must be held.
func (g *gateway) noteDisturbance() { g.disturbed = append(g.disturbed, time.Now()) }

// wasDisturbed reports whether the process was disturbed after shortly before a time.
func (g *gateway) wasDisturbed(since time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(g.disturbed, func(at time.Time) bool { return at.After(since.Add(-contactTime)) })
}

func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noteDisturbance()
	_ = g.cmd.Process.Signal(s) // fails only if the process has ended, which is noticed elsewhere
}

// end ends the process by a signal, and kills it after its grace period. It reports whether it ended in time.
func (g *gateway) end(s syscall.Signal) bool {
	g.mu.Lock()
	g.expected = true
	ended := g.ended
	g.mu.Unlock()
	g.signal(s)
	select {
	case <-ended:
		return true
	case <-time.After(graceTime):
		g.signal(syscall.SIGKILL)
		<-ended
		return false
	}
}
