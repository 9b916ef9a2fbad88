package main

import (
	"net"
	"sync"
)

// proxy forwards TCP connections to a server. It can make the connections that are open fall silent, without a reset, while new ones work.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	pairs map[*pair]struct{}
}

// pair is a forwarded connection.
type pair struct {
	client, server net.Conn

	mu     sync.Mutex
	silent bool
}

func newProxy(target string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: ln, target: target, pairs: make(map[*pair]struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		c := &pair{client: client, server: server}
		p.mu.Lock()
		p.pairs[c] = struct{}{}
		p.mu.Unlock()
		go p.forward(c, client, server)
		go p.forward(c, server, client)
	}
}

// forward copies what one side sends to the other. The connections of a silent pair stay open, and nothing passes.
func (p *proxy) forward(c *pair, from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if c.isSilent() {
			return
		}
		if err == nil {
			_, err = to.Write(buf[:n])
		}
		if err != nil {
			p.mu.Lock()
			delete(p.pairs, c)
			p.mu.Unlock()
			_ = c.client.Close()
			_ = c.server.Close()
			return
		}
	}
}

func (c *pair) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// silence makes all open connections fall silent for good, and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
	return len(p.pairs)
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		_ = c.client.Close()
		_ = c.server.Close()
	}
}
