package relay

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/entry/dialer"
	"fuchsiashelf.dev/parts/retry"
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
	// finished is set when the probe has ended, and then failed if the server did not
	// answer.
	finished, failed atomic.Bool
	// exited is set before if the server's process has ended.
	exited atomic.Bool

	mu sync.Mutex
	// onFinish holds what is called when the probe has ended.
	onFinish []func()
}

// notify calls a function when the probe has ended, unless it has ended already.
func (p *probe) notify(onFinish func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.finished.Load() {
		p.onFinish = append(p.onFinish, onFinish)
	}
}

// finish ends the probe.
func (p *probe) finish(failed bool) {
	p.mu.Lock()
	p.failed.Store(failed)
	p.finished.Store(true)
	notified := p.onFinish
	p.onFinish = nil
	p.mu.Unlock()
	for _, onFinish := range notified {
		onFinish()
	}
}

// probeReuse is how long after its start a probe is shared with other streams.
const probeReuse = 50 * time.Millisecond

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
		ctx, cancel := f.Clock.WithIdleTimeout(context.Background(), retry.ProbeTimeout, nil)
		defer cancel()
		// Only a valid status counts as an answer.
		_, err := f.Engine.Status(ctx, address)
		p.exited.Store(errors.Is(err, dialer.ErrExited))
		p.finish(err != nil)
	}
	if f.ProbePool == nil {
		go send()
		return p
	}
	// If the pool is full, the probe is not sent, and its server does not count
	// as unresponsive.
	if f.ProbePool.Submit(send) != nil {
		p.finish(false)
	}
	return p
}
