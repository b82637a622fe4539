package gossip

import (
	"context"
	"time"

	"fuchsiashelf.dev/parts/mirror"
	"fuchsiashelf.dev/parts/poison"
	"fuchsiashelf.dev/parts/router"
)

// Suspect is a server that is avoided for a while.
type Suspect struct {
	ID   string
	Left time.Duration
}

// SlowServer is a server whose work takes longer than usual.
type SlowServer struct {
	ID string
	// Times is how many times as long as usual its work takes.
	Times float64
	// Left is how long that is remembered.
	Left time.Duration
}

// Assignment is the range of layers that a server was ordered to hold.
type Assignment struct {
	ID         string
	First, End int
	// Left is how long the order is remembered.
	Left time.Duration
	// Done says that the server has reported it done.
	Done bool
}

// Message is the state that one entry host sends to another.
type Message struct {
	From    Member
	Cursors map[string]uint64
	Members []Member
	Load    map[string]router.Usage
	// Waits is how long requests wait for their first event, by server.
	Waits map[string]time.Duration
	// Full is how much longer servers that refused requests count as full.
	Full     map[string]time.Duration
	Suspects []Suspect
	Slows    []SlowServer
	Orders   []Assignment
	Marks    []poison.Suspect
	Changes  []mirror.Batch
	// Whole holds the kinds whose batch is a complete list.
	Whole map[string]bool
	// Brief asks for an answer without changes.
	Brief bool
}

// message returns the local state, with the changes after the given cursors of
// another entry host. Nil cursors mean no changes.
func (p *Peer) message(theirs map[string]uint64) *Message {
	m := &Message{
		From: p.self(), Cursors: map[string]uint64{}, Members: p.sample(),
		Load: p.Ledger.Local(), Waits: p.Starts.Waits(time.Now()), Full: p.Ledger.Saturated(time.Now()),
		Suspects: p.Suspects(), Slows: p.SlowServers(), Orders: p.Assignments(), Marks: p.Tally.Suspects(time.Now()),
	}
	for _, mine := range p.Mirrors {
		m.Cursors[mine.Kind] = mine.Cursor()
		if theirs == nil {
			continue
		}
		b, whole := mine.Since(theirs[mine.Kind])
		if b.Cursor <= theirs[mine.Kind] {
			continue
		}
		m.Changes = append(m.Changes, b)
		if whole {
			if m.Whole == nil {
				m.Whole = map[string]bool{}
			}
			m.Whole[mine.Kind] = true
		}
	}
	return m
}

// Respond merges a message and returns the answer, with the changes that the
// sender lacks. Changes that are missing here are pulled from the sender.
func (p *Peer) Respond(m *Message) *Message {
	p.Merge(m)
	for _, mine := range p.Mirrors {
		if m.Cursors[mine.Kind] > mine.Cursor() {
			p.pull(m.From.Address, mine, m.Cursors[mine.Kind])
		}
	}
	if m.Brief {
		return p.message(nil)
	}
	return p.message(m.Cursors)
}

// pull fetches missing changes of a kind, from one entry host at a time: dozens
// announce the same change, and a large one fetched from all of them at once
// would take longer than an exchange may.
func (p *Peer) pull(address string, mine *mirror.Mirror, cursor uint64) {
	if !p.beginPull(mine.Kind) {
		return
	}
	wait := time.Duration(0)
	if mine.Cursor() > 0 && p.ExpectsFromStore(mine.Kind) {
		wait = pullDelay
	}
	time.AfterFunc(wait, func() {
		defer p.endPull(mine.Kind)
		c := p.client(address)
		if mine.Cursor() < cursor && c.acquire() {
			p.exchange(context.Background(), c, false)
			c.release()
		}
	})
}

// beginPull reports whether the caller is to pull the changes of a kind.
func (p *Peer) beginPull(kind string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pulls[kind] {
		return false
	}
	p.pulls[kind] = true
	return true
}

func (p *Peer) endPull(kind string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pulls, kind)
}

// pulling reports whether changes are being pulled.
func (p *Peer) pulling() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pulls) > 0
}

// Merge merges a message.
func (p *Peer) Merge(m *Message) {
	p.init()
	p.mergeMembers(m)
	if m.From.Name != p.Self.Name {
		p.Ledger.SetRemote(m.From.Name, m.Load)
	}
	p.Starts.Merge(m.Waits, time.Now())
	for id, left := range m.Full {
		p.Ledger.RecordRemoteRefusal(id, left, time.Now())
	}
	for _, s := range m.Suspects {
		p.OnSuspect(s)
	}
	for _, slow := range m.Slows {
		p.OnSlow(slow)
	}
	for _, o := range m.Orders {
		p.OnAssignment(o)
	}
	for _, mark := range m.Marks {
		p.Tally.Merge(mark, time.Now())
	}
	for _, b := range m.Changes {
		p.mergeChanges(b, m.Whole[b.Kind], m.From.Name)
	}
}

func (p *Peer) mergeChanges(b mirror.Batch, whole bool, from string) {
	for _, mine := range p.Mirrors {
		if mine.Kind != b.Kind {
			continue
		}
		changed := false
		if whole {
			_, changed = mine.Replace(b.Items, b.Cursor)
		} else {
			changed = mine.Merge(b)
		}
		if changed {
			p.Log.Info("peers: changes taken over", "kind", b.Kind, "from", from, "revision", b.Cursor, "objects", len(b.Items))
			p.OnChange(b.Kind)
		}
	}
}
