// Package httpd provides the HTTP server that all programs share.
package httpd

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
)

// Server is an HTTP server on one listener. Set the exported fields, then call
// Init and add routes to Hertz, then call Run.
type Server struct {
	// Listener is the listener on which the server accepts connections.
	Listener net.Listener
	// MaxBody is the maximum size of a request body in bytes; zero means 4 MiB.
	MaxBody int
	// TooLarge answers a request whose body is larger than MaxBody; nil means a
	// plain 413.
	TooLarge app.HandlerFunc
	// DrainDelay is how long the server still accepts requests after its
	// context has ended, so that load balancers notice the shutdown in time.
	DrainDelay time.Duration
	// Draining answers requests that arrive after that; nil means a plain 503.
	Draining app.HandlerFunc
	// Hertz is the underlying server, to which routes are added. Init sets it.
	Hertz *server.Hertz

	requests requestTracker
}

// defaultMaxBody is the default of Server.MaxBody.
const defaultMaxBody = 4 << 20

// Init creates the underlying server. The context of a handler ends when the
// client disconnects.
func (s *Server) Init(extra ...config.Option) {
	hlog.SetOutput(io.Discard)
	if s.MaxBody == 0 {
		s.MaxBody = defaultMaxBody
	}
	options := []config.Option{
		server.WithListener(s.Listener),
		server.WithMaxRequestBodySize(s.MaxBody),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(exitWait),
		server.WithSenseClientDisconnection(true),
		server.WithDisablePreParseMultipartForm(true),
		server.WithRedirectTrailingSlash(false),
		// Unless bodies are streamed, hertz answers an oversized body by itself
		// with a fixed response. limitBody reads the streams.
		server.WithStreamBody(true),
	}
	s.Hertz = server.New(append(options, extra...)...)
	s.Hertz.Use(s.trackRequest, dropLeft, s.limitBody)
}

// limitBody reads the request body, and rejects a request whose body is too
// large without reading the rest of it.
func (s *Server) limitBody(ctx context.Context, c *app.RequestContext) {
	if c.Request.Header.ContentLength() > s.MaxBody {
		s.rejectTooLarge(ctx, c)
		return
	}
	if !c.Request.IsBodyStream() {
		return
	}
	body, err := io.ReadAll(io.LimitReader(c.Request.BodyStream(), int64(s.MaxBody)+1))
	if err != nil {
		c.AbortWithStatus(http.StatusBadRequest)
		return
	}
	if len(body) > s.MaxBody {
		s.rejectTooLarge(ctx, c)
		return
	}
	c.Request.SetBody(body)
}

func (s *Server) rejectTooLarge(ctx context.Context, c *app.RequestContext) {
	c.SetConnectionClose()
	if s.TooLarge == nil {
		c.AbortWithStatus(http.StatusRequestEntityTooLarge)
		return
	}
	s.TooLarge(ctx, c)
	c.Abort()
}

// Run serves until the context ends. It still accepts requests for DrainDelay
// after that, then rejects new ones and waits for those in flight, at most for
// the grace period.
func (s *Server) Run(ctx context.Context, grace time.Duration) error {
	failed := make(chan error, 1)
	go func() { failed <- s.Hertz.Run() }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	select {
	case err := <-failed:
		return err
	case <-time.After(s.DrainDelay):
	}
	drainCtx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	drained := s.drain(drainCtx)
	// All requests have ended or timed out; the rest of the shutdown is for
	// responses that are still being sent.
	err := s.Hertz.Shutdown(context.Background())
	if !drained {
		return errors.Join(ErrAborted, err)
	}
	return err
}

// ErrAborted is returned by Run if requests were still in flight at the end of
// the grace period.
var ErrAborted = errors.New("httpd: requests in flight were aborted")
