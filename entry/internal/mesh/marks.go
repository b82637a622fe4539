package mesh

import (
	"maps"
	"time"

	"fuchsiashelf.dev/parts/peer"
	"fuchsiashelf.dev/parts/poison"
	"fuchsiashelf.dev/parts/view"
)

// refusalTTL is the lifetime of a mark that a server takes no new work. The entry
// host that observes the refusal renews the mark; it expires when that entry host
// is gone or the server accepts work again.
const refusalTTL = 10 * time.Second

// syncMarks publishes the marks of this entry host to the others, and writes the
// marks received from them into the snapshot.
func (m *Mesh) syncMarks(now time.Time) {
	m.publishMarks(m.View.Load(), now)
	received := receivedMarks{
		suspectServers:    m.peer.Marks(peer.SuspectServer),
		poisonedRequests:  map[string]peer.Mark{},
		suspectedRequests: map[string]peer.Mark{},
		refusingServers:   map[string]bool{},
	}
	for name, mark := range m.peer.Marks(peer.PoisonRequest) {
		if mark.Count >= poison.MaxCrashes {
			received.poisonedRequests[name] = mark
		} else {
			received.suspectedRequests[name] = mark
		}
	}
	for name := range m.peer.Marks(peer.RefusingServer) {
		received.refusingServers[name] = true
	}
	if !received.changes(m.View.Load()) {
		return
	}
	m.View.Update(func(s *view.Snapshot) {
		s.SuspectedServers = mergeMarks(s.SuspectedServers, received.suspectServers, now)
		s.PoisonedRequests = mergeMarks(s.PoisonedRequests, received.poisonedRequests, now)
		s.SuspectedRequests = mergeMarks(s.SuspectedRequests, received.suspectedRequests, now)
		s.SetCordoned(view.PeerReported, received.refusingServers)
	})
}

// receivedMarks holds received marks by kind.
type receivedMarks struct {
	suspectServers, poisonedRequests, suspectedRequests map[string]peer.Mark
	refusingServers                                     map[string]bool
}

// changes reports whether the snapshot lacks any of the marks, or still has a
// server cordoned by a mark that has expired.
func (r *receivedMarks) changes(snap *view.Snapshot) bool {
	return !maps.Equal(snap.CordonedBy[view.PeerReported], r.refusingServers) ||
		extends(snap.SuspectedServers, r.suspectServers) || extends(snap.PoisonedRequests, r.poisonedRequests) || extends(snap.SuspectedRequests, r.suspectedRequests)
}

// extends reports whether any mark ends later than its time in the map.
func extends(times map[string]time.Time, marks map[string]peer.Mark) bool {
	for name, mark := range marks {
		if mark.Until.After(times[name]) {
			return true
		}
	}
	return false
}

// publishMarks adds marks for the suspected servers of the snapshot, and for the
// servers that this entry host itself has cordoned after a refusal or by the host
// list. It does not renew cordons that peers reported, or two entry hosts would
// renew each other's marks forever.
func (m *Mesh) publishMarks(snap *view.Snapshot, now time.Time) {
	for name, until := range snap.SuspectedServers {
		m.peer.Mark(peer.Mark{Kind: peer.SuspectServer, Name: name, Until: until})
	}
	known := m.peer.Marks(peer.RefusingServer)
	for _, reason := range []view.Reason{view.Refusing, view.HostLeaving} {
		for name := range snap.CordonedBy[reason] {
			if known[name].Until.Sub(now) < refusalTTL/2 {
				m.peer.Mark(peer.Mark{Kind: peer.RefusingServer, Name: name, Until: now.Add(refusalTTL)})
			}
		}
	}
}

// mergeMarks returns a copy of the map without expired entries, updated with the
// marks that end later.
func mergeMarks(times map[string]time.Time, marks map[string]peer.Mark, now time.Time) map[string]time.Time {
	return view.Edit(times, func(m map[string]time.Time) {
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
