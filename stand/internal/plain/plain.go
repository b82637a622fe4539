// Package plain is a stand-in for a plain service, such as a booking service
// whose calls may not be repeated. It counts each call by its id.
package plain

import (
	"context"
	"maps"
	"sync"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	wire "fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/stand/inject"
)

// The faults of a plain service.
const (
	// Refuse: calls are refused with Not-Run.
	Refuse inject.Kind = "refuse"
	// DropReply: the call is counted and the connection closed unanswered.
	DropReply inject.Kind = "drop"
)

// Service is one stand-in. Set the exported fields before its first request.
type Service struct {
	Name   string
	Faults *inject.Set

	mu     sync.Mutex
	counts map[string]int
}

// reply is the body of an answer: what the service received.
type reply struct {
	Server string `json:"server"`
	Method string `json:"method"`
	URI    string `json:"uri"`
	ID     string `json:"id,omitempty"`
	Body   string `json:"body,omitempty"`
	Count  int    `json:"count"`
}

// Routes makes the service answer every path.
func (s *Service) Routes(h *server.Hertz) {
	h.Any("/*path", s.call)
}

// Control adds the calls of the control listener.
func (s *Service) Control(h *server.Hertz) {
	s.Faults.Routes(h)
	h.GET("/counts", func(_ context.Context, c *app.RequestContext) {
		c.JSON(200, s.Counts())
	})
}

// Counts returns how often the call with each id ran. Calls without an id
// are counted under the empty one.
func (s *Service) Counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.counts)
}

func (s *Service) call(_ context.Context, c *app.RequestContext) {
	if _, on := s.Faults.Strike(Refuse); on {
		c.Header(wire.NotRunHeader, "leaving")
		c.String(503, "leaving")
		return
	}
	id := string(c.GetHeader("Idempotency-Key"))
	n := s.count(id)
	if _, on := s.Faults.Strike(DropReply); on {
		c.GetConn().Close()
		c.Abort()
		return
	}
	c.JSON(200, reply{
		Server: s.Name,
		Method: string(c.Method()),
		URI:    string(c.Request.URI().RequestURI()),
		ID:     id,
		Body:   string(c.Request.Body()),
		Count:  n,
	})
}

func (s *Service) count(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts == nil {
		s.counts = map[string]int{}
	}
	s.counts[id]++
	return s.counts[id]
}
