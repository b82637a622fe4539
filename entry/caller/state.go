package caller

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the state of a connection as the kernel knows it.
type State string

// The states.
const (
	// Connected means that the other side has not ended the connection.
	Connected State = "connected"
	// Closed means that the other side has closed its sending direction.
	Closed State = "closed"
	// Reset means that the connection was reset or has failed.
	Reset State = "reset"
	// Unknown means that the kernel cannot be asked.
	Unknown State = "unknown"
)

// Ended reports whether the other side is known to have ended the connection.
func (s State) Ended() bool { return s == Closed || s == Reset }

// StateOf returns the state of a connection, or of the one below it if it has the method NetConn, as a
// TLS connection does. Bytes that
// have arrived and have not been read do not hide its end.
func StateOf(c net.Conn) State {
	for {
		over, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = over.NetConn()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Reset
	}
	return stateOf(raw)
}

func stateOf(raw syscall.RawConn) State {
	state := Connected
	err := raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		if _, err := unix.Poll(polled, 0); err != nil {
			return
		}
		switch events := polled[0].Revents; {
		case events&(unix.POLLERR|unix.POLLHUP|unix.POLLNVAL) != 0:
			state = Reset
		case events&unix.POLLRDHUP != 0:
			state = Closed
		}
	})
	if err != nil {
		// This process has closed the connection.
		return Reset
	}
	return state
}
