package prog

import (
	"github.com/panjf2000/ants/v2"

	"fuchsiashelf.dev/entry/internal/poll"
	"fuchsiashelf.dev/entry/internal/relay"
	"fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/pick"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
)

// Sizes of the goroutine pools. Probes are short and come in bursts when a server
// with many streams freezes; polls are limited in rate.
const (
	probeWorkers = 256
	pollWorkers  = 32
)

// modelPath holds the components that forward model requests and poll the engines.
type modelPath struct {
	forwarder           *relay.Forwarder
	poller              *poll.Poller
	probePool, pollPool *ants.Pool
}

// newModelPath creates the components that forward model requests and poll the
// engines.
func (d *daemon) newModelPath(publisher *view.Publisher, recorder *trace.Recorder, client *engine.Client, direct func(address string) bool) (*modelPath, error) {
	policy, err := pick.ParsePolicy(d.settings.Policy)
	if err != nil {
		return nil, err
	}
	probePool, err := ants.NewPool(probeWorkers, ants.WithNonblocking(true))
	if err != nil {
		return nil, err
	}
	pollPool, err := ants.NewPool(pollWorkers)
	if err != nil {
		return nil, err
	}
	return &modelPath{
		forwarder: &relay.Forwarder{
			View: publisher, Engine: client, Trace: recorder, Log: d.log, Policy: policy, ProbePool: probePool,
			Clock: d.clock, Direct: direct,
		},
		poller: &poll.Poller{
			View: publisher, Engine: client, Clock: d.clock, Trace: recorder, Log: d.log, Workers: pollPool,
			Interval: d.settings.Poll, MaxRate: d.settings.PollRate, Done: make(chan struct{}),
		},
		probePool: probePool, pollPool: pollPool,
	}, nil
}

// release stops the goroutine pools.
func (p *modelPath) release() {
	p.probePool.Release()
	p.pollPool.Release()
}
