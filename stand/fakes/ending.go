package fakes

import (
	"net"
	"net/http"
)

// Ending is how the response to a request ends.
type Ending uint8

// The endings. All but Framed are for responses with neither a length nor chunks, which end with
// their connection.
const (
	// Framed tells where the response ends.
	Framed Ending = iota
	// WithConn closes the connection after the whole response.
	WithConn
	// WithReset resets the connection after half of the response.
	WithReset
	// WithCrash crashes the server after half of the response, between two events.
	WithCrash
	// InEvent closes the connection after half of the response, inside an event.
	InEvent
	// WithCrashAtStart crashes the server after the header of the response.
	WithCrashAtStart
)

// SetEnding sets how the next response of any server to a request ends.
func (p *Platform) SetEnding(e Ending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ending = e
}

// takeEnding returns how a response ends, and prepares its header.
func (p *Platform) takeEnding(header http.Header) Ending {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.ending
	p.ending = Framed
	if e != Framed {
		header.Set("Transfer-Encoding", "identity")
		header.Set("Connection", "close")
	}
	return e
}

// endsEarly ends a response of n pieces before the given piece, if it is to end there. The client
// has got the pieces before.
func (s *Server) endsEarly(w http.ResponseWriter, e Ending, piece, n int) bool {
	at := n/2 + 1
	if e == WithCrashAtStart {
		at = 1
	}
	if e == Framed || e == WithConn || piece != at {
		return false
	}
	controller := http.NewResponseController(w)
	if e == InEvent {
		_, _ = w.Write([]byte("id: 1\nda"))
	}
	_ = controller.Flush()
	switch e {
	case WithReset:
		if c, _, err := controller.Hijack(); err == nil {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	case WithCrash, WithCrashAtStart:
		s.Crash()
	}
	return true
}
