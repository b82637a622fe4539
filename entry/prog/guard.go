package prog

import (
	"fuchsiashelf.dev/entry/internal/crash"
	"fuchsiashelf.dev/entry/internal/mesh"
	"fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
)

// guard makes the part that stops requests which crash backend servers.
func (d *daemon) guard(holder *view.Publisher, line *trace.Recorder, peers *mesh.Mesh) *crash.Guard {
	g := &crash.Guard{View: holder, Mesh: peers, Engine: &engine.Client{}, Trace: line, Log: d.log}
	peers.HandlePoison = g.HandlePoison
	return g
}
