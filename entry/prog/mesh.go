package prog

import (
	"strings"

	"fuchsiashelf.dev/entry/internal/mesh"
	"fuchsiashelf.dev/entry/internal/watch"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
)

// newMesh creates the component that exchanges state with the other entry hosts.
func (d *daemon) newMesh(publisher *view.Publisher, recorder *trace.Recorder, watcher *watch.Watcher) (*mesh.Mesh, error) {
	tlsConfig, err := d.settings.Certs.Client()
	if err != nil {
		return nil, err
	}
	m := &mesh.Mesh{
		View: publisher, Trace: recorder, Log: d.log, Secret: d.settings.PeerSecret, TLS: tlsConfig, Clock: d.clock,
		Address: d.peers.Addr().String(), Domain: d.settings.LocalDomain(),
		OnConfig: func(value []byte, _ uint64) { watcher.ApplyEncoded(value) },
		Local:    mesh.LocalState{StoreSilence: watcher.Staleness, StoreSeen: watcher.EverConnected, Synced: watcher.HasSynced, Apply: watcher.ApplyEncoded},
	}
	if d.settings.Seeds != "" {
		m.Seeds = strings.Split(d.settings.Seeds, ",")
		watcher.Seeds = m.Seeds
	}
	m.Init()
	watcher.Peers = m
	return m, nil
}
