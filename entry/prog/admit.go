package prog

import (
	"fuchsiashelf.dev/entry/internal/edge"
	"fuchsiashelf.dev/entry/internal/mesh"
	"fuchsiashelf.dev/parts/admit"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
)

// newAdmission creates the admission control, which queues requests while their
// pool is full. It learns the usage of each team on the other entry hosts from the
// mesh, and reports the usage on this one to it.
func (d *daemon) newAdmission(publisher *view.Publisher, recorder *trace.Recorder, peers *mesh.Mesh) *edge.Admission {
	s := &d.settings.Admit
	a := &edge.Admission{
		View: publisher, Trace: recorder, TargetWait: s.TargetWait,
		Limits:      admit.Limits{MaxWait: s.MaxWait, MaxRequests: s.MaxRequests, MaxBytes: s.MaxBytes, Headroom: s.Headroom, MaxCredit: s.MaxCredit},
		RemoteRates: peers.RemoteRates,
	}
	peers.LocalRates = a.LocalRates
	return a
}
