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
	"fuchsiashelf.dev/parts/poison"
)

// The times and sizes of the exchange.
const (
	// exchangeEvery is how often an entry host exchanges with one of its own
	// failure domain, and acrossEvery how often with one of another. Bytes
	// between domains are dear, and what they tell each other is of less use.
	// With any two partners every 400 ms, 32 entry hosts moved 1.9 GB between
	// domains in 66 s, which cost a tenth of what they earned.
	exchangeEvery = 400 * time.Millisecond
	acrossEvery   = 1200 * time.Millisecond
	// pushWith and pushAcross are how many others of the own and of other
	// domains hear of news at once.
	pushWith   = 12
	pushAcross = 2
	// pullAfter is how long news that another has are waited for before they
	// are asked for: most come from the object API by themselves.
	pullAfter = 150 * time.Millisecond
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
	Marks    []poison.Mark
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
	Tally   *poison.Tally
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
	// Waits reports whether changes of a kind are expected from the object API
	// as well; if not, they are asked for at once.
	Waits func(kind string) bool

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
	p.round(ctx, pushWith, pushAcross)
	var across time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.push:
			p.round(ctx, pushWith, pushAcross)
		case now := <-tick.C:
			others := 0
			if now.Sub(across) >= acrossEvery {
				across, others = now, 1
			}
			p.round(ctx, 1, others)
		}
	}
}

// round exchanges with some entry hosts of the own domain and of others,
// without waiting for them.
func (p *Peer) round(ctx context.Context, own, others int) {
	for _, address := range p.partners(own, others) {
		p.meetAt(ctx, address)
	}
}

// meetAt exchanges with the entry host at an address, unless it is doing so.
func (p *Peer) meetAt(ctx context.Context, address string) {
	c := p.client(address)
	if !c.take() {
		return
	}
	go func() {
		defer c.give()
		p.exchange(ctx, c)
	}()
}

// partners draws entry hosts to exchange with, and a seed while few are known.
func (p *Peer) partners(own, others int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var near, far []string
	for name, m := range p.members {
		switch {
		case now.Sub(m.at) > forgetAfter:
			p.forget(name, m.Address)
		case m.Domain == p.Self.Domain:
			near = append(near, m.Address)
		default:
			far = append(far, m.Address)
		}
	}
	if len(near) == 0 {
		// Alone in its domain, it speaks to others as often.
		others = max(others, own)
	}
	list := append(draw(near, own), draw(far, others)...)
	if len(p.Seeds) > 0 && len(near)+len(far) < len(p.Seeds) {
		seed := p.Seeds[rand.IntN(len(p.Seeds))]
		if seed != p.Self.Address && !slices.Contains(list, seed) {
			list = append(list, seed)
		}
	}
	return list
}

func draw(from []string, most int) []string {
	rand.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	return from[:min(most, len(from))]
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
	said := p.message(nil)
	heard := &Message{}
	if err := c.call(ctx, said, heard); err != nil {
		if !c.failing {
			p.Log.Warn("peers: no answer", "address", c.address, "error", err)
		}
		c.failing = true
		return
	}
	c.failing = false
	p.Take(heard)
}

// message tells what is known here, with the changes that another lacks which
// is complete through the given cursors; nil means that these are unknown.
func (p *Peer) message(theirs map[string]uint64) *Message {
	m := &Message{From: p.self(), Cursors: map[string]uint64{}, Members: p.Members(), Load: p.Ledger.Own(), Suspects: p.Suspects(), Orders: p.Orders(), Marks: p.Tally.Marks(time.Now())}
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

// Answer takes what another tells and returns what it lacks. What is lacking
// here is asked for in turn, if it does not come by itself.
func (p *Peer) Answer(m *Message) *Message {
	p.Take(m)
	for _, mine := range p.Mirrors {
		if m.Cursors[mine.Kind] > mine.Cursor() {
			p.pull(m.From.Address, mine, m.Cursors[mine.Kind])
		}
	}
	return p.message(m.Cursors)
}

// pull exchanges with another that has changes which are lacking here.
func (p *Peer) pull(address string, mine *mirror.Mirror, cursor uint64) {
	wait := time.Duration(0)
	if mine.Cursor() > 0 && p.Waits(mine.Kind) {
		wait = pullAfter
	}
	time.AfterFunc(wait, func() {
		if mine.Cursor() < cursor {
			p.meetAt(context.Background(), address)
		}
	})
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
	for _, mark := range m.Marks {
		p.Tally.Take(mark, time.Now())
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
