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
	// localInterval is how often an entry host exchanges with one of its own
	// failure domain, and acrossEvery how often with one of another. Traffic
	// between domains is expensive.
	localInterval  = 400 * time.Millisecond
	remoteInterval = 1200 * time.Millisecond
	// broadcastLocal and pushAcross are how many others of the own and of other
	// domains a change is sent to at once.
	broadcastLocal  = 12
	broadcastRemote = 2
	// minBroadcastInterval is the least time between two such rounds. After a start thousands
	// of servers get their orders, one by one.
	minBroadcastInterval = 50 * time.Millisecond
	// startupLocal and listenAcross are the same for a new entry host.
	startupLocal  = 2
	startupRemote = 1
	// minSeedChance is the least chance in that time of an exchange with a seed.
	minSeedChance = 0.5
	// pullDelay delays fetching changes from another entry host: most arrive from
	// the object API meanwhile.
	pullDelay = 150 * time.Millisecond
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 500 * time.Millisecond
	// aliveFor is how long an entry host counts as alive after the last message.
	aliveFor = 2 * time.Second
	// removeAfter is when a silent one is removed.
	removeAfter = 15 * time.Second
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

	// messages is the number of messages so far.
	messages atomic.Uint64

	mu sync.Mutex
	// started is when this entry host began to listen; settled says that a settled
	// member has sent it the list of members.
	started time.Time
	settled bool
	members map[string]*memberState
	clients map[string]*client
	// pulls holds the kinds of which changes are being pulled.
	pulls map[string]bool
	// lastRemote is when this entry host last exchanged with another domain.
	lastRemote time.Time
	broadcast  chan struct{}
	once       sync.Once
}

func (p *Peer) init() {
	p.once.Do(func() {
		p.started = time.Now()
		p.members = map[string]*memberState{}
		p.clients = map[string]*client{}
		p.pulls = map[string]bool{}
		p.broadcast = make(chan struct{}, 1)
	})
}

// Broadcast exchanges with others at once.
func (p *Peer) Broadcast() {
	p.init()
	select {
	case p.broadcast <- struct{}{}:
	default:
	}
}

// Run exchanges with others until the context ends.
func (p *Peer) Run(ctx context.Context, l net.Listener) {
	p.init()
	go p.serve(ctx, l)
	tick := time.NewTicker(localInterval)
	defer tick.Stop()
	p.round(ctx, broadcastLocal, broadcastRemote)
	push := p.broadcast
	var rested <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-push:
			p.round(ctx, broadcastLocal, broadcastRemote)
			push, rested = nil, time.After(minBroadcastInterval)
		case <-rested:
			push, rested = p.broadcast, nil
		case now := <-tick.C:
			own, others := p.fanout(now)
			p.round(ctx, own, others)
		}
	}
}

// fanout returns with how many entry hosts of the own domain and of others to
// exchange now. A new one exchanges with more, so that all know each other before
// one of them may lead.
func (p *Peer) fanout(now time.Time) (own, others int) {
	if !p.Settled() {
		return startupLocal, startupRemote
	}
	if now.Sub(p.lastRemote) < remoteInterval {
		return 1, 0
	}
	p.lastRemote = now
	return 1, 1
}

// round starts exchanges with some entry hosts of the own domain and of others.
func (p *Peer) round(ctx context.Context, own, others int) {
	for _, address := range p.partners(own, others) {
		p.startExchange(ctx, address)
	}
}

// startExchange starts an exchange unless one with that address is under way.
func (p *Peer) startExchange(ctx context.Context, address string) {
	c := p.client(address)
	if !c.acquire() {
		return
	}
	go func() {
		defer c.release()
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
		case now.Sub(m.lastHeard) > removeAfter:
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
	list := append(p.pick(near, own), p.pick(far, others)...)
	if len(p.Seeds) == 0 || p.random(seedChanceScale) >= int(p.seedChance(len(near)+len(far), now)*seedChanceScale) {
		return list
	}
	seed := p.Seeds[p.random(len(p.Seeds))]
	if seed != p.Self.Address && !slices.Contains(list, seed) {
		list = append(list, seed)
	}
	return list
}

// seedChanceScale is how finely the chance of an exchange with a seed is drawn.
const seedChanceScale = 1 << 16

// seedChance is the chance that an exchange goes to a seed as well. In calm all
// entry hosts together ask the seeds as often as one host asks others, however
// many they are.
func (p *Peer) seedChance(known int, now time.Time) float64 {
	chance := float64(len(p.Seeds)) / float64(max(known, 1))
	if now.Sub(p.started) < settleTime {
		return max(minSeedChance, chance)
	}
	return chance
}

// pick returns at most so many addresses, drawn at random.
func (p *Peer) pick(from []string, most int) []string {
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
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
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
	self.Seq = p.messages.Add(1)
	self.Store = p.StoreUp()
	self.Leaving = p.Leaving()
	self.Settled = p.Settled()
	return self
}
