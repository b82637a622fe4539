// Package httpd makes the HTTP servers that all programs share.
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

// Server is an HTTP server on one listener. Set the exported fields, then
// call Make and add routes to Hertz, then Run.
type Server struct {
	// Listener is where the server accepts connections.
	Listener net.Listener
	// MaxBody is the largest request body, in bytes.
	MaxBody int
	// TooLarge answers a request whose body is larger than MaxBody; nil means
	// a plain 413.
	TooLarge app.HandlerFunc
	// DrainDelay is how long the server goes on taking requests after its stop
	// began, so that a balancer notices in time.
	DrainDelay time.Duration
	// Draining answers requests that come after that; nil answers a bare 503.
	Draining app.HandlerFunc
	// Hertz is the server that routes are added to. Make sets it.
	Hertz *server.Hertz

	traffic traffic
}

// defaultMaxBody bounds a request body where the server sets nothing.
const defaultMaxBody = 4 << 20

// Init creates the underlying server. The context of a handler ends when its
// client disconnects.
func (s *Server) Init(more ...config.Option) {
	hlog.SetOutput(io.Discard)
	if s.MaxBody == 0 {
		s.MaxBody = defaultMaxBody
	}
	options := []config.Option{
		server.WithListener(s.Listener),
		server.WithMaxRequestBodySize(s.MaxBody),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(settle),
		server.WithSenseClientDisconnection(true),
		server.WithDisablePreParseMultipartForm(true),
		server.WithRedirectTrailingSlash(false),
		// hertz answers an oversize body by itself, with an answer that
		// cannot be changed, unless bodies are streams. Then bound reads them.
		server.WithStreamBody(true),
	}
	s.Hertz = server.New(append(options, more...)...)
	s.Hertz.Use(s.count, s.bound)
}

// bound reads the request body, and answers one that is too large without
// reading the rest of it.
func (s *Server) bound(ctx context.Context, c *app.RequestContext) {
	if c.Request.Header.ContentLength() > s.MaxBody {
		s.tooLarge(ctx, c)
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
		s.tooLarge(ctx, c)
		return
	}
	c.Request.SetBody(body)
}

func (s *Server) tooLarge(ctx context.Context, c *app.RequestContext) {
	c.SetConnectionClose()
	if s.TooLarge == nil {
		c.AbortWithStatus(http.StatusRequestEntityTooLarge)
		return
	}
	s.TooLarge(ctx, c)
	c.Abort()
}

// Run serves until the context ends. Then it goes on for Linger, refuses new
// requests and waits for those in flight, at most for the given time.
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
	stop, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	whole := s.drain(stop)
	// What is left of the time of a shutdown is for answers on their way.
	err := s.Hertz.Shutdown(context.Background())
	if !whole {
		return errors.Join(ErrAborted, err)
	}
	return err
}

// ErrAborted says that requests were still in flight when the time was over.
var ErrAborted = errors.New("httpd: requests in flight were cut")
