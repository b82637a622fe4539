package httpd

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

// settle is how long the last answers may take to leave, after their handlers
// have returned.
const settle = 200 * time.Millisecond

// drainTick is the pause between two looks at the requests in flight.
const drainTick = 10 * time.Millisecond

// traffic counts the requests in flight.
type traffic struct {
	active   atomic.Int64
	draining atomic.Bool
}

// count keeps the number of requests in flight, and refuses new ones once the
// server drains. hertz's own shutdown waits for connections, idle ones
// included, and not for requests: a stream would be cut, or a kept-alive
// connection of the balancer would hold the process.
func (s *Server) count(ctx context.Context, c *app.RequestContext) {
	// Counted before the look at draining, so that a request either sees that
	// the server drains or is waited for.
	s.traffic.active.Add(1)
	defer s.traffic.active.Add(-1)
	if !s.traffic.draining.Load() {
		c.Next(ctx)
		return
	}
	c.SetConnectionClose()
	if s.Draining != nil {
		s.Draining(ctx, c)
		c.Abort()
		return
	}
	c.AbortWithStatus(http.StatusServiceUnavailable)
}

// drain refuses new requests and waits until none is in flight, or the
// context ends. It reports whether all ended.
func (s *Server) drain(ctx context.Context) bool {
	s.traffic.draining.Store(true)
	tick := time.NewTicker(drainTick)
	defer tick.Stop()
	for s.traffic.active.Load() > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-tick.C:
		}
	}
	return true
}
