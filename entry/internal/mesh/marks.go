package mesh

import (
	"time"

	"fuchsiashelf.dev/parts/peer"
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
	suspects := m.peer.Marks(peer.SuspectServer)
	poison := m.peer.Marks(peer.PoisonRequest)
	refusing := map[string]bool{}
	for name := range m.peer.Marks(peer.RefusingServer) {
		refusing[name] = true
	}
	if !m.marksNew(m.View.Load(), suspects, poison, refusing) {
		return
	}
	m.View.Update(func(s *view.Snapshot) {
		s.Suspects = later(s.Suspects, suspects, now)
		s.Poison = later(s.Poison, poison, now)
		s.SetOut(view.PeerWord, refusing)
	})
}

// tellMarks marks what this entry host itself has seen. What it has only been
// told is not told on as its own, or a word would keep itself alive.
func (m *Mesh) tellMarks(snap *view.Snapshot, now time.Time) {
	for name, until := range snap.Suspects {
		m.peer.Mark(peer.Mark{Kind: peer.SuspectServer, Name: name, Until: until})
	}
	known := m.peer.Marks(peer.RefusingServer)
	for _, source := range []view.Reason{view.Refusing, view.HostLeaving} {
		for name := range snap.Outs[source] {
			if known[name].Until.Sub(now) < refusingFor/2 {
				m.peer.Mark(peer.Mark{Kind: peer.RefusingServer, Name: name, Until: now.Add(refusingFor)})
			}
		}
	}
}

// marksNew reports whether the snapshot lacks any of the marks, or holds a
// peer's word that has ended.
func (m *Mesh) marksNew(snap *view.Snapshot, suspects, poison map[string]peer.Mark, refusing map[string]bool) bool {
	for name, mark := range suspects {
		if mark.Until.After(snap.Suspects[name]) {
			return true
		}
	}
	for name, mark := range poison {
		if mark.Until.After(snap.Poison[name]) {
			return true
		}
	}
	out := snap.Outs[view.PeerWord]
	if len(out) != len(refusing) {
		return true
	}
	for name := range refusing {
		if !out[name] {
			return true
		}
	}
	return false
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
