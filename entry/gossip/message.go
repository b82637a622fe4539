package gossip

import (
	"context"
	"time"

	"fuchsiashelf.dev/parts/limit"
	"fuchsiashelf.dev/parts/mirror"
	"fuchsiashelf.dev/parts/poison"
	"fuchsiashelf.dev/parts/router"
)

// Suspect is a server that is suspected to have failed, and avoided for a while.
type Suspect struct {
	ID string
	// Left is the time until the suspicion expires.
	Left time.Duration
}

// SlowServer is a server that takes longer than usual for its work.
type SlowServer struct {
	ID string
	// Times is the factor by which its work takes longer than usual.
	Times float64
	// Left is the time until the report expires.
	Left time.Duration
}

// Assignment is the range of layers that a server was ordered to hold.
type Assignment struct {
	ID         string
	First, End int
	// Left is the time until the assignment expires.
	Left time.Duration
	// Done says that the server has reported that it carried out the assignment.
	Done bool
}

// Message is the state that one entry host sends to another. The names of its fields,
// and of those of the structs in it, are part of the encoding.
type Message struct {
	From Member
	// Cursors holds the revision of each of the sender's mirrors, by kind.
	Cursors map[string]uint64
	// Members holds a sample of the other entry hosts that the sender knows.
	Members []Member
	// Load is the load that the sender puts on each server, by server.
	Load map[string]router.Usage
	// Waits is how long requests wait for their first event, by server.
	Waits map[string]time.Duration
	// Full is how much longer a server that refused requests counts as saturated, by
	// server.
	Full     map[string]time.Duration
	Suspects []Suspect
	Slows    []SlowServer
	Orders   []Assignment
	// Limits holds what the sender knows of the rate limits of servers, by server.
	Limits map[string]limit.Report
	// Marks holds the requests that are suspected of crashing servers.
	Marks []poison.Suspect
	// Changes holds the changes that the receiver lacks, one batch per kind.
	Changes []mirror.Batch
	// Whole holds the kinds whose batch is a complete list of objects.
	Whole map[string]bool
	// Brief asks for a response without changes.
	Brief bool
}

// message returns the local state, with the changes that another entry host with the
// given cursors lacks. Nil cursors mean that no changes are included.
func (p *Peer) message(cursors map[string]uint64) *Message {
	m := &Message{
		From: p.self(), Cursors: map[string]uint64{}, Members: p.sample(),
		Load: p.Load.Local(), Waits: p.StartLatency.Waits(time.Now()), Full: p.Load.Saturated(time.Now()),
		Suspects: p.Suspects(), Slows: p.SlowServers(), Orders: p.Assignments(), Marks: p.Crashes.Suspects(time.Now()),
		Limits: p.Limits.Reports(time.Now()),
	}
	for _, local := range p.Mirrors {
		m.Cursors[local.Kind] = local.Cursor()
		if cursors == nil {
			continue
		}
		batch, complete := local.Since(cursors[local.Kind])
		if batch.Cursor <= cursors[local.Kind] {
			continue
		}
		m.Changes = append(m.Changes, batch)
		if complete {
			if m.Whole == nil {
				m.Whole = map[string]bool{}
			}
			m.Whole[local.Kind] = true
		}
	}
	return m
}

// Respond merges a message and returns the response with the changes that the sender
// lacks. Changes that are missing here are pulled from the sender.
func (p *Peer) Respond(m *Message) *Message {
	p.Merge(m)
	for _, local := range p.Mirrors {
		if m.Cursors[local.Kind] > local.Cursor() {
			p.pull(m.From.Address, local, m.Cursors[local.Kind])
		}
	}
	if m.Brief {
		return p.message(nil)
	}
	return p.message(m.Cursors)
}

// pull fetches missing changes of a kind from another entry host unless another pull of
// the kind is in progress: dozens of hosts announce the same change, and fetching a
// large one from all of them at once would exceed the timeout of an exchange.
func (p *Peer) pull(address string, local *mirror.Mirror, cursor uint64) {
	if !p.beginPull(local.Kind) {
		return
	}
	delay := time.Duration(0)
	if local.Cursor() > 0 && p.ExpectsFromStore(local.Kind) {
		delay = pullDelay
	}
	time.AfterFunc(delay, func() {
		defer p.endPull(local.Kind)
		c := p.client(address)
		if local.Cursor() < cursor && c.acquire() {
			p.exchange(context.Background(), c, false)
			c.release()
		}
	})
}

// beginPull reserves the pull of a kind and reports whether it was free.
func (p *Peer) beginPull(kind string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pulls[kind] {
		return false
	}
	p.pulls[kind] = true
	return true
}

// endPull ends the reservation made by beginPull.
func (p *Peer) endPull(kind string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pulls, kind)
}

// pulling reports whether any pull is in progress.
func (p *Peer) pulling() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pulls) > 0
}

// Merge merges a message into the local state.
func (p *Peer) Merge(m *Message) {
	p.init()
	p.mergeMembers(m)
	if m.From.Name != p.Self.Name {
		p.Load.SetRemote(m.From.Name, m.Load)
	}
	p.StartLatency.Merge(m.Waits, time.Now())
	for id, left := range m.Full {
		p.Load.RecordRemoteRefusal(id, left, time.Now())
	}
	if p.Limits.Merge(m.Limits, time.Now()) {
		p.Broadcast()
	}
	for _, s := range m.Suspects {
		p.OnSuspect(s)
	}
	for _, slow := range m.Slows {
		p.OnSlow(slow)
	}
	for _, a := range m.Orders {
		p.OnAssignment(a)
	}
	for _, suspect := range m.Marks {
		p.Crashes.Merge(suspect, time.Now())
	}
	for _, batch := range m.Changes {
		p.mergeChanges(batch, m.Whole[batch.Kind], m.From.Name)
	}
}

// mergeChanges merges the changes of a kind into its mirror.
func (p *Peer) mergeChanges(batch mirror.Batch, complete bool, from string) {
	for _, local := range p.Mirrors {
		if local.Kind != batch.Kind {
			continue
		}
		changed := false
		if complete {
			_, changed = local.Replace(batch.Items, batch.Cursor)
		} else {
			changed = local.Merge(batch)
		}
		if changed {
			p.Log.Info("peers: changes merged", "kind", batch.Kind, "from", from, "revision", batch.Cursor, "objects", len(batch.Items))
			p.OnChange(batch.Kind)
		}
	}
}
