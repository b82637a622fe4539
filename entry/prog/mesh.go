package prog

import (
	"strings"

	"fuchsiashelf.dev/entry/internal/mesh"
	"fuchsiashelf.dev/entry/internal/watch"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
)

// mesh makes the part that joins this entry host to the others.
func (d *daemon) mesh(holder *view.Publisher, line *trace.Recorder, feeder *watch.Watcher) (*mesh.Mesh, error) {
	config, err := d.settings.Certs.Client()
	if err != nil {
		return nil, err
	}
	m := &mesh.Mesh{
		View: holder, Trace: line, Log: d.log, Secret: d.settings.PeerSecret, TLS: config,
		Address: d.peers.Addr().String(), Domain: d.settings.LocalDomain(),
		Offer: func(value []byte, _ uint64) { feeder.ApplyEncoded(value) },
		Local: mesh.LocalState{StoreSilence: feeder.Staleness, StoreSeen: feeder.EverConnected, Synced: feeder.HasSynced, Apply: feeder.ApplyEncoded},
	}
	if d.settings.Seeds != "" {
		m.Seeds = strings.Split(d.settings.Seeds, ",")
		feeder.Seeds = m.Seeds
	}
	m.Init()
	feeder.Peers = m
	return m, nil
}
