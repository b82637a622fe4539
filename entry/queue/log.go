package queue

import (
	"sync"
	"time"

	"fuchsiashelf.dev/parts/share"
)

// logInterval is the shortest interval between two lines with the same message and class.
const logInterval = time.Second

// subject is what lines are limited by.
type subject struct {
	message string
	class   share.Class
}

// limiter limits log lines.
type limiter struct {
	mu   sync.Mutex
	last map[subject]time.Time
}

// allow reports whether a line may be logged.
func (l *limiter) allow(s subject, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if last, logged := l.last[s]; logged && now.Sub(last) < logInterval {
		return false
	}
	if l.last == nil {
		l.last = map[subject]time.Time{}
	}
	l.last[s] = now
	return true
}

// sweep drops what limits no line any more.
func (l *limiter) sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s, last := range l.last {
		if now.Sub(last) >= logInterval {
			delete(l.last, s)
		}
	}
}

func (l *line) logRefused(w *waiter, why reason, ahead int, after time.Duration, now time.Time) {
	const message = "queue: refused"
	if c := w.request.Class; l.logged.allow(subject{message, c}, now) {
		l.Log.Info(message, "service", c.Service, "team", c.Team, "rank", c.Rank, "reason", why, "ahead", ahead, "waiting", l.length(), "after", after)
	}
}

// waitedMessage is the message of a line about a request that waited.
const waitedMessage = "queue: waited"

// logWaited logs who was served before a request that waited: the number of requests by team and
// rank.
func (l *line) logWaited(w *waiter, passed map[string]int, now time.Time) {
	c := w.request.Class
	l.Log.Info(waitedMessage, "service", c.Service, "team", c.Team, "rank", c.Rank, "waited", now.Sub(w.Arrived), "passed", passed)
}
