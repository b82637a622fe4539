package prog

import (
	"fuchsiashelf.dev/entry/internal/gate"
	"fuchsiashelf.dev/parts/admit"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
)

// admission makes the part that holds requests back when their pool is full.
func (d *daemon) admission(holder *view.Holder, line *trace.Line) *gate.Admission {
	s := &d.settings.Admit
	return &gate.Admission{
		View: holder, Trace: line, Target: s.Target,
		Bounds: admit.Bounds{Wait: s.Wait, Requests: s.Requests, Bytes: s.Bytes, Reserve: s.Reserve, Credit: s.Credit},
	}
}
