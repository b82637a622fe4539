package peer

import (
	"slices"
	"time"
)

// Kind says what a mark is about.
type Kind uint8

// The kinds, as the wire carries them.
const (
	// SuspectServer: a backend server failed lately; avoid it.
	SuspectServer Kind = iota
	// RefusingServer: a backend server answered that it takes no new work.
	RefusingServer
	// PoisonRequest: a request has taken backend servers down.
	PoisonRequest
)

// Mark is a short-lived fact about a backend server or a request.
type Mark struct {
	Kind Kind
	// Name is a server, or the fingerprint of a request.
	Name string
	// Until is when the mark ends.
	Until time.Time
	// Count is how many servers a request has taken down.
	Count int
}

// maxMarks bounds the marks that are kept. Those that end first go first.
const maxMarks = 1024

// markStep is the least growth of an end that counts as news. Whoever renews
// a mark does so by more; less is not worth telling the fleet again.
const markStep = time.Second

// longest bounds the time that a mark from elsewhere may still run, so that a
// host whose clock is ahead marks nothing for ever.
func longest(k Kind) time.Duration {
	if k == PoisonRequest {
		return time.Hour
	}
	return time.Minute
}

type markKey struct {
	kind Kind
	name string
}

type markEntry struct {
	Mark
	sent int
}

// Marks is a set of marks. It is pure and not safe for concurrent use; the
// zero value is empty.
type Marks struct {
	all map[markKey]*markEntry
}

// Add takes a mark and reports whether it is news. Of two marks on one thing
// the longer end and the higher count hold, so the order of arrival does not
// matter.
func (s *Marks) Add(m Mark, now time.Time) bool {
	if limit := now.Add(longest(m.Kind)); m.Until.After(limit) {
		m.Until = limit
	}
	if !now.Before(m.Until) {
		return false
	}
	key := markKey{m.Kind, m.Name}
	old := s.all[key]
	if old != nil && m.Until.Sub(old.Until) < markStep && m.Count <= old.Count {
		return false
	}
	if old != nil {
		m.Count = max(m.Count, old.Count)
		if old.Until.After(m.Until) {
			m.Until = old.Until
		}
	}
	if s.all == nil {
		s.all = map[markKey]*markEntry{}
	}
	if old == nil && len(s.all) >= maxMarks {
		s.evict()
	}
	s.all[key] = &markEntry{Mark: m}
	return true
}

func (s *Marks) evict() {
	var first markKey
	var at *markEntry
	for key, e := range s.all {
		if at == nil || e.Until.Before(at.Until) {
			first, at = key, e
		}
	}
	delete(s.all, first)
}

// Sweep forgets the marks that have ended.
func (s *Marks) Sweep(now time.Time) {
	for key, e := range s.all {
		if !now.Before(e.Until) {
			delete(s.all, key)
		}
	}
}

// All returns the marks of a kind that have not ended, by name.
func (s *Marks) All(kind Kind, now time.Time) map[string]Mark {
	found := map[string]Mark{}
	for key, e := range s.all {
		if key.kind == kind && now.Before(e.Until) {
			found[key.name] = e.Mark
		}
	}
	return found
}

// next returns the marks in the order in which digests should carry them: the
// least told first, then the rest in turns.
func (s *Marks) next() []*markEntry {
	list := make([]*markEntry, 0, len(s.all))
	for _, e := range s.all {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *markEntry) int {
		if a.sent != b.sent {
			return a.sent - b.sent
		}
		return a.Until.Compare(b.Until)
	})
	return list
}
