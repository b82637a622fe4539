package roster

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"fuchsiashelf.dev/parts/domain"
)

// List is the list of the other entry hosts at one time. It is immutable. Age and Suspected
// of its members are those of the messages that the members were known from.
type List struct {
	// Members holds the members that are listed, ordered by name: all except those that
	// left or became absent more than RemoveAfter ago.
	Members []*Member
	// Present holds those of them that are neither absent nor leaving.
	Present []*Member
	// Responsive holds those present whose roles need not be taken over.
	Responsive []*Member
	// Senders holds the names of the members that may send requests to servers.
	Senders []string
	// ByDomain is the number of hosts present by failure domain, this one included.
	ByDomain map[domain.Name]int
	// Digest is a hash of the names and incarnations of the hosts listed that do not leave,
	// this one included.
	Digest uint64
	// local and remote hold the addresses of the members of the own failure domain and of
	// others.
	local, remote []string
}

// Current returns the list at a time.
func (t *Table) Current(now time.Time) *List {
	t.init()
	if t.list != nil && now.Before(t.listUntil) {
		return t.list
	}
	n := len(t.order)
	l := &List{
		Members: make([]*Member, 0, n), Present: make([]*Member, 0, n), Responsive: make([]*Member, 0, n), Senders: make([]string, 0, n),
		ByDomain: map[domain.Name]int{t.Domain: 1}, Digest: digest(t.Self, t.Boot),
	}
	a := t.assess(now)
	t.listUntil = a.silenceDue()
	for _, e := range t.order {
		if e.suspected() || e.Leaving {
			t.listUntil = now.Add(refreshInterval)
		}
		if e.removed {
			continue
		}
		m := e.Member
		l.Members = append(l.Members, m)
		if m.Domain == t.Domain {
			l.local = append(l.local, m.Address)
		} else {
			l.remote = append(l.remote, m.Address)
		}
		if !m.Leaving || now.Sub(e.lastHeard) <= AbsentAfter {
			l.Senders = append(l.Senders, m.Name)
		}
		if m.Leaving {
			continue
		}
		l.Digest ^= e.digest
		if a.absent(e) {
			continue
		}
		l.Present = append(l.Present, m)
		l.ByDomain[m.Domain]++
		if a.responsive(e) {
			l.Responsive = append(l.Responsive, m)
		}
	}
	t.list = l
	return l
}

// digest returns the hash of an incarnation of a host.
func digest(name string, boot int64) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(name)
	var b [8]byte
	for i := range b {
		b[i] = byte(boot >> (8 * i))
	}
	_, _ = h.Write(b[:])
	return h.Sum64()
}
