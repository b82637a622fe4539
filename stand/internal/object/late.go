package object

import (
	"sync"
	"time"
)

// late carries out changes in order, each after the same time. It makes the
// host list lag behind.
type late struct {
	by time.Duration

	mu      sync.Mutex
	pending []func()
}

func (l *late) do(change func()) {
	if l.by <= 0 {
		change()
		return
	}
	l.mu.Lock()
	l.pending = append(l.pending, change)
	l.mu.Unlock()
	time.AfterFunc(l.by, l.next)
}

// next carries out the oldest change. Timers of equal length may fire out of
// order; the queue keeps the order of the changes.
func (l *late) next() {
	l.mu.Lock()
	defer l.mu.Unlock()
	change := l.pending[0]
	l.pending = l.pending[1:]
	change()
}
