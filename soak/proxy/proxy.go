// Package proxy passes connections on over loopback, and misbehaves as links
// do when it is told to.
package proxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Mode is how a proxy treats connections.
type Mode uint8

// The modes.
const (
	// Pass passes everything on.
	Pass Mode = iota
	// Slow delays what it passes on.
	Slow
	// Reset resets open connections and all new ones.
	Reset
	// DropReplies swallows what comes back.
	DropReplies
	// Blackhole swallows everything and keeps connections open.
	Blackhole
)

// delay is added to each piece by a slow proxy.
const delay = 40 * time.Millisecond

// Proxy stands in front of one address.
type Proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]struct{}
}

// New starts a proxy in front of an address.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: l, conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes the mode. Open connections are reset if it says so.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == Reset {
		for c := range p.conns {
			reset(c)
		}
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.SetMode(Reset)
}

func (p *Proxy) is() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if p.is() == Reset {
			reset(c)
			continue
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(near net.Conn) {
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(near)
		return
	}
	p.mu.Lock()
	p.conns[near], p.conns[far] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pass(far, near, false) })
	both.Go(func() { p.pass(near, far, true) })
	both.Wait()
	near.Close()
	far.Close()
	p.mu.Lock()
	delete(p.conns, near)
	delete(p.conns, far)
	p.mu.Unlock()
}

// pass copies one way until either side ends.
func (p *Proxy) pass(to, from net.Conn, back bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		mode := p.is()
		if mode == Slow {
			time.Sleep(delay)
		}
		swallowed := mode == Blackhole || mode == DropReplies && back
		if n > 0 && !swallowed {
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err == io.EOF {
			if t, ok := to.(*net.TCPConn); ok && !swallowed {
				_ = t.CloseWrite()
			}
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}
