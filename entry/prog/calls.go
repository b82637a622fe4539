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

// calls makes the parts that hand calls through to plain services.
func (d *daemon) calls(holder *view.Publisher, line *trace.Recorder, api store.API, peers *mesh.Mesh) *invoke.Forwarder {
	others := &owner.Client{View: holder, Secret: d.settings.PeerSecret, Client: peers.Client}
	p := &invoke.Forwarder{
		View: holder, Trace: line, Log: d.log,
		Claims: &claim.Writer{
			Store: api, Log: d.log, Writes: d.settings.Claims.WriteRate, Done: make(chan struct{}),
		},
		ClaimTerms: d.settings.Claims.Timing,
		Holder:     claim.Holder{Entry: d.settings.Name, Incarnation: rand.Uint64()},
		Started:    time.Now(),
		Signer:     ticket.Signer{Secret: d.settings.PeerSecret},
		Peers:      others,
		Done:       make(chan struct{}),
	}
	others.Pass = p
	peers.Calls = others
	return p
}
