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

// orderLog keeps the accepted orders.
type orderLog struct {
	mu            sync.Mutex
	accepted      []wire.Order
	highestNumber uint64
}

// accept records an order and returns "", or returns the reason to refuse it.
// Without fencing the fencing number is not checked, but the deadline is.
func (l *orderLog) accept(order wire.Order, fencing bool, now time.Time) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if fencing && order.Number < l.highestNumber {
		return wire.Fenced
	}
	if order.DeadlineMs > 0 && now.UnixMilli() > order.DeadlineMs {
		return wire.Expired
	}
	l.highestNumber = max(l.highestNumber, order.Number)
	l.accepted = append(l.accepted, order)
	return ""
}

// list returns the accepted orders, oldest first.
func (l *orderLog) list() []wire.Order {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.accepted)
}

// highest returns the highest fencing number that was accepted.
func (l *orderLog) highest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.highestNumber
}

func (e *Engine) postOrder(_ context.Context, c *app.RequestContext) {
	var order wire.Order
	if err := json.Unmarshal(c.Request.Body(), &order); err != nil || order.Order == "" {
		c.String(400, "bad order: %v", err)
		return
	}
	if reason := e.orders.accept(order, e.Fencing, time.Now()); reason != "" {
		c.Header(wire.NotRunHeader, reason)
		c.String(409, reason)
		return
	}
	c.String(200, "taken")
}
