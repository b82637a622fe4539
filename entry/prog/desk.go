package prog

import (
	"github.com/panjf2000/ants/v2"

	"fuchsiashelf.dev/entry/internal/admin"
	"fuchsiashelf.dev/entry/internal/mesh"
	"fuchsiashelf.dev/entry/internal/watch"
	"fuchsiashelf.dev/parts/store"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
)

// seatWorkers bounds the questions that the operators' lines have out to
// other entry hosts at one time.
const seatWorkers = 128

// deskParts makes the parts that put the operators' lines in force.
func (d *daemon) deskParts(holder *view.Publisher, line *trace.Recorder, api store.API) (*watch.Watcher, *mesh.Mesh, *admin.Server, error) {
	workers, err := ants.NewPool(seatWorkers)
	if err != nil {
		return nil, nil, nil, err
	}
	feeder := watch.New()
	feeder.Store, feeder.View, feeder.Trace, feeder.Log = api, holder, line, d.log
	feeder.Secret = d.settings.PeerSecret
	peers, err := d.mesh(holder, line, feeder)
	if err != nil {
		return nil, nil, nil, err
	}
	desk := &admin.Server{
		View: holder, Store: api, Watch: feeder, Mesh: peers,
		Trace: line, Log: d.log, Secret: d.settings.DeskSecret, Workers: workers,
		MaxCallTime: d.settings.Claims.MaxDeadline,
	}
	return feeder, peers, desk, nil
}

// ready says whether the balancer may send callers here.
func (d *daemon) ready(feeder *watch.Watcher) func() bool {
	return func() bool { return !d.stopping.Load() && feeder.HasSynced() }
}
