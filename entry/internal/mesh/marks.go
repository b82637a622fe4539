package mesh

import (
	"maps"
	"time"

	"fuchsiashelf.dev/parts/peer"
	"fuchsiashelf.dev/parts/poison"
	"fuchsiashelf.dev/parts/view"
)

// refusingFor is how long the word that a server takes no new work holds. It
// is renewed while its source says so, and ends by itself when that entry host
// is gone or the server is back.
const refusingFor = 10 * time.Second

// foldMarks tells the other entry hosts what this one has found out about
// servers, and writes what they told into the snapshot.
func (m *Mesh) foldMarks(now time.Time) {
	m.tellMarks(m.View.Load(), now)
	told := toldMarks{
		suspects:  m.peer.Marks(peer.SuspectServer),
		poison:    map[string]peer.Mark{},
		suspected: map[string]peer.Mark{},
		refusing:  map[string]bool{},
	}
	for name, mark := range m.peer.Marks(peer.PoisonRequest) {
		if mark.Count >= poison.MaxCrashes {
			told.poison[name] = mark
		} else {
			told.suspected[name] = mark
		}
	}
	for name := range m.peer.Marks(peer.RefusingServer) {
		told.refusing[name] = true
	}
	if !told.news(m.View.Load()) {
		return
	}
	m.View.Update(func(s *view.Snapshot) {
		s.SuspectedServers = later(s.SuspectedServers, told.suspects, now)
		s.PoisonedRequests = later(s.PoisonedRequests, told.poison, now)
		s.SuspectedRequests = later(s.SuspectedRequests, told.suspected, now)
		s.SetCordoned(view.PeerReported, told.refusing)
	})
}

// toldMarks holds the marks by what they are about.
type toldMarks struct {
	suspects, poison, suspected map[string]peer.Mark
	refusing                    map[string]bool
}

// news reports whether the snapshot lacks any of the marks, or holds a peer's
// word that has ended.
func (t *toldMarks) news(snap *view.Snapshot) bool {
	return !maps.Equal(snap.CordonedBy[view.PeerReported], t.refusing) ||
		grows(snap.SuspectedServers, t.suspects) || grows(snap.PoisonedRequests, t.poison) || grows(snap.SuspectedRequests, t.suspected)
}

func grows(old map[string]time.Time, marks map[string]peer.Mark) bool {
	for name, mark := range marks {
		if mark.Until.After(old[name]) {
			return true
		}
	}
	return false
}

// tellMarks marks what this entry host itself has seen. What it has only been
// told is not told on as its own, or a word would keep itself alive.
func (m *Mesh) tellMarks(snap *view.Snapshot, now time.Time) {
	for name, until := range snap.SuspectedServers {
		m.peer.Mark(peer.Mark{Kind: peer.SuspectServer, Name: name, Until: until})
	}
	known := m.peer.Marks(peer.RefusingServer)
	for _, source := range []view.Reason{view.Refusing, view.HostLeaving} {
		for name := range snap.CordonedBy[source] {
			if known[name].Until.Sub(now) < refusingFor/2 {
				m.peer.Mark(peer.Mark{Kind: peer.RefusingServer, Name: name, Until: now.Add(refusingFor)})
			}
		}
	}
}

// later returns the map with the marks' times where they are later, and
// without those that have ended.
func later(old map[string]time.Time, marks map[string]peer.Mark, now time.Time) map[string]time.Time {
	return view.Edit(old, func(m map[string]time.Time) {
		for name, until := range m {
			if !now.Before(until) {
				delete(m, name)
			}
		}
		for name, mark := range marks {
			if mark.Until.After(m[name]) {
				m[name] = mark.Until
			}
		}
	})
}
