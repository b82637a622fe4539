package mesh

import (
	"time"

	"fuchsiashelf.dev/parts/peer"
	"fuchsiashelf.dev/parts/view"
)

// takeMarks writes marks that peers told of into the snapshot.
func (m *Mesh) takeMarks(marks []peer.Mark) {
	m.View.Update(func(s *view.Snapshot) {
		for _, mark := range marks {
			switch mark.Kind {
			case peer.SuspectServer:
				s.Suspects = later(s.Suspects, mark)
			case peer.RefusingServer:
			case peer.PoisonRequest:
				s.Poison = later(s.Poison, mark)
			}
		}
	})
}

// later returns the map with the mark's time, unless it holds a later one.
func later(old map[string]time.Time, mark peer.Mark) map[string]time.Time {
	if !mark.Until.After(old[mark.Name]) {
		return old
	}
	return view.Edit(old, func(m map[string]time.Time) { m[mark.Name] = mark.Until })
}
