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

// The sizes of the goroutine pools. Probes are short and come in bursts, when
// a server that carries many streams freezes; polls are paced.
const (
	probeWorkers = 256
	pollWorkers  = 32
)

// path is what carries model requests.
type path struct {
	relay           *relay.Forwarder
	poll            *poll.Poller
	probers, askers *ants.Pool
}

// path makes the parts that carry model requests.
func (d *daemon) path(holder *view.Publisher, line *trace.Recorder) (*path, error) {
	policy, err := pick.ParsePolicy(d.settings.Policy)
	if err != nil {
		return nil, err
	}
	probers, err := ants.NewPool(probeWorkers, ants.WithNonblocking(true))
	if err != nil {
		return nil, err
	}
	askers, err := ants.NewPool(pollWorkers)
	if err != nil {
		return nil, err
	}
	client := &engine.Client{}
	return &path{
		relay: &relay.Forwarder{
			View: holder, Engine: client, Trace: line, Log: d.log, Policy: policy, ProbePool: probers,
		},
		poll: &poll.Poller{
			View: holder, Engine: client, Trace: line, Log: d.log, Workers: askers,
			Interval: d.settings.Poll, MaxRate: d.settings.PollRate, Done: make(chan struct{}),
		},
		probers: probers, askers: askers,
	}, nil
}

// release ends the goroutine pools.
func (p *path) release() {
	p.probers.Release()
	p.askers.Release()
}
