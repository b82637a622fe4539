package queue

import "sync"

// Ticket is the capacity that a request has taken. The zero value is that of a request that has
// taken none.
type Ticket struct {
	taken *taken
}

// taken is the state of a ticket.
type taken struct {
	line   *line
	waiter *waiter
	// waited says that the request waited for the capacity.
	waited bool
	// end ends the record of the request in Admission.Shares.
	end  func()
	once sync.Once
}

// Waited reports whether the request waited for the capacity.
func (t Ticket) Waited() bool { return t.taken != nil && t.taken.waited }

// End records that the request has ended and its capacity is free again.
func (t Ticket) End() { t.close(false) }

// Refund is End for a request that was not sent or not executed: its team is not charged for it.
func (t Ticket) Refund() { t.close(true) }

func (t Ticket) close(refund bool) {
	if t.taken == nil {
		return
	}
	t.taken.once.Do(func() {
		t.taken.end()
		t.taken.line.release(t.taken.waiter, refund)
	})
}
