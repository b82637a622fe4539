package retry

import "time"

// Phase is how far a silent chain is from counting as failed.
type Phase uint8

// The phases, in order. A token leads back to Listening.
const (
	// Healthy: the chain is as usual.
	Healthy Phase = iota
	// Probing: it is late, and its servers are asked whether they are there.
	Probing
	// Stalled: all of them answer; it may be a link, or the chain is slow.
	Stalled
	// Failed: the chain has failed.
	Failed
)

// ProbeTimeout is how long a server may take to say that it is there.
const ProbeTimeout = 150 * time.Millisecond

// Next returns the phase of a chain that has sent nothing for the idle time,
// and how long to wait before the next look. There says that each server that
// was asked has answered.
//
// A server that hangs keeps its connections open, so that nothing but the
// silence tells of it. Silence alone would have to last long to be told from
// a slow chain; a server that does not even answer a probe is given up early.
func (l Timeouts) Next(idle time.Duration, there bool) (Phase, time.Duration) {
	judged := l.Probe + ProbeTimeout
	silent := max(l.Failure, judged)
	switch {
	case idle < l.Probe:
		return Healthy, l.Probe - idle
	case idle < judged:
		return Probing, judged - idle
	case !there || idle >= silent:
		return Failed, 0
	}
	return Stalled, silent - idle
}
