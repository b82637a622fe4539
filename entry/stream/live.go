package stream

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/parts/hops"
	"fuchsiashelf.dev/parts/probe"
)

// live is a stream under way.
type live struct {
	job    *call.Job
	cancel context.CancelCauseFunc
	// restart reserves a further run of the request on another chain, and reports
	// whether its route and the budget of repeats allow one. Nil means that none is.
	restart func() bool
	// last is when the last event came, or another chain was ordered, and usual
	// the time that usually lies between two events, in nanoseconds.
	last, usual atomic.Int64
	began       atomic.Bool

	mu      sync.Mutex
	chain   hops.Chain
	release func()
	busy    bool
	ended   bool
	// repaired is when another way was last looked for.
	repaired time.Time
	// vacated is the server that the stream was last led round.
	vacated string
}

const (
	// learnPace is the part of a new pause in a stream's usual one.
	learnPace = 0.2
	// outlier is by how many times a pause that is longer than usual counts at
	// most, so that an outage does not pass for the usual pace.
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

// silent reports whether the pause since the last event is longer than usual.
func (l *live) silent(now time.Time) bool {
	if l.began.Load() {
		return l.silence(now) > max(silentEvent(l.job.Route), silentPauses*time.Duration(l.usual.Load()))
	}
	return l.silence(now) > silentStart(l.job.Route)
}

// unheard reports whether no event came for as long as a question to a server
// may take, nor for the usual pause. A stream that had one meanwhile shows that
// it is well; one whose next event is not due yet would be led elsewhere, and its
// tokens read again, for a question that was lost.
func (l *live) unheard(now time.Time) bool {
	return l.silence(now) > max(probe.ShortWait, time.Duration(l.usual.Load()))
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
func (l *live) parts() hops.Chain {
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

// move books another chain for the stream. An order to change its chain may
// come back after its end: booked then, the room would never come free again.
func (l *live) move(ledger *hops.Ledger, chain hops.Chain) {
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
	return j.Prompt + j.Answer(j.Service.Engine)
}
