package prog

import (
	"fuchsiashelf.dev/entry/internal/crash"
	"fuchsiashelf.dev/entry/internal/mesh"
	"fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
)

// newGuard creates the component that blocks poisoned requests, which crash
// backend servers.
func (d *daemon) newGuard(publisher *view.Publisher, recorder *trace.Recorder, peers *mesh.Mesh, client *engine.Client) *crash.Guard {
	guard := &crash.Guard{View: publisher, Mesh: peers, Engine: client, Trace: recorder, Log: d.log, Clock: d.clock}
	peers.HandlePoison = guard.HandlePoison
	return guard
}
