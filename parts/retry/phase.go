package retry

import "time"

// Phase is the state of failure detection for a chain that sends no tokens.
type Phase uint8

// The phases, in order. A token resets the phase to Healthy.
const (
	// Healthy: the chain is not late.
	Healthy Phase = iota
	// Probing: the chain is late, and its servers are being probed.
	Probing
	// Stalled: all probed servers answer; a link may have failed, or the chain is
	// slow.
	Stalled
	// Failed: the chain has failed.
	Failed
)

// ProbeTimeout is how long a server may take to answer a probe.
const ProbeTimeout = 150 * time.Millisecond

// Next returns the phase of a chain that has sent nothing for the idle time, and how
// long to wait before the next check. ProbesAnswered reports whether every probed
// server has answered.
//
// A server that hangs keeps its connections open, so only its silence shows the
// failure. With silence alone it would take long to distinguish a failure from a slow
// chain; a server that does not even answer a probe fails its chain early.
func (t Timeouts) Next(idle time.Duration, probesAnswered bool) (Phase, time.Duration) {
	probeEnd := t.Probe + ProbeTimeout
	failure := max(t.Failure, probeEnd)
	switch {
	case idle < t.Probe:
		return Healthy, t.Probe - idle
	case idle < probeEnd:
		return Probing, probeEnd - idle
	case !probesAnswered || idle >= failure:
		return Failed, 0
	}
	return Stalled, failure - idle
}
