package prog

import (
	"fuchsiashelf.dev/entry/internal/gate"
	"fuchsiashelf.dev/entry/internal/mesh"
	"fuchsiashelf.dev/parts/admit"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
)

// admission makes the part that holds requests back when their pool is full,
// and lets it tell the other entry hosts what each team uses here.
func (d *daemon) admission(holder *view.Holder, line *trace.Line, peers *mesh.Mesh) *gate.Admission {
	s := &d.settings.Admit
	a := &gate.Admission{
		View: holder, Trace: line, Target: s.Target,
		Bounds: admit.Bounds{Wait: s.Wait, Requests: s.Requests, Bytes: s.Bytes, Reserve: s.Reserve, Credit: s.Credit},
		Others: peers.Rates,
	}
	peers.Usages = a.Usage
	return a
}
