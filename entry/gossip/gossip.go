// Package gossip lets entry hosts tell each other what they know: objects of
// the object API that others lack, suspected servers, the load that each puts
// on the servers, and which entry hosts there are.
//
// Each entry host exchanges with a few others several times a second, and at
// once when it learns something. Nothing is agreed on here: every fact carries
// a revision or an age that says whether it is news.
package gossip

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/hops"
	"fuchsiashelf.dev/parts/mirror"
)

// The times and sizes of the exchange.
const (
	// exchangeEvery and exchangeWith make news reach 32 entry hosts within
	// three rounds, and cost some 10 KB a second each with 40 servers.
	exchangeEvery = 400 * time.Millisecond
	exchangeWith  = 2
	// pushWith is how many others hear of news at once.
	pushWith = 8
	// exchangeTime bounds one exchange; it takes milliseconds.
	exchangeTime = 500 * time.Millisecond
	// freshFor is how long an entry host counts as alive after it was heard.
	freshFor = 2 * time.Second
	// forgetAfter is when one that is not heard of any more is forgotten.
	forgetAfter = 15 * time.Second
)

// Member is an entry host.
type Member struct {
	Name    string
	Address string
	Domain  domain.Name
	// Boot tells the runs of one name apart; a later one is higher.
	Boot int64
	// Age is how long ago it was heard, directly or by others.
	Age time.Duration
	// Store says that the object API answers it.
	Store bool
	// Leaving says that it is about to end.
	Leaving bool
}

// Suspect is a server that is avoided for a while.
type Suspect struct {
	ID   string
	Left time.Duration
}

// Order is what a server was told to hold.
type Order struct {
	ID         string
	First, End int
	// Left is how long the order is remembered.
	Left time.Duration
}

// Message is what one entry host tells another.
type Message struct {
	From     Member
	Cursors  map[string]uint64
	Members  []Member
	Load     map[string]hops.Usage
	Suspects []Suspect
	Orders   []Order
	Changes  []mirror.Batch
	// Whole holds the kinds whose batch is a complete list.
	Whole map[string]bool
}

// Peer is the exchange of one entry host. Set the exported fields before Run.
type Peer struct {
	Self Member
	// Seeds are addresses to begin with; they may be out of date.
	Seeds   []string
	Mirrors []*mirror.Mirror
	Ledger  *hops.Ledger
	Log     *slog.Logger
	// Suspects returns what is suspected here, Suspected takes it from others.
	Suspects  func() []Suspect
	Suspected func(Suspect)
	// Orders returns the orders to servers that are known here, Ordered takes
	// one from others.
	Orders  func() []Order
	Ordered func(Order)
	// Changed is called when a mirror took something over.
	Changed func(kind string)
	// Store reports whether the object API answers this entry host.
	Store func() bool
	// Leaving reports whether this entry host is about to end.
	Leaving func() bool

	mu      sync.Mutex
	members map[string]*heard
	clients map[string]*client
	push    chan struct{}
	once    sync.Once
}

type heard struct {
	Member
	at time.Time
}

func (p *Peer) init() {
	p.once.Do(func() {
		p.members = map[string]*heard{}
		p.clients = map[string]*client{}
		p.push = make(chan struct{}, 1)
	})
}

// Push tells others at once.
func (p *Peer) Push() {
	p.init()
	select {
	case p.push <- struct{}{}:
	default:
	}
}

// Run exchanges with others until the context ends.
func (p *Peer) Run(ctx context.Context, l net.Listener) {
	p.init()
	go p.serve(ctx, l)
	tick := time.NewTicker(exchangeEvery)
	defer tick.Stop()
	p.round(ctx, pushWith)
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.push:
			p.round(ctx, pushWith)
		case <-tick.C:
			p.round(ctx, exchangeWith)
		}
	}
}

// round exchanges with some others, without waiting for them.
func (p *Peer) round(ctx context.Context, most int) {
	for _, address := range p.partners(most) {
		c := p.client(address)
		if !c.take() {
			continue
		}
		go func() {
			defer c.give()
			p.exchange(ctx, c)
		}()
	}
}

// partners draws others to exchange with: known ones, and a seed while few
// are known.
func (p *Peer) partners(most int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var list []string
	for name, m := range p.members {
		if now.Sub(m.at) > forgetAfter {
			p.forget(name, m.Address)
			continue
		}
		list = append(list, m.Address)
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	list = list[:min(most, len(list))]
	if len(p.Seeds) > 0 && len(list) < exchangeWith {
		seed := p.Seeds[rand.IntN(len(p.Seeds))]
		if seed != p.Self.Address && !slices.Contains(list, seed) {
			list = append(list, seed)
		}
	}
	return list
}

// forget drops an entry host that is not heard of any more. The mutex is held.
func (p *Peer) forget(name, address string) {
	delete(p.members, name)
	if c := p.clients[address]; c != nil {
		c.close()
		delete(p.clients, address)
	}
	p.Ledger.Tell(name, nil)
	p.Log.Info("peers: forgotten", "peer", name, "address", address)
}

func (p *Peer) client(address string) *client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[address]
	if c == nil {
		c = &client{address: address}
		p.clients[address] = c
	}
	return c
}

func (p *Peer) exchange(ctx context.Context, c *client) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTime)
	defer cancel()
	said := p.message(c.cursors)
	heard := &Message{}
	if err := c.call(ctx, said, heard); err != nil {
		if !c.failing {
			p.Log.Warn("peers: no answer", "address", c.address, "error", err)
		}
		c.failing = true
		return
	}
	c.failing = false
	c.cursors = heard.Cursors
	p.Take(heard)
}

// message tells what is known here, with the changes that another lacks which
// is complete through the given cursors; nil means that these are unknown.
func (p *Peer) message(theirs map[string]uint64) *Message {
	m := &Message{From: p.self(), Cursors: map[string]uint64{}, Members: p.Members(), Load: p.Ledger.Own(), Suspects: p.Suspects(), Orders: p.Orders()}
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

func (p *Peer) self() Member {
	self := p.Self
	self.Store = p.Store()
	self.Leaving = p.Leaving()
	return self
}

// Members returns the entry hosts that are known, this one not among them.
func (p *Peer) Members() []Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	list := make([]Member, 0, len(p.members))
	for _, m := range p.members {
		told := m.Member
		told.Age = now.Sub(m.at)
		list = append(list, told)
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Alive returns the entry hosts heard of lately, this one not among them.
func (p *Peer) Alive() []Member {
	return slices.DeleteFunc(p.Members(), func(m Member) bool { return m.Age > freshFor || m.Leaving })
}

// Answer takes what another tells and returns what it lacks.
func (p *Peer) Answer(m *Message) *Message {
	p.Take(m)
	return p.message(m.Cursors)
}

// Take takes over what another tells.
func (p *Peer) Take(m *Message) {
	p.init()
	p.meet(m)
	if m.From.Name != p.Self.Name {
		p.Ledger.Tell(m.From.Name, m.Load)
	}
	for _, s := range m.Suspects {
		p.Suspected(s)
	}
	for _, o := range m.Orders {
		p.Ordered(o)
	}
	for _, b := range m.Changes {
		p.merge(b, m.Whole[b.Kind], m.From.Name)
	}
}

func (p *Peer) merge(b mirror.Batch, whole bool, from string) {
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
			p.Changed(b.Kind)
		}
	}
}

// meet notes which entry hosts there are.
func (p *Peer) meet(m *Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	direct := m.From
	direct.Age = 0
	p.note(direct, now)
	for _, other := range m.Members {
		p.note(other, now)
	}
}

// note takes what is said of one entry host, if it is newer. The mutex is
// held.
func (p *Peer) note(m Member, now time.Time) {
	if m.Name == p.Self.Name || m.Age > forgetAfter {
		return
	}
	at := now.Add(-m.Age)
	known := p.members[m.Name]
	if known == nil {
		p.Log.Info("peers: met", "peer", m.Name, "address", m.Address, "domain", m.Domain)
		p.members[m.Name] = &heard{Member: m, at: at}
		return
	}
	if m.Boot < known.Boot || m.Boot == known.Boot && at.Before(known.at) {
		return
	}
	if m.Leaving && !known.Leaving {
		p.Ledger.Tell(m.Name, nil)
	}
	known.Member = m
	known.at = at
}
