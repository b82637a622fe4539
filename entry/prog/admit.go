package prog

import (
	"fuchsiashelf.dev/entry/internal/edge"
	"fuchsiashelf.dev/entry/internal/mesh"
	"fuchsiashelf.dev/parts/admit"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
)

// admission makes the part that holds requests back when their pool is full,
// and lets it tell the other entry hosts what each team uses here.
func (d *daemon) admission(holder *view.Publisher, line *trace.Recorder, peers *mesh.Mesh) *edge.Admission {
	s := &d.settings.Admit
	a := &edge.Admission{
		View: holder, Trace: line, TargetWait: s.TargetWait,
		Limits:      admit.Limits{MaxWait: s.MaxWait, MaxRequests: s.MaxRequests, MaxBytes: s.MaxBytes, Headroom: s.Reserve, MaxCredit: s.Credit},
		RemoteUsage: peers.TeamRates,
	}
	peers.LocalRates = a.LocalUsage
	return a
}
