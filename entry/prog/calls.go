package prog

import (
	"math/rand/v2"
	"time"

	"fuchsiashelf.dev/entry/internal/invoke"
	"fuchsiashelf.dev/entry/internal/mesh"
	"fuchsiashelf.dev/entry/internal/owner"
	"fuchsiashelf.dev/parts/claim"
	"fuchsiashelf.dev/parts/store"
	"fuchsiashelf.dev/parts/ticket"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
)

// newForwarder creates the components that forward calls to plain services, or to
// the entry host that owns a call.
func (d *daemon) newForwarder(publisher *view.Publisher, recorder *trace.Recorder, api store.API, peers *mesh.Mesh, dial invoke.DialFunc) *invoke.Forwarder {
	owners := &owner.Client{View: publisher, Secret: d.settings.PeerSecret, NewClient: peers.Client}
	forwarder := &invoke.Forwarder{
		View: publisher, Trace: recorder, Log: d.log,
		Claims: &claim.Writer{
			Store: api, Log: d.log, WriteRate: d.settings.Claims.WriteRate, Done: make(chan struct{}),
		},
		ClaimTiming: d.settings.Claims.Timing,
		Holder:      claim.Holder{Entry: d.settings.Name, Incarnation: rand.Uint64()},
		Started:     time.Now(),
		Signer:      ticket.Signer{Secret: d.settings.PeerSecret},
		Peers:       owners,
		Dial:        dial,
		Done:        make(chan struct{}),
	}
	owners.Forwarder = forwarder
	peers.Calls = owners
	return forwarder
}
