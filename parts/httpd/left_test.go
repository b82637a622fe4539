package httpd_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/httpd"
)

// Guards against requests that are handled although their clients left before they were read, by a
// process that reads late.
func TestRequestOfClientThatLeftIsNotHandled(t *testing.T) {
	c := quicktest.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	s := &httpd.Server{Listener: listener}
	s.Init()
	var handled atomic.Int64
	s.Hertz.GET("/left", func(context.Context, *app.RequestContext) { handled.Add(1) })
	s.Hertz.GET("/last", func(_ context.Context, c *app.RequestContext) { c.String(200, "last") })
	for range 50 {
		conn, err := net.Dial("tcp", listener.Addr().String())
		c.Assert(err, quicktest.IsNil)
		_, err = fmt.Fprint(conn, "GET /left HTTP/1.1\r\nHost: a\r\n\r\n")
		c.Assert(err, quicktest.IsNil)
		c.Assert(conn.Close(), quicktest.IsNil)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx, time.Minute) }()
	resp, err := http.Get("http://" + listener.Addr().String() + "/last")
	c.Assert(err, quicktest.IsNil)
	c.Assert(resp.Body.Close(), quicktest.IsNil)
	stop()
	c.Assert(<-ended, quicktest.IsNil)
	c.Assert(handled.Load(), quicktest.Equals, int64(0))
}
