// Package plain implements a stand-in for a plain service, such as a booking
// service whose calls must not be repeated. It counts the calls with each id.
package plain

import (
	"context"
	"maps"
	"sync"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"fuchsiashelf.dev/stand/inject"
)

// Service is one plain service. Set the exported fields before its first request.
type Service struct {
	Name   string
	Faults *inject.Set
	// Deduplicate makes the service refuse a call whose id has run before.
	Deduplicate bool

	mu     sync.Mutex
	counts map[string]int
}

// reply is the response body. It echoes the request.
type reply struct {
	Server string `json:"server"`
	Method string `json:"method"`
	URI    string `json:"uri"`
	ID     string `json:"id,omitempty"`
	Body   string `json:"body,omitempty"`
	Count  int    `json:"count"`
}

// Routes adds a route for every path.
func (s *Service) Routes(h *server.Hertz) {
	h.Any("/*path", s.call)
}

// Control adds the routes of the control listener.
func (s *Service) Control(h *server.Hertz) {
	s.Faults.Routes(h)
	h.GET("/counts", func(_ context.Context, c *app.RequestContext) {
		c.JSON(200, s.Counts())
	})
}

// Counts returns the number of calls by "team/id", or by id for calls without a
// team. Calls without an id are counted under the empty id.
func (s *Service) Counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.counts)
}

func (s *Service) call(ctx context.Context, c *app.RequestContext) {
	if s.beforeCall(ctx, c) {
		return
	}
	id := string(c.GetHeader("Idempotency-Key"))
	n, ok := s.countCall(string(c.GetHeader(TeamHeader)), id)
	if !ok {
		c.String(409, "id %s has run before", id)
		return
	}
	if s.afterCall(ctx, c) {
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

// TeamHeader is the header in which an entry host forwards the caller's team.
const TeamHeader = "Fuchsia-Team"

// countCall counts a call and returns the count of its id. It reports false if
// Deduplicate refuses the call.
func (s *Service) countCall(team, id string) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := id
	if team != "" {
		key = team + "/" + id
	}
	if s.Deduplicate && id != "" && s.counts[key] > 0 {
		return 0, false
	}
	if s.counts == nil {
		s.counts = map[string]int{}
	}
	s.counts[key]++
	return s.counts[key], true
}
