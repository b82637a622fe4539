// Package conns keeps a pool of connections to backend servers.
//
// It uses net/http to read and write messages, but not its client, which resends some
// requests when a reused connection turns out to be closed, so that an at-most-once
// request could run twice. Here a request is written once, and an error says whether
// any of it may have been written.
//
// A backend server may send a second, late response where the next one is expected on
// the same connection. A response to another request is skipped, and a connection
// with bytes after a response is not reused.
package conns

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/entry/tunnel"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/stall"
)

// Timeouts and limits.
const (
	// dialTimeout limits the time to connect, which is usually a millisecond. The
	// kernel retransmits a lost SYN after a second; another server can respond sooner.
	dialTimeout = 600 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged before the kernel
	// closes the connection. A network partition sends no reset.
	userTimeout = 1500 * time.Millisecond
	// longUserTimeout is userTimeout while a request of more than longRequest bytes is in flight. Such
	// a request may not fit into the receive buffer of a server whose process is paused for
	// seconds, and the kernel counts bytes that wait for room there as unacknowledged.
	longUserTimeout = 10 * time.Second
	longRequest     = 32 << 10
	// defaultIdleTimeout is the idle timeout of a backend server that does not
	// announce one.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutShare is the fraction of the server's idle timeout during which an
	// idle connection may be reused, so that no request is sent while the server
	// closes the connection.
	idleTimeoutShare = 0.7
	// idleTimeWeight is the weight of a new value in the mean time for which connections
	// may be reused. The servers of different services may announce different timeouts.
	idleTimeWeight = 0.02
	// maxResponses limits the responses that are read for one request, including
	// interim (1xx) responses and those to other requests, which are skipped.
	maxResponses = 3
)

// Pool keeps idle connections to backend servers. The zero value is ready to use.
type Pool struct {
	// Clock distinguishes the silence of servers from stalls of this process; nil assumes none.
	Clock *stall.Clock
	// Dial connects to a server; nil means a TCP connection from this host.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Direct reports whether connections to a server are direct ones now, so that idle
	// connections of the other kind are not reused; nil means always.
	Direct func(address string) bool
	// MaxIdle returns how many idle connections are kept now; zero means any number. Nil
	// means zero. Above it, the least recently used connections are closed first.
	MaxIdle func() int

	// dials counts the connections that were begun.
	dials atomic.Int64

	mu   sync.Mutex
	idle map[string][]*conn
	// count is the number of idle connections.
	count int
	// idleTime is a moving average of the time for which an idle connection may be reused.
	idleTime time.Duration
}

// conn is a connection to a backend server.
type conn struct {
	net.Conn
	br *bufio.Reader
	// received is what br reads from.
	received *boundedReader
	// idleSince is when the connection last became idle, zero if it is new, and expires
	// until when it may be reused.
	expires   time.Time
	idleSince time.Time
	// long says that longUserTimeout applies.
	long bool
}

// tunnel reports whether the connection goes through another entry host.
func (c *conn) tunnel() bool {
	_, ok := c.Conn.(*tunnel.Conn)
	return ok
}

// ResponseInfo is what Options.Inspect reads from a response header.
type ResponseInfo struct {
	// OtherRequest says that the response belongs to another request.
	OtherRequest bool
	// Close says that the connection must not be reused.
	Close bool
	// IdleTimeout is how long the server keeps an idle connection; zero if unknown.
	IdleTimeout time.Duration
}

// Response is a response whose header has been read.
type Response struct {
	*http.Response
	pool    *Pool
	address string
	conn    *conn
	info    ResponseInfo
	// stop detaches the connection from the request's context. It returns false if
	// the context has ended, which closes the connection.
	stop func() bool
	// eof says that the body was read to its end.
	eof  bool
	once sync.Once
}

// Options holds the options of one request.
type Options struct {
	// MaxIdle limits how long a reused connection may have been idle; zero means no
	// limit. If the server closes a reused connection while the request is sent, it is
	// unknown whether the request ran.
	MaxIdle time.Duration
	// NewConn forces a new connection.
	NewConn bool
	// DialTimeout limits the time to connect; zero means dialTimeout.
	DialTimeout time.Duration
	// BeforeWrite, if not nil, is called when a connection is available, directly or through
	// another entry host. If it fails, nothing is written, and its error is returned as it is.
	BeforeWrite func(direct bool) error
	// Inspect reads a response header.
	Inspect func(*http.Response) ResponseInfo
}

// Do writes a request and reads the header of the response. When the context ends, the
// connection is closed, even while the body is read. An error is a *fault.Error, whose
// verdict is NotRun if nothing was written.
func (p *Pool) Do(ctx context.Context, address string, req *http.Request, o Options) (*Response, error) {
	c, err := p.get(ctx, address, o)
	if err != nil {
		return nil, &fault.Error{Code: fault.ServerFailed, Verdict: fault.NotRun, Message: "no connection", Server: address, Cause: err}
	}
	stall.Restart(ctx)
	if o.BeforeWrite != nil {
		if err := o.BeforeWrite(!c.tunnel()); err != nil {
			c.Close()
			return nil, err
		}
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	resp, err := p.exchange(ctx, c, req, o)
	if err != nil {
		stop()
		c.Close()
		if ctx.Err() != nil {
			err = errors.Join(context.Cause(ctx), err)
		}
		return nil, &fault.Error{Code: fault.ServerFailed, Verdict: fault.MayHaveRun, Message: "no answer", Server: address, Cause: err}
	}
	resp.pool, resp.address, resp.stop = p, address, stop
	return resp, nil
}

// Read reads the body. The connection may be reused only if the body is read to its end.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.Body.Read(b)
	if err == io.EOF {
		r.eof = true
	}
	return n, err
}

// EndsWithConn reports whether the response has neither a length nor chunks. Its end looks the same
// if the server's process ends.
func (r *Response) EndsWithConn() bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// Close returns the connection to the pool if the body was read to its end. Otherwise
// it closes the connection, which tells the backend server to stop.
func (r *Response) Close() {
	r.once.Do(func() {
		open := r.stop()
		reuse := open && r.eof && !r.Response.Close && !r.info.Close && r.conn.br.Buffered() == 0
		if !reuse {
			r.conn.Close()
			return
		}
		r.pool.put(r.address, r.conn, r.info.IdleTimeout)
	})
}

// Reset closes the connection. It may be called while another goroutine reads the body.
func (r *Response) Reset() {
	r.conn.Close()
}

// get returns an idle connection or opens a new one.
func (p *Pool) get(ctx context.Context, address string, o Options) (*conn, error) {
	now := time.Now()
	direct := p.Direct == nil || p.Direct(address)
	for !o.NewConn {
		c := p.pop(address)
		if c == nil {
			break
		}
		expired := now.After(c.expires) || o.MaxIdle > 0 && now.Sub(c.idleSince) > o.MaxIdle
		if !expired && c.tunnel() == !direct && reusable(c.Conn) {
			return c, nil
		}
		c.Close()
	}
	return p.dial(ctx, address, cmp.Or(o.DialTimeout, dialTimeout))
}

// pop removes the most recently used idle connection to an address and returns it.
func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	p.count--
	return c
}

// put adds an idle connection. An idleTimeout of zero means defaultIdleTimeout.
func (p *Pool) put(address string, c *conn, idleTimeout time.Duration) {
	if idleTimeout <= 0 {
		idleTimeout = defaultIdleTimeout
	}
	c.idleSince = time.Now()
	reuse := reuseTime(idleTimeout)
	c.expires = c.idleSince.Add(reuse)
	limit := 0
	if p.MaxIdle != nil {
		limit = p.MaxIdle()
	}
	var excess []*conn
	p.mu.Lock()
	if p.idle == nil {
		p.idle = map[string][]*conn{}
	}
	p.idleTime = cmp.Or(p.idleTime, reuse)
	p.idleTime += time.Duration(idleTimeWeight * float64(reuse-p.idleTime))
	p.idle[address] = append(p.idle[address], c)
	p.count++
	for limit > 0 && p.count > limit {
		excess = append(excess, p.takeOldest())
	}
	p.mu.Unlock()
	for _, c := range excess {
		c.Close()
	}
}

// reuseTime returns how long a connection may be reused that the server keeps for the given
// time.
func reuseTime(idleTimeout time.Duration) time.Duration {
	return time.Duration(float64(idleTimeout) * idleTimeoutShare)
}

// takeOldest removes the least recently used idle connection and returns it. There is one,
// and the mutex is held.
func (p *Pool) takeOldest() *conn {
	var oldest *conn
	var address string
	for a, list := range p.idle {
		// The connections to an address are in the order in which they became idle.
		if len(list) > 0 && (oldest == nil || list[0].idleSince.Before(oldest.idleSince)) {
			oldest, address = list[0], a
		}
	}
	p.idle[address] = slices.Delete(p.idle[address], 0, 1)
	p.count--
	return oldest
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count
}

// Dials returns the number of connections that were begun.
func (p *Pool) Dials() int64 { return p.dials.Load() }

// IdleTime returns how long an idle connection may be reused on average.
func (p *Pool) IdleTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return cmp.Or(p.idleTime, reuseTime(defaultIdleTimeout))
}

// CloseIdle closes the idle connections to an address, for example because the server
// there is unreachable.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.count -= len(list)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// CloseThrough closes the idle connections through the entry hosts with the given addresses,
// which are about to stop.
func (p *Pool) CloseThrough(peers map[string]bool) {
	var closed []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		p.idle[address] = slices.DeleteFunc(list, func(c *conn) bool {
			t, ok := c.Conn.(*tunnel.Conn)
			through := ok && peers[t.Peer]
			if through {
				closed = append(closed, c)
			}
			return through
		})
	}
	p.count -= len(closed)
	p.mu.Unlock()
	for _, c := range closed {
		c.Close()
	}
}

// CloseExpired closes the connections that have been idle for too long to be reused.
func (p *Pool) CloseExpired(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		var kept []*conn
		for _, c := range list {
			if now.After(c.expires) {
				expired = append(expired, c)
				continue
			}
			kept = append(kept, c)
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.count -= len(expired)
	p.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
}
