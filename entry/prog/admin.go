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

// adminWorkers limits the concurrent requests to other entry hosts on behalf of
// operators.
const adminWorkers = 128

// newAdmin creates the components that receive the commands of operators and
// apply them here and on the other entry hosts.
func (d *daemon) newAdmin(publisher *view.Publisher, recorder *trace.Recorder, api store.API) (*watch.Watcher, *mesh.Mesh, *admin.Server, error) {
	workers, err := ants.NewPool(adminWorkers)
	if err != nil {
		return nil, nil, nil, err
	}
	watcher := watch.New()
	watcher.Store, watcher.View, watcher.Trace, watcher.Log = api, publisher, recorder, d.log
	watcher.Secret = d.settings.PeerSecret
	peers, err := d.newMesh(publisher, recorder, watcher)
	if err != nil {
		return nil, nil, nil, err
	}
	server := &admin.Server{
		View: publisher, Store: api, Watch: watcher, Mesh: peers,
		Trace: recorder, Log: d.log, Secret: d.settings.DeskSecret, Workers: workers,
		MaxCallTime: d.settings.Claims.MaxDeadline,
	}
	return watcher, peers, server, nil
}

// readyFunc returns a function that reports whether the load balancer may send
// callers to this entry host.
func (d *daemon) readyFunc(watcher *watch.Watcher) func() bool {
	return func() bool { return !d.stopping.Load() && watcher.HasSynced() }
}
