package queue

import (
	"fmt"
	"time"

	"fuchsiashelf.dev/parts/share"
)

const (
	// intervalWeight is the weight of the latest interval in the mean of many.
	intervalWeight = 0.1
	// maxInterval bounds each interval.
	maxInterval = time.Second
)

// pace measures the mean interval between two requests that take capacity while others wait.
// Without waiters it would measure how often requests arrive.
type pace struct {
	// interval is the mean, zero if it is unknown. last is when the latest request took capacity,
	// zero if none has since requests wait.
	interval time.Duration
	last     time.Time
	// count is the number of intervals so far.
	count float64
}

// begin records that a request begins to wait behind the given number of others.
func (p *pace) begin(waiting int) {
	if waiting == 0 {
		p.last = time.Time{}
	}
}

// record records that a request took capacity while the given number waited, itself included.
func (p *pace) record(waiting int, now time.Time) {
	if waiting == 0 {
		return
	}
	if !p.last.IsZero() {
		p.count++
		weight := max(intervalWeight, 1/p.count)
		interval := min(now.Sub(p.last), maxInterval)
		p.interval += time.Duration(weight * float64(interval-p.interval))
	}
	p.last = now
}

// wait returns the expected time until a request behind the given number of others takes capacity;
// zero if it is unknown. The interval that is not over yet counts once it is longer than the mean.
func (p *pace) wait(ahead int, now time.Time) time.Duration {
	mean := p.interval
	if mean > 0 && !p.last.IsZero() {
		mean += max(0, time.Duration(intervalWeight*float64(now.Sub(p.last)-mean)))
	}
	return time.Duration(ahead+1) * mean
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
