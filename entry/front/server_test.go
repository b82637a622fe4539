package front

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// lateListener accepts one connection after it was closed.
type lateListener struct {
	net.Listener
	closed chan struct{}
	conn   net.Conn
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.closed
	if l.conn == nil {
		return nil, net.ErrClosed
	}
	c := l.conn
	l.conn = nil
	return c, nil
}

func (l *lateListener) Close() error { return nil }

func (l *lateListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a process that never ends, because a connection was accepted just before
// the stop. Its caller must learn that nothing was read.
func TestConnectionAcceptedDuringStopIsClosed(t *testing.T) {
	near, far := net.Pipe()
	l := &lateListener{closed: make(chan struct{}), conn: near}
	s := &Server{Listener: l, Handler: http.NotFoundHandler(), Log: slog.New(slog.DiscardHandler)}
	ended := make(chan struct{})
	go func() {
		s.Run()
		close(ended)
	}()
	s.SetLimits(defaultLimits)
	s.Stop(context.Background())
	close(l.closed)
	_, err := far.Read(make([]byte, 1))
	qt.Assert(t, err, qt.Equals, io.EOF)
	<-ended
}
