package health

import "time"

// The shortest and the longest time that a server is suspected after failures.
// The first failure is often transient, and a small pool needs every server; a
// server that keeps failing fails one request each time that it is used again.
const (
	minSuspicion = 250 * time.Millisecond
	maxSuspicion = 16 * time.Second
)

// SuspectFor returns how long a server is suspected after the given number of
// failures in a row. The time doubles with each failure.
func SuspectFor(failures int64) time.Duration {
	d := minSuspicion
	for ; failures > 1 && d < maxSuspicion; failures-- {
		d *= 2
	}
	return min(d, maxSuspicion)
}

// Eject returns which of the degraded members of a stage to eject: the first
// of them, but at most half of the stage, since a stage that is slow as a
// whole still has to serve the requests.
func Eject(degraded []int, size int) []int {
	return degraded[:min(len(degraded), size/2)]
}
