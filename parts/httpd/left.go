package httpd

import (
	"context"
	"net"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network/netpoll"

	"fuchsiashelf.dev/parts/sock"
)

// fdKey is the key of the descriptor of the client's connection in the context of a request.
type fdKey struct{}

// withConn returns the context of a request with its connection.
func withConn(ctx context.Context, c net.Conn) context.Context {
	over, ok := c.(*netpoll.Conn)
	if !ok {
		return ctx
	}
	if conn, ok := over.Conn.(interface{ Fd() int }); ok {
		return context.WithValue(ctx, fdKey{}, conn.Fd())
	}
	return ctx
}

// ClientLeft reports whether the client of a request has left, given the context of its handler or one
// derived from it. Hertz ends the context when it notices that, in a goroutine of its own, which is
// after the handler has begun if the process reads late; the kernel knows before.
func ClientLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		// The descriptor may be that of another connection by now.
		return true
	}
	fd, ok := ctx.Value(fdKey{}).(int)
	return ok && sock.StateOfFD(fd).Ended()
}

// dropLeft drops a request whose client has left before it was read.
func dropLeft(ctx context.Context, c *app.RequestContext) {
	ctx = withConn(ctx, c.GetConn())
	if ClientLeft(ctx) {
		c.SetConnectionClose()
		c.Abort()
		return
	}
	c.Next(ctx)
}
