package fakes

import (
	"net/http"
	"time"
)

// FloodPart is the part of a response in which a server sends bytes without end.
type FloodPart int

// The parts.
const (
	// FloodLine is a line of the head that never ends.
	FloodLine FloodPart = iota + 1
	// FloodHead is a head with ever more lines.
	FloodHead
	// FloodBody is a body without a length.
	FloodBody
)

// FloodParts are all parts in which a server may send bytes without end.
var FloodParts = []FloodPart{FloodLine, FloodHead, FloodBody}

// floodInterval is the interval of the writes of a flood, which limits what it costs this machine.
const floodInterval = 10 * time.Millisecond

// texts returns what a flood begins with and what it goes on with.
func (p FloodPart) texts() (begin, repeated string) {
	switch p {
	case FloodHead:
		return "HTTP/1.1 200 OK\r\n", "X-Noise: 0123456789abcdef\r\n"
	case FloodBody:
		return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", "0123456789abcdef"
	case FloodLine:
	}
	return "", "0123456789abcdef"
}

// Flood makes the server run the next n requests and answer them with bytes without end, until the
// client closes the connection.
func (s *Server) Flood(n int, part FloodPart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floodNext, s.floodPart = n, part
}

// Floods returns the number of responses without end in progress, and how many bytes the server has
// written of such responses.
func (s *Server) Floods() (active, written int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.floods, s.flooded
}

// flood answers a request with bytes without end, if that was asked for.
func (s *Server) flood(w http.ResponseWriter) bool {
	if !s.consume(&s.floodNext) {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	s.mu.Lock()
	begin, repeated := s.floodPart.texts()
	s.floods++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.floods--
	}()
	text := []byte(begin)
	piece := make([]byte, 0, len(filler))
	for len(piece)+len(repeated) <= cap(piece) {
		piece = append(piece, repeated...)
	}
	for {
		n, err := conn.Write(text)
		s.mu.Lock()
		s.flooded += n
		s.mu.Unlock()
		if err != nil {
			return true
		}
		text = piece
		time.Sleep(floodInterval)
	}
}
