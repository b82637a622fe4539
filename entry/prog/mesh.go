package prog

import (
	"strings"

	"fuchsiashelf.dev/entry/internal/feed"
	"fuchsiashelf.dev/entry/internal/mesh"
	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
)

// mesh makes the part that joins this entry host to the others.
func (d *daemon) mesh(holder *view.Holder, line *trace.Line, feeder *feed.Feed) *mesh.Mesh {
	m := &mesh.Mesh{
		View: holder, Trace: line, Log: d.log, Secret: d.settings.PeerSecret,
		Address: d.peers.Addr().String(), Domain: d.settings.Home(),
		Offer: func(value []byte, _ uint64) {
			c, err := conf.Decode(value)
			if err != nil {
				d.log.Error("mesh: configuration unreadable", "err", err)
				return
			}
			feeder.Offer(c)
		},
	}
	if d.settings.Seeds != "" {
		m.Seeds = strings.Split(d.settings.Seeds, ",")
	}
	m.Make()
	return m
}
