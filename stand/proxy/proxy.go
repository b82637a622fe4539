// Package proxy forwards TCP connections over loopback and simulates faults of
// network links.
package proxy

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"fuchsiashelf.dev/stand/sever"
)

// Mode selects how a proxy handles connections.
type Mode uint8

// Modes of a proxy.
const (
	// Forward forwards all data without a fault.
	Forward Mode = iota
	// Slow delays all data.
	Slow
	// Reset resets open and new connections.
	Reset
	// DropReplies discards data from the target.
	DropReplies
	// Blackhole discards all data and keeps connections open.
	Blackhole
)

// slowDelay is the delay of each chunk of data in mode Slow.
const slowDelay = 40 * time.Millisecond

// Proxy forwards connections to one address.
type Proxy struct {
	target   string
	listener *sever.Listener

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]struct{}
}

// New starts a proxy that forwards to target.
func New(target string) (*Proxy, error) {
	l, err := sever.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: l, conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

// Address returns the address at which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode sets the mode of open and new connections. Reset closes the open ones
// with a TCP reset.
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

// Cut cuts the link between one source address and the proxy.
func (p *Proxy) Cut(source netip.Addr, m sever.Mode) error { return p.listener.Cut(source, m) }

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.SetMode(Reset)
}

func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset closes a connection with a TCP reset instead of a FIN.
func reset(c net.Conn) {
	if t, ok := c.(interface{ SetLinger(seconds int) error }); ok {
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
		if p.currentMode() == Reset {
			reset(c)
			continue
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.forward(server, client, false) })
	copies.Go(func() { p.forward(client, server, true) })
	copies.Wait()
	client.Close()
	server.Close()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// forward copies data in one direction until either side closes its connection.
// reply is true for data from the target.
func (p *Proxy) forward(dst, src net.Conn, reply bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := src.Read(buffer)
		mode := p.currentMode()
		if mode == Slow {
			time.Sleep(slowDelay)
		}
		discard := mode == Blackhole || mode == DropReplies && reply
		if n > 0 && !discard {
			if _, err := dst.Write(buffer[:n]); err != nil {
				reset(src)
				return
			}
		}
		if err == io.EOF {
			if t, ok := dst.(interface{ CloseWrite() error }); ok && !discard {
				_ = t.CloseWrite()
			}
			return
		}
		if err != nil {
			reset(dst)
			return
		}
	}
}
