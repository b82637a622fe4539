package peer

import (
	"slices"
	"time"
)

// Kind is the kind of a mark.
type Kind uint8

// The kinds. Their values are part of the wire protocol.
const (
	// SuspectServer: a backend server failed recently and should be avoided.
	SuspectServer Kind = iota
	// RefusingServer: a backend server replied that it takes no new work.
	RefusingServer
	// PoisonRequest: a request has crashed backend servers.
	PoisonRequest
)

// Mark is a short-lived fact about a backend server or a request.
type Mark struct {
	Kind Kind
	// Name is the name of a server or the fingerprint of a request.
	Name string
	// Until is when the mark expires.
	Until time.Time
	// Count is the number of servers that a request has crashed.
	Count int
}

// maxMarks bounds the stored marks. Those that expire first are evicted
// first.
const maxMarks = 1024

// minMarkExtension is the minimum extension of a mark that counts as a
// change. Renewals extend a mark by more; less is not worth sending to all
// members again.
const minMarkExtension = time.Second

// maxMarkTTL bounds the remaining lifetime of a mark, so that a host whose
// clock is ahead cannot set a mark that never expires.
func maxMarkTTL(k Kind) time.Duration {
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
	sends int
}

// Marks is a set of marks. It does no I/O and is not safe for concurrent use;
// the zero value is empty.
type Marks struct {
	all map[markKey]*markEntry
}

// Add merges a mark and reports whether it changed the set. Of two marks with
// the same kind and name, the later expiry and the higher count win, so the
// order of arrival does not matter.
func (s *Marks) Add(m Mark, now time.Time) bool {
	if limit := now.Add(maxMarkTTL(m.Kind)); m.Until.After(limit) {
		m.Until = limit
	}
	if !now.Before(m.Until) {
		return false
	}
	key := markKey{m.Kind, m.Name}
	old := s.all[key]
	if old != nil && m.Until.Sub(old.Until) < minMarkExtension && m.Count <= old.Count {
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

// evict removes the mark that expires first.
func (s *Marks) evict() {
	var firstKey markKey
	var first *markEntry
	for key, e := range s.all {
		if first == nil || e.Until.Before(first.Until) {
			firstKey, first = key, e
		}
	}
	delete(s.all, firstKey)
}

// Sweep removes expired marks.
func (s *Marks) Sweep(now time.Time) {
	for key, e := range s.all {
		if !now.Before(e.Until) {
			delete(s.all, key)
		}
	}
}

// All returns the marks of a kind that have not expired, by name.
func (s *Marks) All(kind Kind, now time.Time) map[string]Mark {
	marks := map[string]Mark{}
	for key, e := range s.all {
		if key.kind == kind && now.Before(e.Until) {
			marks[key.name] = e.Mark
		}
	}
	return marks
}

// bySends returns the marks in the order in which digests should include
// them: least sent first, then by expiry.
func (s *Marks) bySends() []*markEntry {
	entries := make([]*markEntry, 0, len(s.all))
	for _, e := range s.all {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b *markEntry) int {
		if a.sends != b.sends {
			return a.sends - b.sends
		}
		return a.Until.Compare(b.Until)
	})
	return entries
}
