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

// live is a stream under way.
type live struct {
	job    *call.Job
	cancel context.CancelCauseFunc
	// restart reserves a further run of the request on another chain, and reports
	// whether its route and the budget of repeats allow one. Nil means that none is.
	restart func() bool
	// last is the time of the last event or order of another chain, and usual the mean
	// interval between two events, in nanoseconds.
	last, usual atomic.Int64
	began       atomic.Bool

	mu      sync.Mutex
	chain   router.Chain
	release func()
	busy    bool
	ended   bool
	// repaired is when another chain was last looked for.
	repaired time.Time
	// drained is the address of the server that the stream was last rerouted around.
	drained string
}

const (
	// learnPace is the weight of a new interval in a stream's mean.
	learnPace = 0.2
	// outlier caps a new interval, in means, so that an outage does not shift the
	// mean.
	outlier = 2
)

// touch notes an event and reports whether it is the first one.
func (l *live) touch() (first bool) {
	now := time.Now().UnixNano()
	pause := now - l.last.Swap(now)
	if !l.began.Swap(true) {
		return true
	}
	usual := l.usual.Load()
	if usual == 0 {
		l.usual.Store(pause)
		return false
	}
	l.usual.Store(usual + int64(learnPace*float64(min(pause, outlier*usual)-usual)))
	return false
}

func (l *live) silence(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - l.last.Load())
}

// silent reports whether the time since the last event is longer than expected.
func (l *live) silent(now time.Time) bool {
	if l.began.Load() {
		return l.silence(now) > max(silentEvent(l.job.Route), silentPauses*time.Duration(l.usual.Load()))
	}
	return l.silence(now) > silentStart(l.job.Route)
}

// overdue reports whether no event came for longer than a check of a server may
// take, and than the mean interval. A stream that had one meanwhile works; one whose
// next event is not due yet must not be rerouted for a lost check.
func (l *live) overdue(now time.Time) bool {
	return l.silence(now) > max(probe.MinTimeout, time.Duration(l.usual.Load()))
}

// servers returns the addresses of the chain.
func (l *live) servers() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]string, len(l.chain))
	for i, p := range l.chain {
		list[i] = p.Server.Address
	}
	return list
}

// parts returns the chain.
func (l *live) parts() router.Chain {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.chain
}

// through reports whether a server is part of the chain.
func (l *live) through(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.chain.Has(address)
}

func (l *live) first() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.chain[0].Server.Address
}

// move reserves another chain for the stream. The answer to an order to change its
// chain may arrive after its end; a reservation made then would never be released.
func (l *live) move(ledger *router.LoadTracker, chain router.Chain) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	l.release()
	l.chain = chain
	l.release = ledger.Reserve(chain, tokens(l.job))
}

func tokens(j *call.Job) int {
	return j.PromptTokens + j.ExpectedTokens(j.Service.Engine)
}
