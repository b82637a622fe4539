package queue

import (
	"fmt"
	"math"
	"time"

	"fuchsiashelf.dev/parts/share"
)

// paceWindow is the time over which the interval is averaged. Streams that began together end
// together, so that a mean of the latest few would follow each burst.
const paceWindow = 2 * time.Second

// pace measures the mean interval between two requests that take capacity while others wait.
// Without waiters it would measure how often requests arrive.
type pace struct {
	// since is when the interval that is not over yet began: when the latest request took capacity,
	// or when requests began to wait. partial says that it is the latter.
	since   time.Time
	partial bool
	// intervals is the number of intervals, and total their sum in seconds, both decayed
	// exponentially.
	intervals, total float64
}

// begin records that a request begins to wait behind the given number of others.
func (p *pace) begin(waiting int, now time.Time) {
	if waiting == 0 {
		p.since, p.partial = now, true
	}
}

// record records that a request took capacity while the given number waited, itself included.
func (p *pace) record(waiting int, now time.Time) {
	if waiting == 0 {
		return
	}
	if !p.partial {
		p.add(now.Sub(p.since).Seconds(), 1)
	}
	p.since, p.partial = now, false
}

// add adds a time in which the given number of intervals ended.
func (p *pace) add(seconds, intervals float64) {
	decay := math.Exp(-seconds / paceWindow.Seconds())
	p.intervals = p.intervals*decay + intervals
	p.total = p.total*decay + seconds
}

// mean returns the mean interval in seconds, zero if it is unknown.
func (p *pace) mean() float64 {
	if p.intervals == 0 {
		return 0
	}
	return p.total / p.intervals
}

// wait returns the expected time until a request behind the given number of others takes capacity;
// zero if it is unknown. The interval that is not over yet counts once it is longer than the mean: the
// mean may be of an earlier overload, and the capacity gone since.
func (p *pace) wait(ahead int, now time.Time) time.Duration {
	mean := p.mean()
	if elapsed := now.Sub(p.since).Seconds(); elapsed > mean {
		longer := *p
		longer.add(elapsed-mean, 0)
		mean = longer.mean()
	}
	return time.Duration(float64(ahead+1) * mean * float64(time.Second))
}

// recentSize is how many of the latest requests are remembered.
const recentSize = 32

// recent holds the classes of the latest requests that took capacity, for logs.
type recent struct {
	classes [recentSize]share.Class
	// count is the number of requests so far.
	count uint64
}

func (r *recent) add(c share.Class) {
	r.classes[r.count%recentSize] = c
	r.count++
}

// since returns the requests, by class, that took capacity after the given number of others.
func (r *recent) since(count uint64) map[string]int {
	if r.count-count > recentSize {
		count = r.count - recentSize
	}
	passed := map[string]int{}
	for ; count < r.count; count++ {
		c := r.classes[count%recentSize]
		passed[fmt.Sprintf("%s/%d", c.Team, c.Rank)]++
	}
	return passed
}
