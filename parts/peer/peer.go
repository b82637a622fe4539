package peer

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rcrowley/go-metrics"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/stall"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/wire"
)

// Peer is one member. It exchanges digests with other members in each round.
// Set the exported fields, then call Run. Register the Peer, or a server that
// forwards Exchange and Members to it, as the entry service of a drpc server.
type Peer struct {
	wire.DRPCEntryUnimplementedServer

	// Name, Address and Domain describe this member.
	Name    string
	Address string
	Domain  domain.Name
	// Secret is shared by all members.
	Secret string
	// TLS is the configuration of connections to other members; nil means no
	// TLS.
	TLS *tls.Config
	// Seeds are the addresses to contact while the host list is not known.
	Seeds []string
	// Round is the time between rounds; zero means one second.
	Round time.Duration
	// Hosts returns the host list, or nil while it is not known.
	Hosts func() map[string]host.Host
	// Local returns the state to report about this member; nil reports
	// nothing.
	Local func() LocalState
	// OnEvent is called for each event, from several goroutines, and must not
	// block. If nil, events are dropped.
	OnEvent func(Event)
	// Trace records events and provides the logical clock of the digests.
	Trace *trace.Recorder
	// Log may be nil.
	Log *slog.Logger
	// Clock distinguishes the silence of other members from stalls of this process; nil
	// assumes none.
	Clock *stall.Clock
	// Done is closed when Run returns; may be nil.
	Done chan struct{}

	once        sync.Once
	trigger     chan struct{}
	pool        *ants.Pool
	conns       *drpcpool.Pool[string, *drpcconn.Conn]
	remoteRates atomic.Pointer[map[string]float64]

	mu          sync.Mutex
	rand        *rand.Rand
	table       *Table
	marks       Marks
	remoteUsage RemoteUsage
	// usageCursor is the position of the next team in the round-robin order of
	// digests.
	usageCursor int
	// exchanging holds the members with an exchange in progress.
	exchanging map[ID]bool
	// lastLookup holds the time of the last lookup of each ID.
	lastLookup map[uint64]time.Time
	lookups    []lookup
}

const (
	defaultRound = time.Second
	// exchangeTimeout bounds one exchange. With a round of one second, a
	// member that takes longer counts as not responding.
	exchangeTimeout = 800 * time.Millisecond
	// maxExchanges bounds the concurrent exchanges. More than a few are only
	// in progress when members do not respond and their timeouts run.
	maxExchanges = 16
	// maxBroadcastCalls bounds the concurrent calls of one Broadcast.
	maxBroadcastCalls = 32
	// maxConns and connIdleTimeout bound the idle connections that are kept
	// open.
	maxConns        = 64
	connIdleTimeout = 5 * time.Minute
	// lookupInterval is the minimum time between two lookups of one ID.
	lookupInterval = 10 * time.Second
	// A change triggers roundsPerChange extra rounds, extraRoundDelay apart.
	// A token bucket limits them to a burst of extraRoundBurst and one per
	// extraRoundInterval.
	roundsPerChange    = 4
	extraRoundBurst    = 12
	extraRoundInterval = 5 * time.Second
	extraRoundDelay    = 50 * time.Millisecond
)

// ErrSecret is returned for a wrong secret.
var ErrSecret = errors.New("peer: wrong secret")

// SecretsEqual compares secrets in constant time.
func SecretsEqual(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}

// init sets up the fields on first use, since other members may call before
// Run.
func (p *Peer) init() {
	p.once.Do(func() {
		now := time.Now()
		p.table = NewTable(Member{
			Name: p.Name, Address: p.Address, Domain: p.Domain,
			Record: Record{Incarnation: uint64(now.UnixMilli()), Heartbeat: 1},
		})
		if p.Round == 0 {
			p.Round = defaultRound
		}
		if p.Log == nil {
			p.Log = slog.New(slog.DiscardHandler)
		}
		p.rand = rand.New(rand.NewPCG(uint64(now.UnixNano()), uint64(IDOf(p.Name))))
		p.trigger = make(chan struct{}, 1)
		p.exchanging = map[ID]bool{}
		p.lastLookup = map[uint64]time.Time{}
		p.conns = drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
			Expiration: connIdleTimeout, Capacity: maxConns, KeyCapacity: 1,
		})
		p.remoteRates.Store(&map[string]float64{})
	})
}

// Run exchanges digests until the context ends, then announces that this
// member leaves.
func (p *Peer) Run(ctx context.Context) error {
	p.init()
	if p.Done != nil {
		defer close(p.Done)
	}
	pool, err := ants.NewPool(maxExchanges, ants.WithNonblocking(true))
	if err != nil {
		return err
	}
	defer pool.ReleaseTimeout(exchangeTimeout)
	defer p.conns.Close()
	p.pool = pool
	extraRounds := newTokenBucket(extraRoundBurst, extraRoundInterval)
	tick := time.NewTicker(p.Round)
	defer tick.Stop()
	pending := 0
	for {
		p.round(ctx)
		// Changes trigger extra rounds before the next tick. There are several
		// of them, since a partner may already know the change, and they are
		// rate limited.
		var extraRound <-chan time.Time
		if pending > 0 && extraRounds.allow(time.Now()) {
			pending--
			extraRound = time.After(extraRoundDelay)
		}
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				p.announceLeave()
				return nil
			case <-tick.C:
				waiting = false
			case <-extraRound:
				waiting = false
			case <-p.trigger:
				pending = roundsPerChange
				if extraRound == nil && extraRounds.allow(time.Now()) {
					pending--
					extraRound = time.After(extraRoundDelay)
				}
			}
		}
	}
}

// TriggerRound requests an extra round, to spread a change.
func (p *Peer) TriggerRound() {
	p.init()
	select {
	case p.trigger <- struct{}{}:
	default:
	}
}

// round starts one exchange with each partner of the round.
func (p *Peer) round(ctx context.Context) {
	now := p.Clock.Now()
	p.mu.Lock()
	p.updateHosts(now)
	p.table.Tick(now)
	p.marks.Sweep(time.Now())
	p.publishRates(now)
	partners := p.table.Partners(p.rand)
	seeds := p.Seeds
	if p.table.Len() > 0 {
		seeds = nil
	}
	lookups := p.lookups
	p.lookups = nil
	p.mu.Unlock()
	for _, l := range lookups {
		p.submit(func() { p.lookUpMembers(ctx, l.address, l.ids) })
	}
	for _, m := range partners {
		p.submit(func() { p.exchange(ctx, m) })
	}
	for _, address := range seeds {
		p.submit(func() { p.joinSeed(ctx, address) })
	}
}

// updateHosts applies the host list as it is known now. The mutex is held.
func (p *Peer) updateHosts(now time.Time) {
	if p.Hosts == nil {
		return
	}
	if hosts := p.Hosts(); hosts != nil {
		p.table.SetHosts(hosts, now)
	}
}

// submit runs work in the pool, or skips it if the pool is full.
func (p *Peer) submit(work func()) {
	if err := p.pool.Submit(work); err != nil {
		metrics.GetOrRegisterCounter("peer.rounds.skipped", nil).Inc(1)
	}
}

// publishRates updates the result of Rates.
func (p *Peer) publishRates(now time.Time) {
	reporting := 0
	for _, m := range p.table.others {
		if now.Sub(m.LastHeard) <= usageTTL {
			reporting++
		}
	}
	rates := p.remoteUsage.Rates(reporting, p.table.Len(), now)
	p.remoteRates.Store(&rates)
}

// Rates returns the requests per second of each team on all other members, as
// far as they have reported. The map must not be modified.
func (p *Peer) Rates() map[string]float64 {
	p.init()
	return *p.remoteRates.Load()
}

// localState returns the state to report about this member.
func (p *Peer) localState() *LocalState {
	if p.Local == nil {
		return &LocalState{}
	}
	local := p.Local()
	return &local
}

// Others returns the other members, sorted by name.
func (p *Peer) Others() []Member {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Others()
}

// Self returns this member.
func (p *Peer) Self() Member {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Self
}
