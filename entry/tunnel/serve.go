package tunnel

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcserver"

	"fuchsiashelf.dev/parts/sock"
)

// acceptBackoff is the pause after an accept that failed, for example because the process has no
// file descriptor left.
const acceptBackoff = 50 * time.Millisecond

// connKey is the key of the connection in the context of a call.
type connKey struct{}

// Serve serves the calls of other entry hosts until the context ends. Unlike the server of drpc it
// lets the handler of a tunnel ask whether the host that opened it is still connected.
func Serve(ctx context.Context, l net.Listener, h drpc.Handler) error {
	server := drpcserver.New(h)
	var serving sync.WaitGroup
	defer serving.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() { _ = l.Close() })()
	for {
		conn, err := l.Accept()
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			time.Sleep(acceptBackoff)
			continue
		}
		// The error is that of the connection, which the other host reports.
		serving.Go(func() { _ = server.ServeOne(context.WithValue(ctx, connKey{}, conn), conn) })
	}
}

// left reports whether the host that opened a tunnel has closed its connection, as the kernel knows
// it now. A host that reads late finds the bytes for the server before the end.
func left(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	return ok && sock.StateOf(conn).Ended()
}
