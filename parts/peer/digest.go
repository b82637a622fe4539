package peer

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"fuchsiashelf.dev/parts/wire"
)

// digestBytes bounds the part of a digest that may grow: members, marks and
// usages. With three exchanges begun and three answered a second, both ways,
// it keeps a node under its 4 KB a second; docs/design/membership.md has the
// sum.
const digestBytes = 180

// The shares of a digest that marks and usages may fill. The rest, and what
// they leave, is for members.
const (
	markBytes  = 90
	usageBytes = 50
)

// LocalState is what this member says of itself in each digest.
type LocalState struct {
	// Revision is the configuration revision in force here.
	Revision uint64
	// Drains holds the servers that are being stopped.
	Drains []Drain
	// Usages holds the use of teams here.
	Usages []Usage
}

// maxDrains bounds the servers whose drain one digest reports.
const maxDrains = 64

// size returns the bytes that a message takes within another.
func size(m proto.Message) int {
	return proto.Size(m) + 2
}

// digest builds what this member tells in one exchange.
func (p *Peer) digest(own *LocalState) *wire.Digest {
	d := &wire.Digest{Revision: own.Revision, Clock: p.Trace.Now()}
	self := wireMember(&p.table.Self)
	self.Revision = own.Revision
	for _, drain := range own.Drains[:min(len(own.Drains), maxDrains)] {
		self.Draining = append(self.Draining, &wire.Drain{
			Server: drain.Server, InFlight: drain.InFlight, Revision: drain.Revision,
		})
	}
	d.Members = append(d.Members, self)
	room := digestBytes
	room -= p.addMarks(d, markBytes)
	room -= p.addUsages(d, own.Usages, usageBytes)
	p.table.fill(d, room)
	return d
}

func wireMember(m *Member) *wire.Member {
	return &wire.Member{
		Id: uint64(IDOf(m.Name)), Incarnation: m.Incarnation, Beat: m.Heartbeat,
		State: uint32(m.State), Revision: m.Revision,
	}
}

func wireMark(m *Mark) *wire.Mark {
	return &wire.Mark{
		Kind: uint32(m.Kind), Name: m.Name, Until: m.Until.UnixMilli(), Count: uint32(m.Count),
	}
}

// addMarks adds the marks that were told least and returns their bytes.
func (p *Peer) addMarks(d *wire.Digest, room int) int {
	used := 0
	for _, e := range p.marks.next() {
		m := wireMark(&e.Mark)
		if used += size(m); used > room {
			return used - size(m)
		}
		e.sent++
		d.Marks = append(d.Marks, m)
	}
	return used
}

// addUsages adds the usage of some teams, in turns, and returns their bytes.
func (p *Peer) addUsages(d *wire.Digest, usages []Usage, room int) int {
	used := 0
	for i := range usages {
		u := usages[(p.usageCursor+i)%len(usages)]
		m := &wire.Usage{Team: u.Team, Rate: u.Rate}
		if used += size(m); used > room {
			p.usageCursor = (p.usageCursor + i) % len(usages)
			return used - size(m)
		}
		d.Usages = append(d.Usages, m)
	}
	return used
}

// fill adds members to a digest: those whose state changed lately, the least
// told first, then the rest in turns.
func (t *Table) fill(d *wire.Digest, room int) {
	var news []ID
	for _, id := range t.order {
		if m := t.others[id]; m.sent < spread && m.Incarnation > 0 {
			news = append(news, id)
		}
	}
	slices.SortStableFunc(news, func(a, b ID) int { return t.others[a].sent - t.others[b].sent })
	told := map[ID]bool{}
	add := func(id ID) bool {
		m := t.others[id]
		if told[id] || m.Incarnation == 0 {
			return true
		}
		w := wireMember(m)
		w.Id = uint64(id)
		if room -= size(w); room < 0 {
			return false
		}
		told[id] = true
		m.sent++
		d.Members = append(d.Members, w)
		return true
	}
	for _, id := range news {
		if !add(id) {
			return
		}
	}
	for range t.order {
		t.cursor %= len(t.order)
		if !add(t.order[t.cursor]) {
			return
		}
		t.cursor++
	}
}

// maxDigestItems bounds what is taken from one digest, whoever sent it.
const maxDigestItems = 4096

// heard is what a digest told that the embedding daemon may have to act on.
type heard struct {
	// news says that the state of a member or a mark changed.
	news bool
	// nameless holds members that are known only by id.
	nameless []uint64
	marks    []Mark
}

// take merges a digest. The sender is its first member.
func (p *Peer) take(d *wire.Digest, now time.Time) heard {
	var h heard
	p.Trace.Observe(d.Clock)
	for _, m := range d.Members[:min(len(d.Members), maxDigestItems)] {
		r := Record{Incarnation: m.Incarnation, Heartbeat: m.Beat, State: stateOf(m.State)}
		news, nameless := p.table.Merge(ID(m.Id), r, m.Revision, now)
		h.news = h.news || news
		if nameless {
			h.nameless = append(h.nameless, m.Id)
		}
	}
	p.takeSender(d, now)
	for _, m := range d.Marks[:min(len(d.Marks), maxDigestItems)] {
		mark := Mark{
			Kind: Kind(m.Kind), Name: m.Name, Until: time.UnixMilli(m.Until), Count: int(m.Count),
		}
		if p.marks.Add(mark, now) {
			h.marks = append(h.marks, mark)
		}
	}
	h.news = h.news || len(h.marks) > 0
	return h
}

func (p *Peer) takeSender(d *wire.Digest, now time.Time) {
	if len(d.Members) == 0 {
		return
	}
	first := d.Members[0]
	var drains []Drain
	for _, w := range first.Draining {
		drains = append(drains, Drain{Server: w.Server, InFlight: w.InFlight, Revision: w.Revision})
	}
	p.table.RecordContact(ID(first.Id), drains, now)
	for _, u := range d.Usages[:min(len(d.Usages), maxDigestItems)] {
		p.ledger.Add(ID(first.Id), Usage{Team: u.Team, Rate: u.Rate}, now)
	}
}

// stateOf reads a state from the wire. One that a later version may have
// added is taken as a suspicion: whom to talk to, and nothing else.
func stateOf(s uint32) State {
	if s > uint32(Left) {
		return Suspect
	}
	return State(s)
}
