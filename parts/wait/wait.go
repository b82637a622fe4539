// Package wait provides sleeps that end early when a context is done.
package wait

import (
	"context"
	"time"
)

// For waits for d or until the context is done.
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
