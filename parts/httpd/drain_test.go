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

// A process is told to stop while it answers a request. Its caller must get
// the whole answer, callers who come too late a refusal, and a balancer's idle
// connection must not hold the process up.
func TestRunDrains(t *testing.T) {
	c := quicktest.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	s := &httpd.Server{Listener: listener}
	s.Init()
	begun, finish := make(chan struct{}), make(chan struct{})
	s.Hertz.GET("/long", func(_ context.Context, c *app.RequestContext) {
		close(begun)
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
	answer := make(chan string, 1)
	go func() {
		_, body := get("/long")
		answer <- body
	}()
	<-begun
	stop()
	for status != 503 {
		status, _ = get("/short")
	}
	close(finish)
	c.Assert(<-answer, quicktest.Equals, "whole")
	c.Assert(<-ended, quicktest.IsNil)
}

// The time of a stop is over and a request still runs. The process ends all
// the same and says that it cut something.
func TestRunCuts(t *testing.T) {
	c := quicktest.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	s := &httpd.Server{Listener: listener}
	s.Init()
	begun, finish := make(chan struct{}), make(chan struct{})
	s.Hertz.GET("/long", func(context.Context, *app.RequestContext) {
		close(begun)
		<-finish
	})
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx, time.Millisecond) }()
	go func() { _, _ = http.Get("http://" + listener.Addr().String() + "/long") }()
	<-begun
	stop()
	c.Assert(<-ended, quicktest.ErrorIs, httpd.ErrAborted)
	close(finish)
}
