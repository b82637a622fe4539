package stream

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/parts/probe"
	"fuchsiashelf.dev/parts/router"
	"fuchsiashelf.dev/parts/stall"
)

// activeStream is a stream in progress.
type activeStream struct {
	job *call.Job
	// ctx ends with the attempt, and with it all that is done for the attempt.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// replace begins another attempt of the request beside this one, if it can, and reports false if
	// a later try may succeed. It may block while servers are probed.
	replace func(replacement) (done bool)
	// clock distinguishes the silence of servers from stalls of this process.
	clock *stall.Clock
	// startedAt is when the attempt started.
	startedAt time.Time
	// lastActivity is the time of the last event or reroute on the clock, in Unix
	// nanoseconds, and meanGap the mean gap between two events, in nanoseconds.
	lastActivity, meanGap atomic.Int64
	// started is set by the first event, and ending when the attempt has been ended because its
	// first server has exited.
	started, ending atomic.Bool
	// answered says that a server has begun to answer the request, and more followed.
	answered atomic.Bool
	// direct says that the request was sent on a direct connection.
	direct atomic.Bool

	mu           sync.Mutex
	chain        router.Chain
	releaseChain func()
	rerouting    bool
	ended        bool
	// lastSearch is when the last search for another chain ended, and lastReplace when the last
	// search for another attempt began.
	lastSearch, lastReplace time.Time
	// drainedFrom is the address of the last server that the stream was rerouted
	// around because the server drains or is about to load layers.
	drainedFrom string
}

const (
	// gapWeight is the weight of a new gap in the mean gap of a stream.
	gapWeight = 0.2
	// maxGapRatio caps a new gap, as a multiple of the mean, so that an outage does
	// not shift the mean.
	maxGapRatio = 2
)

// recordEvent records an event and reports whether it is the first one, and whether it shows
// that the servers survive to answer the request.
func (s *activeStream) recordEvent() (first, answered bool) {
	gap := s.recordActivity()
	if !s.started.Swap(true) {
		return true, false
	}
	s.recordGap(gap)
	return false, !s.answered.Swap(true)
}

// recordGap adds a gap between two events, in nanoseconds, to the mean.
func (s *activeStream) recordGap(gap int64) {
	mean := s.meanGap.Load()
	if mean == 0 {
		s.meanGap.Store(gap)
		return
	}
	s.meanGap.Store(mean + int64(gapWeight*float64(min(gap, maxGapRatio*mean)-mean)))
}

// recordActivity records an event or a reroute, and returns the time since the last one
// in nanoseconds.
func (s *activeStream) recordActivity() int64 {
	now := s.clock.Now().UnixNano()
	return now - s.lastActivity.Swap(now)
}

// silence returns how long this process has waited for the next event.
func (s *activeStream) silence() time.Duration {
	return time.Duration(s.clock.Now().UnixNano() - s.lastActivity.Load())
}

// silent reports whether the time since the last event is longer than expected.
func (s *activeStream) silent() bool {
	if s.started.Load() {
		return s.silence() > max(silentTimeout(s.job.Route), silentGaps*time.Duration(s.meanGap.Load()))
	}
	return s.silence() > silentStartTimeout(s.job.Route)
}

// overdue reports whether the time since the last event exceeds both the timeout of
// a short probe and the mean gap. An event during the probe shows that the stream is
// still served, and a stream whose next event is not due yet must not be rerouted
// because of a lost probe.
func (s *activeStream) overdue() bool {
	return s.silence() > max(probe.MinTimeout, time.Duration(s.meanGap.Load()))
}

// addresses returns the addresses of the servers of the chain.
func (s *activeStream) addresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]string, len(s.chain))
	for i, stage := range s.chain {
		list[i] = stage.Server.Address
	}
	return list
}

func (s *activeStream) currentChain() router.Chain {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chain
}

// left reports whether the attempt has ended or its caller has left.
func (s *activeStream) left() bool { return s.job.Caller.Left() || s.ctx.Err() != nil }

// uses reports whether a server is part of the chain.
func (s *activeStream) uses(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chain.Has(address)
}

func (s *activeStream) firstAddress() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chain[0].Server.Address
}

// beginReplace reports whether another attempt may be sought for the stream, which happens
// once in searchInterval.
func (s *activeStream) beginReplace(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastReplace) < searchInterval {
		return false
	}
	s.lastReplace = now
	return true
}

// switchChain releases the chain of the stream and reserves another one. It does
// nothing once the stream has ended, because the response to an order to reroute may
// arrive later, and a reservation made then would never be released.
func (s *activeStream) switchChain(load *router.LoadTracker, chain router.Chain) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.releaseChain()
	s.chain = chain
	s.releaseChain = load.Reserve(chain, totalTokens(s.job))
}

func totalTokens(job *call.Job) int {
	return job.PromptTokens + job.ExpectedTokens(job.Service.Engine)
}
