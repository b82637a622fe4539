package gossip

import (
	"context"
	"time"

	"fuchsiashelf.dev/parts/limit"
	"fuchsiashelf.dev/parts/mirror"
	"fuchsiashelf.dev/parts/poison"
	"fuchsiashelf.dev/parts/reach"
	"fuchsiashelf.dev/parts/resv"
	"fuchsiashelf.dev/parts/roster"
	"fuchsiashelf.dev/parts/router"
	"fuchsiashelf.dev/parts/share"
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

// Departure is a server that gets no new requests.
type Departure struct {
	ID string
	// StartedAt is the start time of its incarnation, in Unix milliseconds.
	StartedAt int64
	// Left is the time until it may get new requests.
	Left time.Duration
	// Announced says that a response of the server has said that it leaves. Left does not
	// end the departure then while the incarnation has an entry.
	Announced bool
}

// Message is the state that one entry host sends to another. The names of its fields,
// and of those of the structs in it, are part of the encoding.
type Message struct {
	From Member
	// Cursors holds the revision of each of the sender's mirrors, and Eras its era, by
	// kind. Older versions send no eras.
	Cursors, Eras map[string]uint64
	// Members holds a sample of the other entry hosts that the sender knows, or all of them
	// if AllMembers is set.
	Members    []Member
	AllMembers bool
	// Beats holds the last message from each other failure domain that the sender knows of.
	// Older versions send none.
	Beats []roster.Beat
	// Digest is a hash of the sender's list of entry hosts. Older versions send none.
	Digest uint64
	// WantMembers asks for a response with all members.
	WantMembers bool
	// Check is the name of an entry host that the receiver is to contact before it responds.
	Check string
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
	// Demand is the demand for contended services at the sender. Older versions send none.
	Demand []share.Row
	// Evidence holds what the sender knows of crashes of servers that the receiver may lack.
	Evidence poison.Evidence
	// Departures holds the servers that get no new requests although their entries, or
	// those of a restored object API, may say otherwise.
	Departures []Departure
	// Promises holds what refused callers were told, at the sender and at others. Older versions
	// send none.
	Promises []resv.Promise
	// ConfigVersion is the version of the sender's configuration in force; zero if it has
	// none. Config is that configuration if the receiver has an older one and the object
	// API does not hold it.
	ConfigVersion uint64
	Config        []byte
	// Changes holds the changes that the receiver lacks, one batch per kind.
	Changes []mirror.Batch
	// Whole holds the kinds whose batch is a complete list of objects.
	Whole map[string]bool
	// Brief asks for a response without changes.
	Brief bool
}

// cursor returns the cursor of the sender's mirror that corresponds to a local one. A
// sender that sends no eras is taken to be in the era of the local mirror.
func (m *Message) cursor(local *mirror.Mirror) mirror.Position {
	era, sent := m.Eras[local.Kind]
	if !sent {
		era = local.Cursor().Era
	}
	return mirror.Position{Era: era, Revision: m.Cursors[local.Kind]}
}

// message returns the local state, with the changes that the sender of the given message
// lacks. Nil means that no changes are included.
func (p *Peer) message(to *Message) *Message {
	m := &Message{
		From: p.self(), Cursors: map[string]uint64{}, Eras: map[string]uint64{},
		Load: p.Load.Local(), Waits: p.StartLatency.Waits(time.Now()), Full: p.Load.Saturated(time.Now()),
		Evidence: p.Crashes.Evidence(time.Now()), Limits: p.Limits.Reports(time.Now()),
	}
	toNew := to != nil && !to.From.Settled
	p.facts.add(m, p, toNew)
	m.Members, m.AllMembers = p.sample(to, toNew)
	m.Beats, m.Digest = p.beats()
	if p.Returns != nil {
		m.Promises = p.Returns.Promises(time.Now())
	}
	if p.Shares != nil {
		m.Demand = p.Shares.Rows(time.Now())
	}
	var config []byte
	m.ConfigVersion, config = p.Config()
	changes := to != nil && !to.Brief
	if changes && to.ConfigVersion < m.ConfigVersion {
		m.Config = config
	}
	for _, local := range p.Mirrors {
		cursor := local.Cursor()
		m.Cursors[local.Kind], m.Eras[local.Kind] = cursor.Revision, cursor.Era
		if !changes {
			continue
		}
		known := to.cursor(local)
		batch, complete := local.Since(known)
		if !batch.Position().After(known) {
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
	p.responses.Add(1)
	p.Merge(m)
	if m.Check != "" {
		p.check(m.Check)
	}
	for _, local := range p.Mirrors {
		if cursor := m.cursor(local); cursor.After(local.Cursor()) {
			p.pull(m.From.Address, local, cursor)
		}
	}
	return p.message(m)
}

// pull fetches missing changes of a kind from another entry host unless another pull of
// the kind is in progress: dozens of hosts announce the same change, and fetching a
// large one from all of them at once would exceed the timeout of an exchange.
func (p *Peer) pull(address string, local *mirror.Mirror, cursor mirror.Position) {
	if !p.beginPull(local.Kind) {
		return
	}
	delay := time.Duration(0)
	if !local.Cursor().IsZero() && p.ExpectsFromStore(local.Kind) {
		delay = pullDelay
	}
	time.AfterFunc(delay, func() {
		defer p.endPull(local.Kind)
		c := p.client(address)
		if cursor.After(local.Cursor()) && c.acquire() {
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
	p.mergeDemand(m)
	if m.From.Reach != reach.Isolated {
		// What a host that is cut off from the servers finds says nothing of them.
		p.mergeFindings(m)
	}
	for id, left := range m.Full {
		p.Load.RecordRemoteRefusal(id, left, time.Now())
	}
	if p.Limits.Merge(m.Limits, time.Now()) {
		p.Broadcast()
	}
	for _, slow := range m.Slows {
		p.OnSlow(slow)
	}
	for _, a := range m.Orders {
		p.OnAssignment(a)
	}
	if p.Crashes.Merge(m.Evidence, m.From.Name, time.Now()) {
		p.Broadcast()
	}
	for _, d := range m.Departures {
		p.OnDeparture(d)
	}
	if p.Returns != nil {
		p.Returns.Merge(m.Promises, time.Now())
	}
	for _, batch := range m.Changes {
		p.mergeChanges(m, batch)
	}
	if len(m.Config) > 0 {
		p.OnConfig(m.Config)
	}
}

// mergeFindings merges what the sender has concluded from waiting for servers.
func (p *Peer) mergeFindings(m *Message) {
	p.StartLatency.Merge(m.Waits, time.Now())
	for _, s := range m.Suspects {
		p.OnSuspect(s)
	}
}

// mergeChanges merges the changes of a kind from a message into its mirror.
func (p *Peer) mergeChanges(m *Message, batch mirror.Batch) {
	for _, local := range p.Mirrors {
		if local.Kind != batch.Kind {
			continue
		}
		if _, sent := m.Eras[batch.Kind]; !sent {
			batch.Era = local.Cursor().Era
		}
		changed := false
		if m.Whole[batch.Kind] {
			_, changed = local.Replace(batch.Items, batch.Position())
		} else {
			changed = local.Merge(batch)
		}
		if changed {
			p.Log.Info("peers: changes merged", "kind", batch.Kind, "from", m.From.Name, "era", batch.Era, "revision", batch.Cursor, "objects", len(batch.Items))
			p.OnChange(batch.Kind)
		}
	}
}
