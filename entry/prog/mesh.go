package prog

import (
	"strings"

	"fuchsiashelf.dev/entry/internal/mesh"
	"fuchsiashelf.dev/entry/internal/watch"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
)

// mesh makes the part that joins this entry host to the others.
func (d *daemon) mesh(holder *view.Holder, line *trace.Line, feeder *watch.Watch) (*mesh.Mesh, error) {
	config, err := d.settings.Certs.Client()
	if err != nil {
		return nil, err
	}
	m := &mesh.Mesh{
		View: holder, Trace: line, Log: d.log, Secret: d.settings.PeerSecret, TLS: config,
		Address: d.peers.Addr().String(), Domain: d.settings.Home(),
		Offer:     func(value []byte, _ uint64) { feeder.OfferObject(value) },
		Condition: mesh.Condition{Age: feeder.Age, Heard: feeder.Heard, Primed: feeder.Primed, Take: feeder.OfferObject},
	}
	if d.settings.Seeds != "" {
		m.Seeds = strings.Split(d.settings.Seeds, ",")
		feeder.Seeds = m.Seeds
	}
	m.Make()
	feeder.Peers = m
	return m, nil
}
