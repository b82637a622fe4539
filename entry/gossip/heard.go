package gossip

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"fuchsiashelf.dev/parts/reach"
)

// Heard says when an entry host was last heard. Messages list all hosts of the sender's domain in
// this short form: the sample in Members refreshes each of 50 hosts only every few seconds, and two
// thirds of them would not count as alive at any time. With names in it, a message of 50 hosts would
// be large enough to be compressed, which takes longer than all else that is done with it.
//
// Fields must be neither added nor removed: hosts of other versions would reject the whole message.
type Heard struct {
	_ struct{} `cbor:",toarray"`
	// ID identifies the process: see memberState.setMember.
	ID uint32
	// Seq is that of the newest message that is known, and Age its age in units of ageUnit.
	Seq uint64
	Age uint8
}

// ageUnit is the unit of Heard.Age.
const ageUnit = 10 * time.Millisecond

// setMember replaces the state of a member. The ID is a hash of the name and the boot time, so that
// the messages of a process that has restarted are told from those of the one before.
func (m *memberState) setMember(to Member) {
	if m.Name != to.Name || m.Boot != to.Boot {
		key := binary.LittleEndian.AppendUint64([]byte(to.Name), uint64(to.Boot))
		m.id = uint32(xxhash.Sum64(key))
		m.heardSeq, m.heardSeqAt = 0, time.Time{}
	}
	m.Member = to
}

// heard returns when the other entry hosts of this domain were last heard.
func (p *Peer) heard() (list []Heard) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	for _, m := range p.members {
		seq, at := m.newest()
		if age := now.Sub(at); m.Domain == p.Self.Domain && age <= aliveFor {
			list = append(list, Heard{ID: m.id, Seq: seq, Age: uint8(age / ageUnit)})
		}
	}
	return list
}

// newest returns the Seq of the newest message of a member that is known, and when it was sent.
func (m *memberState) newest() (seq uint64, at time.Time) {
	if m.heardSeqAt.After(m.heardAt) {
		return m.heardSeq, m.heardSeqAt
	}
	return m.Seq, m.heardAt
}

// mergeHeard merges when the hosts of the sender's domain were last heard. What else is known of
// them stays, since a newer Seq here says nothing of it.
func (p *Peer) mergeHeard(m *Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	members := make(map[uint32]*memberState, len(m.Heard))
	for _, known := range p.members {
		if known.Domain == m.From.Domain {
			members[known.id] = known
		}
	}
	for _, h := range m.Heard {
		age := time.Duration(h.Age) * ageUnit
		known := members[h.ID]
		if known == nil || age > aliveFor {
			continue
		}
		if seq, _ := known.newest(); h.Seq > seq {
			known.heardSeq, known.heardSeqAt = h.Seq, now.Add(-age)
		}
	}
}

// Neighbours returns the names of the other entry hosts of this domain that were heard within
// aliveFor, are not leaving and are not cut off from the servers.
func (p *Peer) Neighbours() (names []string) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	for name, m := range p.members {
		_, at := m.newest()
		if m.Domain == p.Self.Domain && now.Sub(at) <= aliveFor && !m.Leaving && m.Reach != reach.Isolated {
			names = append(names, name)
		}
	}
	return names
}

// BroadcastTo is like Broadcast, and includes the hosts with the given names.
func (p *Peer) BroadcastTo(names []string) {
	p.init()
	p.mu.Lock()
	for _, name := range names {
		p.notify[name] = true
	}
	p.mu.Unlock()
	p.Broadcast()
}

// notifyHosts starts exchanges with the hosts that BroadcastTo was called for.
func (p *Peer) notifyHosts(ctx context.Context) {
	var addresses []string
	p.mu.Lock()
	for name := range p.notify {
		if m := p.members[name]; m != nil {
			addresses = append(addresses, m.Address)
		}
	}
	clear(p.notify)
	p.mu.Unlock()
	for _, address := range addresses {
		p.startExchange(ctx, address)
	}
}
