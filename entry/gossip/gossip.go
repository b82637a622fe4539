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

	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"
	"storj.io/drpc"

	"fuchsiashelf.dev/parts/limit"
	"fuchsiashelf.dev/parts/mirror"
	"fuchsiashelf.dev/parts/poison"
	"fuchsiashelf.dev/parts/reach"
	"fuchsiashelf.dev/parts/resv"
	"fuchsiashelf.dev/parts/roster"
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

	facts facts
	// lastSeq is the Seq of the last message.
	lastSeq atomic.Uint64
	// checks makes hosts that ask about the same member share the answer.
	checks singleflight.Group
	// exchanges counts the exchanges that this host began, and responses those of others that it
	// answered.
	exchanges, responses atomic.Int64

	mu sync.Mutex
	// started is when this entry host began to listen. settled says that a settled
	// member has sent it a list of members.
	started time.Time
	settled bool
	// roster is the list of the other entry hosts, and asksForMembers says that the next
	// request asks for all of them.
	roster         roster.Table
	asksForMembers bool
	clients        map[string]*client
	// pulls holds the kinds whose changes are being pulled.
	pulls map[string]bool
	// lastRemote is when Run last chose a host of another failure domain.
	lastRemote time.Time
	// broadcast tells Run to start a broadcast.
	broadcast chan struct{}
	// budget limits the exchanges that broadcasts start.
	budget       *rate.Limiter
	introduction introduction
	once         sync.Once
}

// init initializes the unexported fields once.
func (p *Peer) init() {
	p.once.Do(func() {
		p.started = p.Clock.Now()
		p.roster = roster.Table{Self: p.Self.Name, Domain: p.Self.Domain, Boot: p.Self.Boot, Clock: p.Clock, Random: p.random}
		p.asksForMembers = true
		p.clients = map[string]*client{}
		p.pulls = map[string]bool{}
		p.broadcast = make(chan struct{}, 1)
		p.budget = newBroadcastBudget()
		p.introduction.done = make(chan struct{})
	})
}

// Exchanges returns how many exchanges this entry host has begun, and how many of others it has
// answered.
func (p *Peer) Exchanges() (begun, answered int64) { return p.exchanges.Load(), p.responses.Load() }

// Broadcast sends the local state to other entry hosts at once.
func (p *Peer) Broadcast() {
	p.init()
	select {
	case p.broadcast <- struct{}{}:
	default:
	}
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
	// untold is the number of hosts that the last broadcast has yet to reach.
	untold := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-broadcast:
			untold = p.announce(ctx, broadcastFanout, time.Now())
			broadcast, intervalOver = nil, time.After(minBroadcastInterval)
		case <-intervalOver:
			broadcast, intervalOver = p.broadcast, nil
			if untold > 0 {
				untold = p.announce(ctx, untold, time.Now())
				intervalOver = time.After(minBroadcastInterval)
			}
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

// partners returns the addresses of entry hosts for a round, and sometimes that of a seed:
// without it, groups that started from different seeds would stay partitioned, each with its
// own leader. It also removes hosts that left or became absent a while ago.
func (p *Peer) partners(local, remote int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.sweepMembers(now)
	list := p.roster.Partners(local, remote, now)
	known := len(p.roster.Current(now).Members)
	if len(p.Seeds) == 0 || p.random(seedChanceScale) >= int(p.seedChance(known, p.Clock.Now())*seedChanceScale) {
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
// nil if there is none; then it finds out whether the host is absent.
func (p *Peer) exchange(ctx context.Context, c *client, brief bool) *Message {
	startedAt := time.Now()
	received := p.contact(ctx, c, brief)
	if received == nil {
		go p.verify(ctx, c.address, startedAt)
	}
	return received
}

// contact is exchange without a check of a host that does not answer.
func (p *Peer) contact(ctx context.Context, c *client, brief bool) *Message {
	p.exchanges.Add(1)
	startedAt := p.Clock.Mark()
	callCtx, cancel := p.Clock.WithIdleTimeout(ctx, exchangeTimeout, nil)
	defer cancel()
	sent := p.message(nil)
	sent.Brief, sent.WantMembers = brief, p.wantsMembers()
	received := &Message{}
	if err := c.call(callCtx, sent, received); err != nil {
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
