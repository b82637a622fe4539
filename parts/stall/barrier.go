package stall

import (
	"os"
	"time"
)

const (
	// maxDelay is how long a barrier may take in a process that runs. One that takes
	// longer is repeated.
	maxDelay = 25 * time.Millisecond
	// maxBarriers bounds how often a barrier is repeated, so that failures are noticed on
	// a host that always lacks processor time.
	maxBarriers = 8
)

// barrier waits until this process has read what had arrived before it was sent.
type barrier struct {
	sentAt time.Time
	// count is how often the barrier was sent.
	count  int
	passed func()
}

// barriers sends barriers over a pipe, which the poller of the runtime watches like the
// connections to others. The mutex of the clock guards it.
type barriers struct {
	pipe *os.File
	// sent are the barriers of the byte that is in the pipe, and next those that wait
	// for the byte after it.
	sent, next []*barrier
}

// AfterReads calls a function once this process has read what had arrived before, or at
// once while Run does not run. It does not wait for that.
func (c *Clock) AfterReads(passed func()) {
	if c == nil {
		passed()
		return
	}
	c.send(&barrier{passed: passed})
}

// AfterRound is like AfterReads, but does not repeat a barrier that takes long: everything that had
// arrived when it was called has been read once.
func (c *Clock) AfterRound(passed func()) {
	if c == nil {
		passed()
		return
	}
	c.send(&barrier{passed: passed, count: maxBarriers})
}

func (c *Clock) send(b *barrier) {
	b.sentAt = time.Now()
	b.count++
	c.mu.Lock()
	running := c.barriers.pipe != nil
	if running {
		c.barriers.next = append(c.barriers.next, b)
		c.barriers.flush()
	}
	c.mu.Unlock()
	if !running {
		b.passed()
	}
}

// flush writes a byte for the barriers that wait, unless there is one in the pipe. If it
// cannot be written, the reader ends and passes all barriers.
func (b *barriers) flush() {
	if len(b.sent) > 0 || len(b.next) == 0 {
		return
	}
	b.sent, b.next = b.next, nil
	if _, err := b.pipe.Write([]byte{0}); err != nil {
		_ = b.pipe.Close()
	}
}

// take returns the barriers of the byte that was read; all of them at the end.
func (c *Clock) take(atEnd bool) []*barrier {
	c.mu.Lock()
	defer c.mu.Unlock()
	arrived := c.barriers.sent
	c.barriers.sent = nil
	if atEnd {
		arrived = append(arrived, c.barriers.next...)
		c.barriers = barriers{}
		return arrived
	}
	c.barriers.flush()
	return arrived
}

// passBarriers passes the barriers whose byte arrives, until the pipe is closed.
func (c *Clock) passBarriers(r *os.File) {
	defer r.Close()
	for one := make([]byte, 1); ; {
		_, err := r.Read(one)
		now := time.Now()
		for _, b := range c.take(err != nil) {
			took := now.Sub(b.sentAt)
			if err == nil && took > maxDelay && b.count < maxBarriers {
				c.send(b)
				continue
			}
			b.passed()
		}
		if err != nil {
			return
		}
	}
}
