package sock

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// listenInterval is the interval at which an address that is not available is tried again, and
	// listenLogInterval the one at which that is logged.
	listenInterval    = 50 * time.Millisecond
	listenLogInterval = 5 * time.Second
)

// Listen listens on a TCP address. It waits until the address is available: an open connection of another
// process may have its port, or the machine may not have the address yet. It fails if the context ends
// before, with the cause of that, or for another reason.
func Listen(ctx context.Context, address string, log *slog.Logger) (net.Listener, error) {
	tick := time.NewTicker(listenInterval)
	defer tick.Stop()
	var loggedAt time.Time
	for {
		l, err := net.Listen("tcp", address)
		if err == nil || !errors.Is(err, unix.EADDRINUSE) && !errors.Is(err, unix.EADDRNOTAVAIL) {
			return l, err
		}
		if time.Since(loggedAt) >= listenLogInterval {
			loggedAt = time.Now()
			log.Warn("listen: waiting for the address", "address", address, "error", err)
		}
		select {
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-tick.C:
		}
	}
}
