package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// prober asks servers whether they are there. One question serves all streams
// that wait for its answer: when a server freezes, hundreds ask at once.
type prober struct {
	mu     sync.Mutex
	latest map[string]*probe
}

// probe is one question.
type probe struct {
	server   string
	at       time.Time
	asked    atomic.Bool
	answered atomic.Bool
}

// probeFresh is how long a question stands for those that come after it.
const probeFresh = 50 * time.Millisecond

// probeTimeout ends a question. It is longer than any wait for an answer.
const probeTimeout = time.Second

// ping asks a server whether it is there, or returns the latest question.
func (r *Forwarder) ping(server, address string) *probe {
	now := time.Now()
	r.asks.mu.Lock()
	defer r.asks.mu.Unlock()
	if p := r.asks.latest[server]; p != nil && now.Sub(p.at) < probeFresh {
		return p
	}
	if r.asks.latest == nil {
		r.asks.latest = map[string]*probe{}
	}
	p := &probe{server: server, at: now}
	r.asks.latest[server] = p
	ask := func() {
		p.asked.Store(true)
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		// Any answer will do: even an error came from a process that runs.
		if _, err := r.Engine.Status(ctx, address); err == nil {
			p.answered.Store(true)
		}
	}
	if r.ProbePool == nil {
		go ask()
		return p
	}
	// With no goroutine free the question is not asked, and nobody is blamed.
	_ = r.ProbePool.Submit(ask)
	return p
}
