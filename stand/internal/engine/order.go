package engine

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	wire "fuchsiashelf.dev/parts/engine"
)

// orders holds the orders that took effect.
type orders struct {
	mu     sync.Mutex
	taken  []wire.Order
	number uint64
}

// take carries out an order, or says why not. An engine that does not check
// numbers still honours the deadline.
func (o *orders) take(order wire.Order, checks bool, now time.Time) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if checks && order.Number < o.number {
		return wire.Fenced
	}
	if order.DeadlineMs > 0 && now.UnixMilli() > order.DeadlineMs {
		return wire.Expired
	}
	o.number = max(o.number, order.Number)
	o.taken = append(o.taken, order)
	return ""
}

// list returns the orders that took effect, oldest first.
func (o *orders) list() []wire.Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.taken)
}

// seen returns the highest fencing number seen.
func (o *orders) seen() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.number
}

func (e *Engine) order(_ context.Context, c *app.RequestContext) {
	var order wire.Order
	if err := json.Unmarshal(c.Request.Body(), &order); err != nil || order.Order == "" {
		c.String(400, "bad order: %v", err)
		return
	}
	if why := e.orders.take(order, e.Fencing, time.Now()); why != "" {
		c.Header(wire.NotRunHeader, why)
		c.String(409, why)
		return
	}
	c.String(200, "taken")
}
