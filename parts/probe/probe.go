// Package probe schedules probes of the backend servers of silent streams and
// interprets the results.
//
// A stream passes through several servers, and if one fails this shows only as
// silence. The first server of the chain reports which server it waits for,
// but these reports are too old to act on. So the servers of a silent stream
// are probed as soon as the gap is longer than usual: the address of a process
// that has ended refuses the connection, a machine that is cut off or has no
// power accepts none, and a paused process does not answer on a connection that
// its kernel has accepted. The servers with the largest share of silent streams
// are probed first.
//
// A single stream counts as silent only after several of its typical gaps. If
// all streams of a server are silent at the same time, the failure shows much
// earlier.
//
// A [Scheduler] is a pure state machine: times are arguments.
package probe

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Interval is the interval between probes of a suspected server, and
	// RecheckInterval that of a server whose state is known.
	Interval        = 20 * time.Millisecond
	RecheckInterval = 300 * time.Millisecond
	// MaxPerSecond limits the probes of one entry host: when every server is
	// slow, all streams are silent at times.
	MaxPerSecond = 60
	// Burst is the number of probes that may be sent at once.
	Burst = 24
	// FailureThreshold is the number of unanswered probes in a row after which
	// a server counts as unreachable. A single one may be a lost packet.
	FailureThreshold = 2
	// forgetAfter is the time after the last probe of a server at which its
	// state is dropped.
	forgetAfter = time.Second
	// minCommonStreams is the minimum number of streams whose common silence
	// counts.
	minCommonStreams = 3
	// minCommonPause is the shortest common silence that counts: a stall of the
	// entry host itself silences all streams for a moment.
	minCommonPause = 40 * time.Millisecond
)

// Stream is a stream in progress.
type Stream struct {
	// Servers are the addresses of the backend servers in its chain.
	Servers []string
	// Silent reports that the stream is silent by itself: its pause is several
	// of its typical gaps.
	Silent bool
	// Pause is the time since the last event, and TypicalGap the usual time
	// between two events, or zero until there were two.
	Pause, TypicalGap time.Duration
}

// State is the state of a probed server.
type State uint8

// The states, from best to worst.
const (
	// Alive means that the server answered.
	Alive State = iota
	// Suspected means that one probe was not answered. Silent streams avoid
	// the server.
	Suspected
	// Silent means that several probes were not answered, but that the server
	// accepted a new connection: its process may be paused, and go on with all
	// its streams.
	Silent
	// Unreachable means that several probes were not answered and no connection
	// was established: the server is cut off from this entry host or without
	// power. Its peers may still reach it.
	Unreachable
	// Exited means that the process has ended: the address refuses connections.
	Exited
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspected:
		return "doubtful"
	case Silent:
		return "silent"
	case Unreachable:
		return "unreachable"
	case Exited:
		return "gone"
	}
	return "unknown"
}

// Failed reports whether a server in this state counts as failed, so that no new
// attempt may start there.
func (s State) Failed() bool {
	return s == Silent || s.Lost()
}

// Lost reports whether a server in this state counts as lost with all that it
// runs and holds. A silent one may go on.
func (s State) Lost() bool {
	return s == Unreachable || s == Exited
}

// Result is what one probe has found.
type Result uint8

// The results of a probe.
const (
	// Answered means that the server answered.
	Answered Result = iota
	// NoAnswer means that the server accepted a new connection and did not
	// answer on it.
	NoAnswer
	// NoConnection means that there was no answer and no evidence that the server
	// accepts connections. An older connection is none: one to a machine without
	// power looks the same.
	NoConnection
	// Refused means that the address refuses connections because the process has
	// ended.
	Refused
)

// State returns the state of a server after several probes of which the last one
// had this result.
func (r Result) State() State {
	switch r {
	case Answered:
		return Alive
	case NoAnswer:
		return Silent
	case NoConnection:
		return Unreachable
	case Refused:
		return Exited
	}
	return Unreachable
}

// Scheduler decides which servers to probe and keeps the state of those it has
// probed. The zero value is ready to use. It is not safe for concurrent use.
type Scheduler struct {
	servers map[string]*serverState
	// tokens is the number of probes that may be sent as of refilledAt.
	tokens     float64
	refilledAt time.Time
}

// serverState is the state of one probed server.
type serverState struct {
	lastProbe time.Time
	inFlight  bool
	failures  int
	state     State
}

// Next returns the addresses to probe now and marks the probes as in flight.
// Each must be followed by one call of Record.
func (s *Scheduler) Next(streams []Stream, now time.Time) []string {
	s.refill(now)
	var addresses []string
	for _, c := range s.candidates(streams) {
		if s.tokens < 1 {
			break
		}
		if s.due(c.address, now) {
			s.servers[c.address].lastProbe = now
			s.servers[c.address].inFlight = true
			s.tokens--
			addresses = append(addresses, c.address)
		}
	}
	return addresses
}

// Record records the result of a probe and returns the state of the server.
func (s *Scheduler) Record(address string, result Result) State {
	st := s.server(address)
	st.inFlight = false
	st.failures++
	st.state = result.State()
	switch {
	case result == Answered:
		st.failures = 0
	case result != Refused && st.failures < FailureThreshold:
		st.state = Suspected
	}
	return st.state
}

// Failing reports whether the last probe of a server was not answered.
func (s *Scheduler) Failing(address string) bool {
	st := s.servers[address]
	return st != nil && st.failures > 0
}

// refill adds the tokens for the time that has passed, and drops the state of
// servers that have not been probed for forgetAfter.
func (s *Scheduler) refill(now time.Time) {
	if s.refilledAt.IsZero() {
		s.tokens, s.refilledAt = Burst, now
	}
	s.tokens = min(Burst, s.tokens+MaxPerSecond*now.Sub(s.refilledAt).Seconds())
	s.refilledAt = now
	for address, st := range s.servers {
		if !st.inFlight && now.Sub(st.lastProbe) > forgetAfter {
			delete(s.servers, address)
		}
	}
}

// due reports whether a server may be probed now.
func (s *Scheduler) due(address string, now time.Time) bool {
	st := s.server(address)
	interval := RecheckInterval
	if st.state == Suspected {
		interval = Interval
	}
	return !st.inFlight && now.Sub(st.lastProbe) >= interval
}

// server returns the state of a server, adding it if needed.
func (s *Scheduler) server(address string) *serverState {
	if s.servers == nil {
		s.servers = map[string]*serverState{}
	}
	st := s.servers[address]
	if st == nil {
		st = &serverState{}
		s.servers[address] = st
	}
	return st
}

// candidate is a server with the streams that pass through it.
type candidate struct {
	address       string
	silent, total int
	// rank orders candidates: servers without a known state come first, and
	// within each group those whose streams are all silent at once.
	rank int
	// gapCount is the number of streams whose typical gap is known, gapSum the
	// sum of these gaps, and shortestPause the shortest time since an event of
	// any of them.
	gapCount      int
	gapSum        time.Duration
	shortestPause time.Duration
}

// add counts a stream that passes through the server.
func (c *candidate) add(s Stream) {
	c.total++
	if s.Silent {
		c.silent++
	}
	if s.TypicalGap <= 0 {
		return
	}
	if c.gapCount == 0 || s.Pause < c.shortestPause {
		c.shortestPause = s.Pause
	}
	c.gapCount++
	c.gapSum += s.TypicalGap
}

// commonSilence reports whether all streams of the server are silent at once:
// even the shortest pause exceeds the mean typical gap by a margin, which is
// larger the fewer the streams are.
func (c *candidate) commonSilence() bool {
	if c.gapCount < minCommonStreams {
		return false
	}
	mean := c.gapSum / time.Duration(c.gapCount)
	return c.shortestPause > max(minCommonPause, mean+mean/time.Duration(c.gapCount))
}

// candidates returns the servers of silent streams in the order in which to
// probe them: by rank, then by the share of their streams that are silent.
func (s *Scheduler) candidates(streams []Stream) []candidate {
	counts := map[string]*candidate{}
	for _, stream := range streams {
		for _, address := range stream.Servers {
			c := counts[address]
			if c == nil {
				c = &candidate{address: address}
				counts[address] = c
			}
			c.add(stream)
		}
	}
	var list []candidate
	for _, c := range counts {
		if c.silent == 0 && !c.commonSilence() {
			continue
		}
		if st := s.servers[c.address]; st != nil && st.state != Suspected {
			c.rank += 2
		}
		if !c.commonSilence() {
			c.rank++
		}
		list = append(list, *c)
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.rank, b.rank),
			-cmp.Compare(a.silent*b.total, b.silent*a.total),
			-cmp.Compare(a.silent, b.silent),
			cmp.Compare(a.address, b.address),
		)
	})
	return list
}
