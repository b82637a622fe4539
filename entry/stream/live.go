package stream

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/parts/hops"
)

// live is a stream under way.
type live struct {
	job    *call.Job
	cancel context.CancelCauseFunc
	last   atomic.Int64
	began  atomic.Bool

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

func (l *live) touch() {
	l.last.Store(time.Now().UnixNano())
	l.began.Store(true)
}

func (l *live) silence(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - l.last.Load())
}

// silent reports whether the pause since the last event is longer than usual.
func (l *live) silent(now time.Time) bool {
	if l.began.Load() {
		return l.silence(now) > silentEvent
	}
	return l.silence(now) > silentStart
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
