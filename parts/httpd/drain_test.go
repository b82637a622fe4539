package httpd_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/httpd"
)

// Guards against a truncated response when the process is told to stop during a
// request, late requests that are not rejected, and a shutdown that waits for a
// load balancer's idle connection.
func TestRunDrains(t *testing.T) {
	c := quicktest.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	s := &httpd.Server{Listener: listener}
	s.Init()
	started, finish := make(chan struct{}), make(chan struct{})
	s.Hertz.GET("/long", func(_ context.Context, c *app.RequestContext) {
		close(started)
		<-finish
		c.String(200, "whole")
	})
	s.Hertz.GET("/short", func(_ context.Context, c *app.RequestContext) { c.String(200, "short") })
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx, time.Minute) }()
	get := func(path string) (int, string) {
		resp, err := http.Get("http://" + listener.Addr().String() + path)
		if err != nil {
			return 0, err.Error()
		}
		defer resp.Body.Close()
		body, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(body)
	}
	status, _ := get("/short")
	c.Assert(status, quicktest.Equals, 200)
	bodies := make(chan string, 1)
	go func() {
		_, body := get("/long")
		bodies <- body
	}()
	<-started
	stop()
	for status != 503 {
		status, _ = get("/short")
	}
	close(finish)
	c.Assert(<-bodies, quicktest.Equals, "whole")
	c.Assert(<-ended, quicktest.IsNil)
}

// Guards against a process that does not exit because a request still runs
// after the grace period: Run returns and reports that requests were aborted.
func TestRunAbortsAfterGracePeriod(t *testing.T) {
	c := quicktest.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	s := &httpd.Server{Listener: listener}
	s.Init()
	started, finish := make(chan struct{}), make(chan struct{})
	s.Hertz.GET("/long", func(context.Context, *app.RequestContext) {
		close(started)
		<-finish
	})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx, time.Millisecond) }()
	go func() { _, _ = http.Get("http://" + listener.Addr().String() + "/long") }()
	<-started
	stop()
	c.Assert(<-ended, quicktest.ErrorIs, httpd.ErrAborted)
	close(finish)
}
