package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// probeCache holds the latest probe of each server. Streams share it: when a
// server freezes, hundreds of them want to probe it at once.
type probeCache struct {
	mu     sync.Mutex
	latest map[string]*probe
}

// probe is a status request that shows whether a server is alive.
type probe struct {
	server    string
	startedAt time.Time
	sent      atomic.Bool
	answered  atomic.Bool
}

// probeReuse is how long after its start a probe is shared with other streams.
const probeReuse = 50 * time.Millisecond

// probeTimeout bounds a probe. It is longer than retry.ProbeTimeout, after which
// a server that has not answered counts as unresponsive.
const probeTimeout = time.Second

// probe starts a probe of a server, or returns the latest one if it is recent.
func (f *Forwarder) probe(server, address string) *probe {
	now := time.Now()
	f.probes.mu.Lock()
	defer f.probes.mu.Unlock()
	if p := f.probes.latest[server]; p != nil && now.Sub(p.startedAt) < probeReuse {
		return p
	}
	if f.probes.latest == nil {
		f.probes.latest = map[string]*probe{}
	}
	p := &probe{server: server, startedAt: now}
	f.probes.latest[server] = p
	send := func() {
		p.sent.Store(true)
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		// Only a valid status counts as an answer.
		if _, err := f.Engine.Status(ctx, address); err == nil {
			p.answered.Store(true)
		}
	}
	if f.ProbePool == nil {
		go send()
		return p
	}
	// If the pool is full, the probe is not sent, and its server does not count
	// as unresponsive.
	_ = f.ProbePool.Submit(send)
	return p
}
