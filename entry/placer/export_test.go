package placer

import (
	"context"
	"time"
)

// Decide makes one decision and returns the number of assignments that are pending.
func (p *Placer) Decide(ctx context.Context, now time.Time) int {
	p.decide(ctx, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pending)
}
