package httpd

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

// exitWait is how long the last responses may take to be sent after their
// handlers have returned.
const exitWait = 200 * time.Millisecond

// drainPollInterval is the interval between checks for requests in flight.
const drainPollInterval = 10 * time.Millisecond

// requestTracker counts the requests in flight.
type requestTracker struct {
	active   atomic.Int64
	draining atomic.Bool
}

// trackRequest counts a request while it is in flight, and rejects it if the
// server is draining. The shutdown of hertz waits for connections, idle ones
// included, and not for requests: it would truncate streams, or an idle
// keep-alive connection of a load balancer would delay the exit.
func (s *Server) trackRequest(ctx context.Context, c *app.RequestContext) {
	// The request is counted before draining is checked, so that it either sees
	// that the server is draining or is waited for.
	s.requests.active.Add(1)
	defer s.requests.active.Add(-1)
	if !s.requests.draining.Load() {
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

// drain rejects new requests and waits until none is in flight or the context
// ends. It reports whether all requests ended.
func (s *Server) drain(ctx context.Context) bool {
	s.requests.draining.Store(true)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.requests.active.Load() > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}
