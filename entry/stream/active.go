package stream

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/parts/probe"
	"fuchsiashelf.dev/parts/router"
)

// activeStream is a stream under way.
type activeStream struct {
	job    *call.Job
	cancel context.CancelCauseFunc
	// reserveRestart reserves a further run of the request on another chain, and reports
	// whether its route and the budget of repeats allow one. Nil means that none is.
	reserveRestart func() bool
	// lastActivity is the time of the lastActivity event or order of another chain, and meanInterval the mean
	// interval between two events, in nanoseconds.
	lastActivity, meanInterval atomic.Int64
	started                    atomic.Bool

	mu           sync.Mutex
	chain        router.Chain
	releaseChain func()
	rerouting    bool
	ended        bool
	// lastReroute is when another chain was last looked for.
	lastReroute time.Time
	// drainedFrom is the address of the server that the stream was last rerouted around.
	drainedFrom string
}

const (
	// intervalWeight is the weight of a new interval in a stream's mean.
	intervalWeight = 0.2
	// maxIntervalRatio caps a new interval, in means, so that an outage does not shift the
	// mean.
	maxIntervalRatio = 2
)

// recordEvent notes an event and reports whether it is the first one.
func (s *activeStream) recordEvent() (first bool) {
	now := time.Now().UnixNano()
	interval := now - s.lastActivity.Swap(now)
	if !s.started.Swap(true) {
		return true
	}
	mean := s.meanInterval.Load()
	if mean == 0 {
		s.meanInterval.Store(interval)
		return false
	}
	s.meanInterval.Store(mean + int64(intervalWeight*float64(min(interval, maxIntervalRatio*mean)-mean)))
	return false
}

func (s *activeStream) silence(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - s.lastActivity.Load())
}

// silent reports whether the time since the last event is longer than expected.
func (s *activeStream) silent(now time.Time) bool {
	if s.started.Load() {
		return s.silence(now) > max(silentTimeout(s.job.Route), silentIntervals*time.Duration(s.meanInterval.Load()))
	}
	return s.silence(now) > silentStartTimeout(s.job.Route)
}

// overdue reports whether no event came for longer than a check of a server may
// take, and than the mean interval. A stream that had one meanwhile works; one whose
// next event is not due yet must not be rerouted for a lost check.
func (s *activeStream) overdue(now time.Time) bool {
	return s.silence(now) > max(probe.MinTimeout, time.Duration(s.meanInterval.Load()))
}

// addresses returns the addresses of the chain.
func (s *activeStream) addresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]string, len(s.chain))
	for i, stage := range s.chain {
		list[i] = stage.Server.Address
	}
	return list
}

// currentChain returns the chain.
func (s *activeStream) currentChain() router.Chain {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chain
}

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

// switchChain reserves another chain for the stream. The answer to an order to change its
// chain may arrive after its end; a reservation made then would never be released.
func (s *activeStream) switchChain(ledger *router.LoadTracker, chain router.Chain) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.releaseChain()
	s.chain = chain
	s.releaseChain = ledger.Reserve(chain, totalTokens(s.job))
}

func totalTokens(job *call.Job) int {
	return job.PromptTokens + job.ExpectedTokens(job.Service.Engine)
}
