// Package line sends requests to backend servers over kept connections.
//
// It is built on net/http's reading and writing of messages, not on its
// client: that one sends some requests again by itself when a kept connection
// turns out closed, and a request that may run once would run twice. Here a
// request is written once, and an error says whether any of it was written.
//
// A backend server may send a second answer late, where the next one is
// expected on the same connection. An answer that belongs to another request
// is read past, and a connection with bytes beyond an answer is not kept.
package conns

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"fuchsiashelf.dev/parts/fault"
)

// The times of connections.
const (
	// dialTimeout bounds the making of a connection. It takes a millisecond; a
	// lost opening packet is sent again after a second, by when another server
	// serves sooner.
	dialTimeout = 600 * time.Millisecond
	// userTimeout is how long sent bytes may stay unconfirmed before the kernel
	// gives the connection up. A network partition sends no reset.
	userTimeout = 1500 * time.Millisecond
	// defaultIdleTimeout is how long a connection is kept unused if the backend server
	// does not say.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutShare is the part of the told time for which one is reused, so that
	// a request does not cross the backend server's close.
	idleTimeoutShare = 0.7
	// maxSkipped bounds the answers to other requests that are read past.
	maxSkipped = 3
)

// Pool keeps connections to backend servers. The zero value is ready.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*conn
}

type conn struct {
	net.Conn
	br        *bufio.Reader
	expires   time.Time
	idleSince time.Time
}

// ResponseInfo is what a caller of the pool reads of an answer's header.
type ResponseInfo struct {
	// OtherRequest says that the answer belongs to another request.
	OtherRequest bool
	// Close says that the connection must not be used again, Idle for how long
	// it may be kept.
	Close       bool
	IdleTimeout time.Duration
}

// Response is an answer whose header has been read.
type Response struct {
	*http.Response
	pool    *Pool
	address string
	conn    *conn
	info    ResponseInfo
	stop    func() bool
	eof     bool
	once    sync.Once
}

// Options of one request.
type Options struct {
	// MaxIdle is how long ago a kept connection must have been used at most.
	// Zero permits any. One that has been closed meanwhile leaves open whether
	// the request ran.
	MaxIdle time.Duration
	// NewConn asks for a new connection.
	NewConn bool
	// DialTimeout bounds the time to connect; zero means dialTime.
	DialTimeout time.Duration
	// Inspect reads an answer's header.
	Inspect func(*http.Response) ResponseInfo
}

// Do writes a request and reads the header of its answer. The context ends the
// answer too: its connection is closed then. An error is a *fault.Error:
// NotRun if nothing was written.
func (p *Pool) Do(ctx context.Context, address string, req *http.Request, o Options) (*Response, error) {
	c, err := p.get(ctx, address, o)
	if err != nil {
		return nil, &fault.Error{Code: fault.ServerFailed, Verdict: fault.NotRun, Message: "no connection", Server: address, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	a, err := p.exchange(c, req, o)
	if err != nil {
		stop()
		c.Close()
		if ctx.Err() != nil {
			err = errors.Join(context.Cause(ctx), err)
		}
		return nil, &fault.Error{Code: fault.ServerFailed, Verdict: fault.MayHaveRun, Message: "no answer", Server: address, Cause: err}
	}
	a.pool, a.address, a.stop = p, address, stop
	return a, nil
}

func (p *Pool) exchange(c *conn, req *http.Request, o Options) (*Response, error) {
	// One write for header and body: two would be two packets.
	bw := bufio.NewWriterSize(c.Conn, 2048+int(min(req.ContentLength, 32<<10)))
	if err := req.Write(bw); err != nil {
		return nil, err
	}
	if err := bw.Flush(); err != nil {
		return nil, err
	}
	for range maxSkipped {
		resp, err := http.ReadResponse(c.br, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		head := o.Inspect(resp)
		if !head.OtherRequest {
			return &Response{Response: resp, conn: c, info: head}, nil
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
		if resp.Close {
			return nil, io.ErrUnexpectedEOF
		}
	}
	return nil, errors.New("only answers to other requests")
}

// Read reads the body. It notes the end, after which the connection may be
// kept.
func (a *Response) Read(b []byte) (int, error) {
	n, err := a.Body.Read(b)
	if err == io.EOF {
		a.eof = true
	}
	return n, err
}

// Close gives the connection back if the answer was read to its end, and
// closes it otherwise, which tells the backend server to stop.
func (a *Response) Close() {
	a.once.Do(func() {
		alive := a.stop()
		keep := alive && a.eof && !a.Response.Close && !a.info.Close && a.conn.br.Buffered() == 0
		if !keep {
			a.conn.Close()
			return
		}
		a.pool.put(a.address, a.conn, a.info.IdleTimeout)
	})
}

// Reset closes the connection while another goroutine may be reading from it.
func (a *Response) Reset() {
	a.conn.Close()
}

func (p *Pool) get(ctx context.Context, address string, o Options) (*conn, error) {
	now := time.Now()
	for !o.NewConn {
		c := p.pop(address)
		if c == nil {
			break
		}
		stale := now.After(c.expires) || o.MaxIdle > 0 && now.Sub(c.idleSince) > o.MaxIdle
		if !stale && reusable(c.Conn) {
			return c, nil
		}
		c.Close()
	}
	return dial(ctx, address, cmp.Or(o.DialTimeout, dialTimeout))
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) put(address string, c *conn, idle time.Duration) {
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	c.idleSince = time.Now()
	c.expires = c.idleSince.Add(time.Duration(float64(idle) * idleTimeoutShare))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*conn{}
	}
	p.idle[address] = append(p.idle[address], c)
}

// CloseIdle closes the kept connections to an address, for example because the
// server there fell silent.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// CloseExpired closes the connections that are kept beyond their time.
func (p *Pool) CloseExpired(now time.Time) {
	var old []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		var kept []*conn
		for _, c := range list {
			if now.After(c.expires) {
				old = append(old, c)
				continue
			}
			kept = append(kept, c)
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}

func dial(ctx context.Context, address string, bound time.Duration) (*conn, error) {
	d := net.Dialer{Timeout: bound, KeepAlive: -1, Control: SetUserTimeout}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, br: bufio.NewReader(c)}, nil
}

// tcpUserTimeout is TCP_USER_TIMEOUT, which the standard library does not name
// on all systems.
const tcpUserTimeout = 0x12

// SetUserTimeout makes the kernel give up a connection whose sent bytes stay
// unconfirmed, for [net.Dialer.Control].
func SetUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// reusable reports whether a kept connection is open and holds no unread bytes.
func reusable(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		clean = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && clean
}
