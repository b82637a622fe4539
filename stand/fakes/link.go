package fakes

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Cut is how a link is cut.
type Cut uint8

// The ways in which a link is cut.
const (
	// Connected means that the link is not cut.
	Connected Cut = iota
	// Hanging holds up everything: connections are not accepted, and nothing that is sent
	// on open ones arrives.
	Hanging
	// Resetting resets open connections and refuses new ones.
	Resetting
	// RefusingNew refuses new connections; open ones live on.
	RefusingNew
)

// String returns the name of a cut.
func (c Cut) String() string {
	return [...]string{"connected", "hanging", "resetting", "refusing new"}[c]
}

// unackedTimeout is how long sent bytes stay unacknowledged before a connection ends, like
// one with TCP_USER_TIMEOUT.
const unackedTimeout = 1500 * time.Millisecond

// Link is the network between one entry host and all backend servers, while others reach
// both. The zero value is connected.
type Link struct {
	mu    sync.Mutex
	cut   Cut
	conns map[*linkConn]struct{}
	// changed is closed when the link is cut in another way.
	changed chan struct{}
}

// Set cuts the link or, with Connected, restores it.
func (l *Link) Set(c Cut) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = c
	if l.changed != nil {
		close(l.changed)
	}
	l.changed = make(chan struct{})
	if c == Resetting {
		for conn := range l.conns {
			conn.reset(syscall.ECONNRESET)
		}
	}
}

// state returns how the link is cut, and a channel that is closed when that changes.
func (l *Link) state() (Cut, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.cut, l.changed
}

// Dial connects to a backend server.
func (l *Link) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	for {
		cut, changed := l.state()
		switch cut {
		case Connected:
			return l.connect(ctx, network, address)
		case Resetting, RefusingNew:
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
		case Hanging:
			select {
			case <-changed:
			case <-ctx.Done():
				return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
			}
		}
	}
}

func (l *Link) connect(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conn := &linkConn{Conn: c, tcp: c.(*net.TCPConn), link: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = map[*linkConn]struct{}{}
	}
	l.conns[conn] = struct{}{}
	return conn, nil
}

// linkConn is a connection over a link.
type linkConn struct {
	net.Conn
	tcp  *net.TCPConn
	link *Link

	once   sync.Once
	closed chan struct{}
	mu     sync.Mutex
	// err is why the connection was reset.
	err error
}

// wait waits while the link holds up everything, at most for timeout if that is not zero.
func (c *linkConn) wait(timeout time.Duration) error {
	var expired <-chan time.Time
	if timeout > 0 {
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		expired = timer.C
	}
	for {
		cut, changed := c.link.state()
		if err := c.failure(); err != nil || cut != Hanging {
			return err
		}
		select {
		case <-changed:
		case <-c.closed:
			return net.ErrClosed
		case <-expired:
			c.reset(syscall.ETIMEDOUT)
		}
	}
}

func (c *linkConn) failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// reset ends the connection with an error.
func (c *linkConn) reset(err error) {
	c.mu.Lock()
	if c.err == nil {
		c.err = os.NewSyscallError("read", err)
	}
	c.mu.Unlock()
	// The peer may have closed the connection.
	_ = c.tcp.SetLinger(0)
	_ = c.tcp.Close()
}

// Read implements net.Conn.
func (c *linkConn) Read(b []byte) (int, error) {
	n, err := c.tcp.Read(b)
	if blocked := c.wait(0); blocked != nil {
		return 0, blocked
	}
	return n, err
}

// Write implements net.Conn. Bytes that are held up count as written, like those in a
// socket buffer.
func (c *linkConn) Write(b []byte) (int, error) {
	if cut, _ := c.link.state(); cut != Hanging {
		return c.tcp.Write(b)
	}
	held := append([]byte(nil), b...)
	go func() {
		if c.wait(unackedTimeout) == nil {
			// A connection that has been closed meanwhile loses its bytes.
			_, _ = c.tcp.Write(held)
		}
	}()
	return len(b), nil
}

// SyscallConn implements syscall.Conn.
func (c *linkConn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

// Close implements net.Conn. The server does not see it while the link holds up
// everything.
func (c *linkConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.link.mu.Lock()
	delete(c.link.conns, c)
	c.link.mu.Unlock()
	cut, changed := c.link.state()
	if cut != Hanging {
		return c.tcp.Close()
	}
	// Ends reads that wait.
	err := c.tcp.SetReadDeadline(time.Now())
	go func() {
		<-changed
		_ = c.tcp.Close()
	}()
	return err
}
