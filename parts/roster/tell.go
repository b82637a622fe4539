package roster

import (
	"slices"
	"time"

	"fuchsiashelf.dev/parts/domain"
)

const (
	// maxTold is the number of messages in which a host sends a change. If each host
	// passes a change on to that many others, one in twenty thousand misses it.
	maxTold = 10
	// maxNews is the number of changes in one message. After a start of all hosts each of
	// them is news.
	maxNews = 64
	// firstPerDomain is the number of hosts of each failure domain, the first ones by name,
	// that a message to a new host lists. The leader and the watchers of the object API are
	// chosen from them, which must not wait for news to arrive.
	firstPerDomain = 2
	// sampleOthers is the number of other hosts in a message, chosen at random.
	sampleOthers = 4
	// agreeWithin is how long the digests of all messages may differ before a whole list is
	// asked for: news needs some seconds. listInterval is the shortest interval between two
	// whole lists.
	agreeWithin  = 3 * time.Second
	listInterval = 5 * time.Second
)

// tell marks a member as news.
func (t *Table) tell(e *entry) {
	t.list = nil
	e.told = 0
	if at := slices.Index(t.news, e); at >= 0 {
		t.news = slices.Delete(t.news, at, at+1)
	}
	t.news = slices.Insert(t.news, 0, e)
}

// tellAgain tells once more of a member to hosts that lack the news.
func (t *Table) tellAgain(e *entry) {
	if e.told >= maxTold {
		t.tell(e)
	}
}

// Sample returns the members to list in a message: those of which there is news, and a few
// others. To a new host it begins with the first ones of each failure domain. whole says
// that they are all members.
func (t *Table) Sample(toNew bool, now time.Time) (members []Member, whole bool) {
	t.init()
	s := &sample{table: t, now: now, listed: map[*entry]bool{}}
	if toNew {
		counts := map[domain.Name]int{}
		for _, m := range t.Current(now).Present {
			if counts[m.Domain]++; counts[m.Domain] <= firstPerDomain {
				s.add(t.entries[m.Name])
			}
		}
	}
	t.addNews(s)
	for _, e := range pick(t.order, sampleOthers, t.Random) {
		if !e.removed {
			s.add(e)
		}
	}
	return s.members, len(s.members) >= len(t.Current(now).Members)
}

// sample collects the members of a message.
type sample struct {
	table   *Table
	now     time.Time
	members []Member
	listed  map[*entry]bool
}

// add adds a member unless it is listed already.
func (s *sample) add(e *entry) {
	if s.listed[e] {
		return
	}
	s.listed[e] = true
	s.members = append(s.members, s.table.state(e, s.now))
}

// state returns the state of a member to send. A suspicion that may be due to a partition is
// left out.
func (t *Table) state(e *entry, now time.Time) Member {
	m := *e.Member
	m.Age, m.Suspected, m.Heard = max(1, now.Sub(e.lastHeard)), 0, 0
	if e.heard > m.Seq {
		m.Heard = e.heard
	}
	if t.confirmed(e) {
		m.Suspected = max(1, now.Sub(e.suspectedAt))
	}
	return m
}

// addNews adds the members of which there is news, the latest first, and drops those that
// were told often enough. A suspicion that may be due to a partition
// waits.
func (t *Table) addNews(s *sample) {
	n := min(maxNews, len(t.news))
	told := t.news[:n]
	t.news = slices.Clone(t.news[n:])
	for _, e := range told {
		if e.suspected() && !t.confirmed(e) {
			t.news = append(t.news, e)
			continue
		}
		s.add(e)
		if e.told++; e.told < maxTold {
			t.news = append(t.news, e)
		}
	}
}

// Whole returns all members that are listed.
func (t *Table) Whole(now time.Time) []Member {
	t.init()
	members := make([]Member, 0, len(t.order))
	for _, e := range t.order {
		if !e.removed {
			members = append(members, t.state(e, now))
		}
	}
	return members
}

// State returns the state of a member to send.
func (t *Table) State(name string, now time.Time) (m Member, known bool) {
	e := t.entries[name]
	if e == nil {
		return Member{}, false
	}
	return t.state(e, now), true
}

// Compare records the digest of another host's list.
func (t *Table) Compare(digest uint64, now time.Time) {
	if digest == t.Current(now).Digest || t.agreedAt.IsZero() {
		t.agreedAt = now
	}
}

// TakeWhole reports whether a whole list is to be asked for now, because the lists of other
// hosts have differed for too long, and records that it is.
func (t *Table) TakeWhole(now time.Time) bool {
	if t.agreedAt.IsZero() || now.Sub(t.agreedAt) < agreeWithin || now.Sub(t.wholeAt) < listInterval {
		return false
	}
	t.wholeAt = now
	return true
}
