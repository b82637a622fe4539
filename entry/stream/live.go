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
