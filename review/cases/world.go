package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/bilberrylink/bilberrylink/platform/platformtest"
)

// Bounds of the deployment szucs-tomlo.
const (
	contactTime     = 3 * time.Second // ContactMs
	configApplyTime = 2 * time.Second // ConfigApplyMs
	graceTime       = 8 * time.Second // GraceS
)

const routeHost = "review.example"

// world holds the platform's store, the workers and the gateway processes of one case.
type world struct {
	dir      string
	base     int // first of the ports that all gateways use
	store    *platformtest.Store
	proxy    *proxy // between the gateways and the store
	gateways []*gateway
	record   *record
	closers  []func()

	configPolls chan time.Duration // waits of the long polls of the configuration, as they begin; unread ones are dropped
}

// newWorld starts the store and the proxy before it.
func newWorld(r *record) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, store: platformtest.NewStore(), record: r, configPolls: make(chan time.Duration)}
	w.closers = append(w.closers, func() { _ = os.RemoveAll(dir) })
	if w.base, err = freePorts(); err != nil {
		return w, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return w, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		w.notePoll(req)
		w.store.ServeHTTP(withoutEra{rw}, req)
		rw.Header().Del("Store-Era") // of a response without a body
	}), BaseContext: func(net.Listener) context.Context { return ctx }}
	go func() { _ = server.Serve(ln) }()
	w.closers = append(w.closers, func() { cancel(); _ = server.Close() })
	w.proxy, err = newProxy(ln.Addr().String())
	return w, err
}

// notePoll reports a long poll of the configuration.
func (w *world) notePoll(req *http.Request) {
	query := req.URL.Query()
	ms, err := strconv.Atoi(query.Get("WaitMs"))
	if err != nil || query.Get("Table") != "op" {
		return
	}
	select {
	case w.configPolls <- time.Duration(ms) * time.Millisecond:
	default:
	}
}

// withoutEra drops the header with which the stand-in numbers its restored copies: the pages name none.
type withoutEra struct{ http.ResponseWriter }

func (w withoutEra) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

func (w withoutEra) Write(p []byte) (int, error) {
	w.Header().Del("Store-Era")
	return w.ResponseWriter.Write(p)
}

// freePorts returns the first of four consecutive ports that are free at the addresses of the gateways.
func freePorts() (int, error) {
	for range 50 {
		base := 20000 + rand.IntN(10000)
		if portsFree(base) {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

func portsFree(base int) bool {
	for i := range 4 {
		for g := range 4 {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", gatewayIP(g), base+i))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

func gatewayIP(i int) string { return fmt.Sprintf("127.0.0.%d", 31+i) }

// close ends all processes and servers of the case.
func (w *world) close() {
	for _, g := range w.gateways {
		g.kill()
	}
	for i := len(w.closers) - 1; i >= 0; i-- {
		w.closers[i]()
	}
	if w.proxy != nil {
		w.proxy.close()
	}
}

// gateway is a gateway process.
type gateway struct {
	name, frontAddr, readyAddr, settings string
	log                                  *os.File

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// startGateways starts n gateways and waits until they are ready.
func (w *world) startGateways(n int) error {
	zones := []string{"kecskemet", "szeged", "bekes", "kecskemet"}
	for i := range n {
		ip := gatewayIP(i)
		g := &gateway{name: fmt.Sprintf("edge-%d", i+1), frontAddr: fmt.Sprintf("%s:%d", ip, w.base), readyAddr: fmt.Sprintf("%s:%d", ip, w.base+1)}
		g.settings = filepath.Join(w.dir, g.name+".yaml")
		text := platformtest.GatewaySettings{Name: g.name, Zone: zones[i%len(zones)], IP: ip, CallerAddr: g.frontAddr, ReadinessAddr: g.readyAddr,
			FirstPort: fmt.Sprint(w.base + 2), LastPort: fmt.Sprint(w.base + 3), SeedIPs: []string{gatewayIP(0), gatewayIP(1), gatewayIP(2)},
			GracePeriod: graceTime, StoreAddr: w.proxy.addr()}.Encode()
		if err := os.WriteFile(g.settings, text, 0o600); err != nil {
			return err
		}
		var err error
		if g.log, err = os.Create(filepath.Join(w.dir, g.name+".log")); err != nil {
			return err
		}
		if err := g.start(); err != nil {
			return err
		}
		w.gateways = append(w.gateways, g)
		w.record.note("%s started", g.name)
	}
	for _, g := range w.gateways {
		if !g.awaitReady(10 * time.Second) {
			return fmt.Errorf("%s is not ready", g.name)
		}
	}
	return nil
}

func (g *gateway) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	cmd := exec.Command("target/bilberry-gateway")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BILBERRYLINK_NODE_FILE=" + g.settings}
	cmd.Stdout, cmd.Stderr = g.log, g.log
	if err := cmd.Start(); err != nil {
		return err
	}
	g.cmd, g.ended = cmd, make(chan struct{})
	go func(ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(g.ended)
	return nil
}

func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.cmd.Process.Signal(s) // fails only if the process has ended
}

// kill ends the process and waits for that.
func (g *gateway) kill() {
	g.signal(syscall.SIGKILL)
	<-g.ended
}

func (g *gateway) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + g.readyAddr + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (g *gateway) awaitReady(longest time.Duration) bool {
	for end := time.Now().Add(longest); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.isReady() {
			return true
		}
	}
	return false
}
