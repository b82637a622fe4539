// Package sock tells the state of a TCP connection as the kernel knows it.
//
// Code that reads a connection learns of its end only once it has read what came before, and when it
// gets processor time. The kernel knows it at once.
package sock

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the state of a connection.
type State string

// The states.
const (
	// Connected means that the other side has not ended the connection.
	Connected State = "connected"
	// Closed means that the other side has closed its sending direction.
	Closed State = "closed"
	// Reset means that the connection was reset or has failed, or that this process has closed it.
	Reset State = "reset"
	// Unknown means that the kernel cannot be asked.
	Unknown State = "unknown"
)

// Ended reports whether the other side is known to have ended the connection.
func (s State) Ended() bool { return s == Closed || s == Reset }

// StateOf returns the state of a connection, or of the one below it if it has the method NetConn, as a
// TLS connection does. Bytes that have arrived and have not been read do not hide its end.
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
	return StateOfRaw(raw)
}

// StateOfRaw returns the state of a connection that is known by its descriptor.
func StateOfRaw(raw syscall.RawConn) State {
	state := Reset
	// The error says that this process has closed the connection.
	_ = raw.Control(func(fd uintptr) { state = StateOfFD(int(fd)) })
	return state
}

// StateOfFD returns the state of the connection with an open descriptor.
func StateOfFD(fd int) State {
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	if _, err := unix.Poll(polled, 0); err != nil {
		return Unknown
	}
	switch events := polled[0].Revents; {
	case events&(unix.POLLERR|unix.POLLHUP|unix.POLLNVAL) != 0:
		return Reset
	case events&unix.POLLRDHUP != 0:
		return Closed
	}
	return Connected
}
