// Package gossip exchanges state between entry hosts: objects of the object API that
// other hosts lack, suspected, slow and saturated servers, assignments, the load that
// each host puts on the servers, the demand for contended services, crashes of servers
// with their possible causes, when refused callers were told to return, and the list of
// entry hosts.
//
// Each entry host exchanges messages with a few others several times a second, and at
// once when something changes. There is no consensus protocol: every fact carries a
// revision or an age, and the newer fact wins.
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

	"storj.io/drpc"

	"fuchsiashelf.dev/parts/limit"
	"fuchsiashelf.dev/parts/mirror"
	"fuchsiashelf.dev/parts/poison"
	"fuchsiashelf.dev/parts/reach"
	"fuchsiashelf.dev/parts/resv"
	"fuchsiashelf.dev/parts/router"
	"fuchsiashelf.dev/parts/share"
	"fuchsiashelf.dev/parts/stall"
)

// Timeouts, intervals and fan-out.
const (
	// An entry host exchanges messages with one host of the local domain every
	// localInterval, and with one of another failure domain every remoteInterval:
	// traffic between failure domains is expensive.
	localInterval  = 400 * time.Millisecond
	remoteInterval = 1200 * time.Millisecond
	// A broadcast goes to broadcastLocal hosts of the local domain and to
	// broadcastRemote hosts of other failure domains.
	broadcastLocal  = 12
	broadcastRemote = 2
	// forwardLocal and forwardRemote are the same for news of other hosts. Every host that accepts
	// such news forwards it: with 12 and 2, a partition of 30 servers caused 1.45 times as many
	// exchanges among 143 simulated hosts. With 4 and 1, the last host learned of a crash 27 ms later.
	forwardLocal  = 6
	forwardRemote = 1
	// minBroadcastInterval is the minimum time between two broadcasts. After a start
	// thousands of servers get their assignments one by one, and each assignment
	// asks for a broadcast.
	minBroadcastInterval = 50 * time.Millisecond
	// startupLocal and startupRemote are the numbers of hosts per round until this
	// host is settled.
	startupLocal  = 2
	startupRemote = 1
	// minSeedChance is the minimum probability that a round includes a seed during
	// settleTime.
	minSeedChance = 0.5
	// pullDelay is the delay before changes are pulled from another entry host: in
	// the meantime most of them arrive from the object API.
	pullDelay = 150 * time.Millisecond
	// exchangeTimeout limits one exchange.
	exchangeTimeout = 500 * time.Millisecond
	// aliveFor is how long an entry host counts as alive after its last message.
	aliveFor = 2 * time.Second
	// removeAfter is how long after its last message an entry host is removed.
	removeAfter = 15 * time.Second
)

// Peer exchanges the state of this entry host with others. Set the exported fields
// before Run.
type Peer struct {
	Self Member
	// Seeds are addresses of entry hosts to contact first; they may be out of date.
	Seeds   []string
	Mirrors []*mirror.Mirror
	Load    *router.LoadTracker
	// StartLatency holds how long requests wait at the first servers of chains.
	StartLatency *router.StartLatency
	Crashes      *poison.Detector
	Limits       *limit.Tracker
	// Returns holds what refused callers were told; nil means that nothing is exchanged of it.
	Returns *resv.Book
	// Shares tracks the demand of classes of requests; nil means none.
	Shares *share.Tracker
	Log    *slog.Logger
	// Clock distinguishes the silence of other hosts from stalls of this process; nil assumes none.
	Clock *stall.Clock
	// Suspects returns the suspected servers; OnSuspect handles those of other hosts.
	Suspects  func() []Suspect
	OnSuspect func(Suspect)
	// Answers returns the servers that have answered after they were suspected; OnAnswer handles
	// those of other hosts. Nil means that none are exchanged.
	Answers  func() []Answer
	OnAnswer func(Answer)
	// SlowServers returns the slow servers; OnSlow handles those of other hosts.
	SlowServers func() []SlowServer
	OnSlow      func(SlowServer)
	// Assignments returns the known assignments; OnAssignment handles those of other
	// hosts.
	Assignments  func() []Assignment
	OnAssignment func(Assignment)
	// Departures returns the servers that get no new requests although their entries, or
	// those of a restored object API, may say otherwise; OnDeparture handles those of other hosts.
	Departures  func() []Departure
	OnDeparture func(Departure)
	// Config returns the version of the configuration in force, and the encoded
	// configuration if the object API does not hold it; OnConfig handles that of another
	// host.
	Config   func() (version uint64, spec []byte)
	OnConfig func(spec []byte)
	// OnChange is called after a mirror changed.
	OnChange func(kind string)
	// StoreUp reports whether the object API answers this entry host.
	StoreUp func() bool
	// Reach returns whether this entry host reaches backend servers; nil means that it is
	// unknown.
	Reach func() reach.State
	// Leaving reports whether this entry host is about to stop.
	Leaving func() bool
	// ExpectsFromStore reports whether changes of a kind also arrive from the object
	// API. If not, they are pulled from other hosts at once.
	ExpectsFromStore func(kind string) bool
	// Tunnels handles the calls of other hosts that open tunnels; nil rejects them.
	Tunnels drpc.Handler
	// Random returns a number in [0, n); nil means math/rand.
	Random func(n int) int

	// lastSeq is the Seq of the last message.
	lastSeq atomic.Uint64

	mu sync.Mutex
	// started is when this entry host began to listen. settled says that a settled
	// member has sent it a list of members.
	started time.Time
	settled bool
	members map[string]*memberState
	clients map[string]*client
	// pulls holds the kinds whose changes are being pulled.
	pulls map[string]bool
	// notify holds the names of the hosts that take part in the next broadcast.
	notify map[string]bool
	// full says that the next broadcast is not only for calls of Forward.
	full bool
	// lastRemote is when Run last chose a host of another failure domain.
	lastRemote time.Time
	// broadcast tells Run to start a broadcast.
	broadcast    chan struct{}
	introduction introduction
	once         sync.Once
}

// init initializes the unexported fields once.
func (p *Peer) init() {
	p.once.Do(func() {
		p.started = p.Clock.Now()
		p.members = map[string]*memberState{}
		p.clients = map[string]*client{}
		p.pulls = map[string]bool{}
		p.notify = map[string]bool{}
		p.broadcast = make(chan struct{}, 1)
		p.introduction.done = make(chan struct{})
	})
}

// Broadcast sends the local state to other entry hosts at once.
func (p *Peer) Broadcast() {
	p.init()
	p.mu.Lock()
	p.full = true
	p.mu.Unlock()
	p.Forward()
}

// Forward is like Broadcast, but sends to fewer hosts. It is for news that this host has from
// another one.
func (p *Peer) Forward() {
	p.init()
	select {
	case p.broadcast <- struct{}{}:
	default:
	}
}

// broadcastFanout returns how many entry hosts of the local domain and of other failure domains
// take part in the broadcast that begins.
func (p *Peer) broadcastFanout() (local, remote int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.full {
		return forwardLocal, forwardRemote
	}
	p.full = false
	return broadcastLocal, broadcastRemote
}

// Run serves exchanges and starts gossip rounds until the context ends.
func (p *Peer) Run(ctx context.Context, l net.Listener) {
	p.init()
	go p.serve(ctx, l)
	p.introduce(ctx)
	tick := time.NewTicker(localInterval)
	defer tick.Stop()
	p.round(ctx, broadcastLocal, broadcastRemote)
	broadcast := p.broadcast
	var intervalOver <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-broadcast:
			local, remote := p.broadcastFanout()
			p.round(ctx, local, remote)
			p.notifyHosts(ctx)
			broadcast, intervalOver = nil, time.After(minBroadcastInterval)
		case <-intervalOver:
			broadcast, intervalOver = p.broadcast, nil
		case now := <-tick.C:
			local, remote := p.fanout(now)
			p.round(ctx, local, remote)
		}
	}
}

// fanout returns how many entry hosts of the local domain and of other failure domains
// take part in the next round. A host that is not settled contacts more, so that all
// hosts know each other before one of them may become leader.
func (p *Peer) fanout(now time.Time) (local, remote int) {
	if !p.Settled() {
		return startupLocal, startupRemote
	}
	if now.Sub(p.lastRemote) < remoteInterval {
		return 1, 0
	}
	p.lastRemote = now
	return 1, 1
}

// round starts exchanges with hosts of the local domain and of other failure domains.
func (p *Peer) round(ctx context.Context, local, remote int) {
	for _, address := range p.partners(local, remote) {
		p.startExchange(ctx, address)
	}
}

// startExchange starts an exchange unless one with the same address is in progress.
// During a pull the response contains no changes, so that none are sent twice.
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

// partners returns the addresses of random entry hosts for a round, and sometimes that
// of a seed: without it, groups that started from different seeds would stay
// partitioned, each with its own leader. It also removes hosts that have sent no
// message for removeAfter.
func (p *Peer) partners(local, remote int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	var localHosts, remoteHosts []string
	for name, m := range p.members {
		switch {
		case now.Sub(m.heardAt) > removeAfter:
			p.remove(name, m.Address)
		case m.Domain == p.Self.Domain:
			localHosts = append(localHosts, m.Address)
		default:
			remoteHosts = append(remoteHosts, m.Address)
		}
	}
	if len(localHosts) == 0 {
		// A host that is alone in its failure domain contacts remote hosts as often
		// as others contact local ones.
		remote = max(remote, local)
	}
	list := append(p.pick(localHosts, local), p.pick(remoteHosts, remote)...)
	if len(p.Seeds) == 0 || p.random(seedChanceScale) >= int(p.seedChance(len(localHosts)+len(remoteHosts), now)*seedChanceScale) {
		return list
	}
	seed := p.Seeds[p.random(len(p.Seeds))]
	if seed != p.Self.Address && !slices.Contains(list, seed) {
		list = append(list, seed)
	}
	return list
}

// seedChanceScale is the range of the random number that decides, compared with the
// seed chance, whether a round includes a seed.
const seedChanceScale = 1 << 16

// seedChance returns the probability that a round includes a seed, given the number of
// known entry hosts. After settleTime, a seed is contacted about once per round by all
// entry hosts together, regardless of their number.
func (p *Peer) seedChance(known int, now time.Time) float64 {
	chance := float64(len(p.Seeds)) / float64(max(known, 1))
	if now.Sub(p.started) < settleTime {
		return max(minSeedChance, chance)
	}
	return chance
}

// pick returns at most n of the addresses, chosen at random. It reorders the addresses.
func (p *Peer) pick(addresses []string, n int) []string {
	slices.Sort(addresses)
	p.shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(n, len(addresses))]
}

// shuffle works like rand.Shuffle, but takes its numbers from p.random.
func (p *Peer) shuffle(n int, swap func(i, j int)) {
	for i := n - 1; i > 0; i-- {
		swap(i, p.random(i+1))
	}
}

// random returns a number in [0, n).
func (p *Peer) random(n int) int {
	if p.Random == nil {
		return rand.IntN(n)
	}
	return p.Random(n)
}

// client returns the client for an address.
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

// exchange sends the local state, without changes, to one entry host and merges the
// response, which contains no changes either if brief is set. It returns the response, or
// nil if there is none.
func (p *Peer) exchange(ctx context.Context, c *client, brief bool) *Message {
	startedAt := p.Clock.Mark()
	ctx, cancel := p.Clock.WithIdleTimeout(ctx, exchangeTimeout, nil)
	defer cancel()
	sent := p.message(nil)
	sent.Brief = brief
	received := &Message{}
	if err := c.call(ctx, sent, received); err != nil {
		if !c.failing {
			p.Log.Warn("peers: no answer", "address", c.address, "error", err, "delay", p.Clock.Delay(startedAt))
		}
		c.failing = true
		return nil
	}
	c.failing = false
	p.Merge(received)
	return received
}

// self returns the current state of this entry host for the next message.
func (p *Peer) self() Member {
	self := p.Self
	self.Seq = p.lastSeq.Add(1)
	self.Store = p.StoreUp()
	self.Reach = p.reach()
	self.Leaving = p.Leaving()
	self.Settled = p.Settled()
	return self
}

// reach returns whether this entry host reaches backend servers.
func (p *Peer) reach() reach.State {
	if p.Reach == nil {
		return reach.Unknown
	}
	return p.Reach()
}
