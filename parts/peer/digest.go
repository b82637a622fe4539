package peer

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"fuchsiashelf.dev/parts/wire"
)

// digestBytes bounds the variable part of a digest: members, marks and
// usages. With three exchanges started and three answered per second, in both
// directions, it keeps a node below 4 KB per second;
// docs/design/membership.md has the calculation.
const digestBytes = 180

// The shares of digestBytes that marks and usages may use. Members get the
// rest.
const (
	markBytes  = 90
	usageBytes = 50
)

// LocalState is what this member reports about itself in each digest.
type LocalState struct {
	// Revision is the configuration revision in use.
	Revision uint64
	// Drains holds the requests in flight on servers that are being drained.
	Drains []Drain
	// Usages holds the request rate of each team on this member.
	Usages []Usage
}

// maxDrains bounds the servers whose drain is reported in one digest.
const maxDrains = 64

// embeddedSize returns the encoded size of a message as a field of another
// message: its own size, and one byte each for the tag and the length, as long
// as it is shorter than 128 bytes.
func embeddedSize(m proto.Message) int {
	return proto.Size(m) + 2
}

// buildDigest builds the digest for one exchange.
func (p *Peer) buildDigest(local *LocalState) *wire.Digest {
	d := &wire.Digest{Revision: local.Revision, Clock: p.Trace.Now()}
	self := wireMember(&p.table.Self)
	self.Revision = local.Revision
	for _, drain := range local.Drains[:min(len(local.Drains), maxDrains)] {
		self.Draining = append(self.Draining, &wire.Drain{
			Server: drain.Server, InFlight: drain.InFlight, Revision: drain.Revision,
		})
	}
	d.Members = append(d.Members, self)
	remaining := digestBytes
	remaining -= p.addMarks(d, markBytes)
	remaining -= p.addUsages(d, local.Usages, usageBytes)
	p.table.addMembers(d, remaining)
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

// addMarks adds the marks that were sent least often, up to the given number
// of bytes, and returns the bytes used.
func (p *Peer) addMarks(d *wire.Digest, limit int) int {
	used := 0
	for _, e := range p.marks.bySends() {
		m := wireMark(&e.Mark)
		if used += embeddedSize(m); used > limit {
			return used - embeddedSize(m)
		}
		e.sends++
		d.Marks = append(d.Marks, m)
	}
	return used
}

// addUsages adds usages in round-robin order, up to the given number of
// bytes, and returns the bytes used.
func (p *Peer) addUsages(d *wire.Digest, usages []Usage, limit int) int {
	used := 0
	for i := range usages {
		u := usages[(p.usageCursor+i)%len(usages)]
		m := &wire.Usage{Team: u.Team, Rate: u.Rate}
		if used += embeddedSize(m); used > limit {
			p.usageCursor = (p.usageCursor + i) % len(usages)
			return used - embeddedSize(m)
		}
		d.Usages = append(d.Usages, m)
	}
	return used
}

// addMembers adds members to a digest, up to the given number of bytes: first
// those whose state changed recently, least sent first, then the others in
// round-robin order.
func (t *Table) addMembers(d *wire.Digest, limit int) {
	var recent []ID
	for _, id := range t.order {
		if m := t.others[id]; m.sends < prioritySends && m.Incarnation > 0 {
			recent = append(recent, id)
		}
	}
	slices.SortStableFunc(recent, func(a, b ID) int { return t.others[a].sends - t.others[b].sends })
	added := map[ID]bool{}
	add := func(id ID) bool {
		m := t.others[id]
		if added[id] || m.Incarnation == 0 {
			return true
		}
		w := wireMember(m)
		w.Id = uint64(id)
		if limit -= embeddedSize(w); limit < 0 {
			return false
		}
		added[id] = true
		m.sends++
		d.Members = append(d.Members, w)
		return true
	}
	for _, id := range recent {
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

// maxDigestItems bounds the items of each kind that are read from one
// message, regardless of its sender.
const maxDigestItems = 4096

// mergeResult says what a merged digest changed, for the caller to act on.
type mergeResult struct {
	// changed is true if the state of a member or a mark changed.
	changed bool
	// unnamed holds the members that are known only by ID.
	unnamed []uint64
	// marks holds the marks that were new.
	marks []Mark
}

// mergeDigest merges a digest into the local state. Its first member is the
// sender.
func (p *Peer) mergeDigest(d *wire.Digest, now time.Time) mergeResult {
	heardAt := p.Clock.Now()
	var result mergeResult
	p.Trace.Observe(d.Clock)
	for _, m := range d.Members[:min(len(d.Members), maxDigestItems)] {
		r := Record{Incarnation: m.Incarnation, Heartbeat: m.Beat, State: stateOf(m.State)}
		changed, unnamed := p.table.Merge(ID(m.Id), r, m.Revision, heardAt)
		result.changed = result.changed || changed
		if unnamed {
			result.unnamed = append(result.unnamed, m.Id)
		}
	}
	p.mergeSender(d, heardAt)
	for _, m := range d.Marks[:min(len(d.Marks), maxDigestItems)] {
		mark := Mark{
			Kind: Kind(m.Kind), Name: m.Name, Until: time.UnixMilli(m.Until), Count: int(m.Count),
		}
		if p.marks.Add(mark, now) {
			result.marks = append(result.marks, mark)
		}
	}
	result.changed = result.changed || len(result.marks) > 0
	return result
}

// mergeSender merges the parts of a digest that only its sender reports.
func (p *Peer) mergeSender(d *wire.Digest, now time.Time) {
	if len(d.Members) == 0 {
		return
	}
	sender := d.Members[0]
	var drains []Drain
	for _, w := range sender.Draining {
		drains = append(drains, Drain{Server: w.Server, InFlight: w.InFlight, Revision: w.Revision})
	}
	p.table.RecordContact(ID(sender.Id), drains, now)
	for _, u := range d.Usages[:min(len(d.Usages), maxDigestItems)] {
		p.remoteUsage.Add(ID(sender.Id), Usage{Team: u.Team, Rate: u.Rate}, now)
	}
}

// stateOf converts a state from the wire. An unknown state, from a newer
// version, counts as Suspect, which only affects the choice of partners.
func stateOf(s uint32) State {
	if s > uint32(Left) {
		return Suspect
	}
	return State(s)
}
