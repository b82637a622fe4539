package slot

import (
	"slices"
	"time"
)

const (
	// recentCalls is the number of calls from which the work is estimated, and fastCalls how
	// many of them count, the fastest ones: a call that waits at a full server takes up to five
	// times as long as it occupies a slot. With the mean of all, waits counted as work, and hosts
	// used 0.75 of the capacity at a demand of 1.5 times as much.
	recentCalls = 12
	fastCalls   = 4
	// The estimate is multiplied by a correction: what calls take may vary, and their fastest are
	// less than the mean. The correction is multiplied by rejectedGrowth each time a server
	// begins to count as full, by acceptedDecay with each accepted call while it is over 1, and
	// by slowDecay while it is below.
	rejectedGrowth = 1.05
	acceptedDecay  = 0.99
	slowDecay      = 0.998
	minCorrection  = 0.8
	maxCorrection  = 8
)

// Duration estimates how long a call occupies a slot, as a moving average. The zero value knows
// no call.
type Duration struct {
	recent     [recentCalls]time.Duration
	count      int
	correction float64
	expected   time.Duration
}

// Record records how long a call took that a server has run.
func (d *Duration) Record(took time.Duration) {
	d.recent[d.count%recentCalls] = took
	d.count++
	switch {
	case d.correction > 1:
		d.correction *= acceptedDecay
	case d.correction > 0:
		d.correction = max(d.correction*slowDecay, minCorrection)
	default:
		d.correction = 1
	}
	d.update()
}

// Reject records that a server which did not count as full rejected a call.
func (d *Duration) Reject() {
	d.correction = min(max(1, d.correction*rejectedGrowth), maxCorrection)
	d.update()
}

// update computes the expected duration.
func (d *Duration) update() {
	sorted := d.recent
	known := sorted[:min(d.count, recentCalls)]
	if len(known) == 0 {
		return
	}
	slices.Sort(known)
	fastest := known[:max(1, len(known)*fastCalls/recentCalls)]
	sum := time.Duration(0)
	for _, took := range fastest {
		sum += took
	}
	d.expected = time.Duration(d.correction * float64(sum) / float64(len(fastest)))
}

// Expected returns the expected duration of a call; zero is unknown.
func (d *Duration) Expected() time.Duration { return d.expected }
