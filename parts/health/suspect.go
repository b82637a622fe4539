package health

import "time"

// The shortest and the longest time that a server which failed is avoided.
// The first failure is often a blip, and a pool with few servers needs each;
// one that goes on failing costs a request at each new try.
const (
	avoidBase = 250 * time.Millisecond
	avoidMost = 16 * time.Second
)

// SuspectFor returns how long to avoid a server after so many failures in a row.
// It doubles with each.
func SuspectFor(failures int64) time.Duration {
	d := avoidBase
	for ; failures > 1 && d < avoidMost; failures-- {
		d *= 2
	}
	return min(d, avoidMost)
}

// Eject decides which of the members of a stage to keep requests off. It
// takes the degraded ones, and gives back those to keep off: the first of
// them, and never more than half of the stage, since a stage that is slow as
// a whole has to carry the requests all the same.
func Eject(degraded []int, size int) []int {
	return degraded[:min(len(degraded), size/2)]
}
