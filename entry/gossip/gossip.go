// Package gossip exchanges state between entry hosts: objects of the object API
// that others lack, suspected servers, the load that each puts on the servers,
// and which entry hosts there are.
//
// Each entry host exchanges with a few others several times a second, and at
// once when something changes. There is no agreement: every fact carries a
// revision or an age by which the newer one wins.
package gossip

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/parts/mirror"
	"fuchsiashelf.dev/parts/poison"
	"fuchsiashelf.dev/parts/router"
)

// Timeouts, intervals and fan-out.
const (
	// exchangeEvery is how often an entry host exchanges with one of its own
	// failure domain, and acrossEvery how often with one of another. Traffic
	// between domains is expensive.
	exchangeEvery = 400 * time.Millisecond
	acrossEvery   = 1200 * time.Millisecond
	// pushWith and pushAcross are how many others of the own and of other
	// domains a change is sent to at once.
	pushWith   = 12
	pushAcross = 2
	// pushEvery is the least time between two such rounds. After a start thousands
	// of servers get their orders, one by one.
	pushEvery = 50 * time.Millisecond
	// listenWith and listenAcross are the same for a new entry host.
	listenWith   = 2
	listenAcross = 1
	// listenSeeds is the least chance in that time of an exchange with a seed.
	listenSeeds = 0.5
	// pullAfter delays fetching changes from another entry host: most arrive from
	// the object API meanwhile.
	pullAfter = 150 * time.Millisecond
	// exchangeTime bounds one exchange.
	exchangeTime = 500 * time.Millisecond
	// freshFor is how long an entry host counts as alive after the last message.
	freshFor = 2 * time.Second
	// forgetAfter is when a silent one is removed.
	forgetAfter = 15 * time.Second
)

// Peer is the exchange of one entry host. Set the exported fields before Run.
type Peer struct {
	Self Member
	// Seeds are addresses to begin with; they may be out of date.
	Seeds   []string
	Mirrors []*mirror.Mirror
	Ledger  *router.LoadTracker
	// Starts holds how long requests wait at the first servers of chains.
	Starts *router.StartLatency
	Tally  *poison.Counter
	Log    *slog.Logger
	// Suspects returns the local suspicions, Suspected handles those of others.
	Suspects  func() []Suspect
	OnSuspect func(Suspect)
	// SlowServers returns the known slow servers, Slowed handles those of others.
	SlowServers func() []SlowServer
	OnSlow      func(SlowServer)
	// Assignments returns the known orders to servers, Ordered handles those of others.
	Assignments  func() []Assignment
	OnAssignment func(Assignment)
	// OnChange is called when a mirror changed.
	OnChange func(kind string)
	// StoreUp reports whether the object API answers this entry host.
	StoreUp func() bool
	// Leaving reports whether this entry host is about to end.
	Leaving func() bool
	// ExpectsFromStore reports whether changes of a kind are expected from the object API
	// as well; if not, they are asked for at once.
	ExpectsFromStore func(kind string) bool
	// Random returns a number below n; nil means a random one.
	Random func(n int) int

	// sent is the number of messages so far.
	sent atomic.Uint64

	mu sync.Mutex
	// started is when this entry host began to listen; settled says that a settled
	// member has sent it the list of members.
	started time.Time
	settled bool
	members map[string]*contact
	clients map[string]*client
	// pulls holds the kinds of which changes are being pulled.
	pulls map[string]bool
	// across is when this entry host last exchanged with another domain.
	across time.Time
	push   chan struct{}
	once   sync.Once
}

func (p *Peer) init() {
	p.once.Do(func() {
		p.started = time.Now()
		p.members = map[string]*contact{}
		p.clients = map[string]*client{}
		p.pulls = map[string]bool{}
		p.push = make(chan struct{}, 1)
	})
}

// Broadcast exchanges with others at once.
func (p *Peer) Broadcast() {
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
	push := p.push
	var rested <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-push:
			p.round(ctx, pushWith, pushAcross)
			push, rested = nil, time.After(pushEvery)
		case <-rested:
			push, rested = p.push, nil
		case now := <-tick.C:
			own, others := p.turn(now)
			p.round(ctx, own, others)
		}
	}
}

// turn returns with how many entry hosts of the own domain and of others to
// exchange now. A new one exchanges with more, so that all know each other before
// one of them may lead.
func (p *Peer) turn(now time.Time) (own, others int) {
	if !p.Settled() {
		return listenWith, listenAcross
	}
	if now.Sub(p.across) < acrossEvery {
		return 1, 0
	}
	p.across = now
	return 1, 1
}

// round starts exchanges with some entry hosts of the own domain and of others.
func (p *Peer) round(ctx context.Context, own, others int) {
	for _, address := range p.partners(own, others) {
		p.exchangeWith(ctx, address)
	}
}

// exchangeWith starts an exchange unless one with that address is under way.
func (p *Peer) exchangeWith(ctx context.Context, address string) {
	c := p.client(address)
	if !c.take() {
		return
	}
	go func() {
		defer c.give()
		p.exchange(ctx, c, p.pulling())
	}()
}

// partners draws entry hosts to exchange with, and sometimes a seed: groups that
// started from different seeds would otherwise stay partitioned, each with a
// leader of its own.
func (p *Peer) partners(own, others int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var near, far []string
	for name, m := range p.members {
		switch {
		case now.Sub(m.at) > forgetAfter:
			p.remove(name, m.Address)
		case m.Domain == p.Self.Domain:
			near = append(near, m.Address)
		default:
			far = append(far, m.Address)
		}
	}
	if len(near) == 0 {
		// Alone in its domain: exchange as often with others.
		others = max(others, own)
	}
	list := append(p.draw(near, own), p.draw(far, others)...)
	if len(p.Seeds) == 0 || p.random(seedDraws) >= int(p.seedChance(len(near)+len(far), now)*seedDraws) {
		return list
	}
	seed := p.Seeds[p.random(len(p.Seeds))]
	if seed != p.Self.Address && !slices.Contains(list, seed) {
		list = append(list, seed)
	}
	return list
}

// seedDraws is how finely the chance of an exchange with a seed is drawn.
const seedDraws = 1 << 16

// seedChance is the chance that an exchange goes to a seed as well. In calm all
// entry hosts together ask the seeds as often as one host asks others, however
// many they are.
func (p *Peer) seedChance(known int, now time.Time) float64 {
	chance := float64(len(p.Seeds)) / float64(max(known, 1))
	if now.Sub(p.started) < listenFor {
		return max(listenSeeds, chance)
	}
	return chance
}

// draw returns at most so many addresses, drawn at random.
func (p *Peer) draw(from []string, most int) []string {
	slices.Sort(from)
	p.shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	return from[:min(most, len(from))]
}

func (p *Peer) shuffle(n int, swap func(i, j int)) {
	for i := n - 1; i > 0; i-- {
		swap(i, p.random(i+1))
	}
}

func (p *Peer) random(n int) int {
	if p.Random == nil {
		return rand.IntN(n)
	}
	return p.Random(n)
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

// exchange sends the local state to one entry host and merges its answer, which
// contains no changes if brief is set.
func (p *Peer) exchange(ctx context.Context, c *client, brief bool) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTime)
	defer cancel()
	sent := p.message(nil)
	sent.Brief = brief
	received := &Message{}
	if err := c.call(ctx, sent, received); err != nil {
		if !c.failing {
			p.Log.Warn("peers: no answer", "address", c.address, "error", err)
		}
		c.failing = true
		return
	}
	c.failing = false
	p.Merge(received)
}

func (p *Peer) self() Member {
	self := p.Self
	self.Seq = p.sent.Add(1)
	self.Store = p.StoreUp()
	self.Leaving = p.Leaving()
	self.Settled = p.Settled()
	return self
}
