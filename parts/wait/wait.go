// Package wait pauses until some time has passed or a context has ended.
package wait

import (
	"context"
	"time"
)

// For waits for a time, or until the context ends.
func For(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
