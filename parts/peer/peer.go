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
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/wire"
)

// Peer is one member: it exchanges digests with others each round. Set the
// exported fields, then Run. Register it, or a server that hands Exchange and
// Members on to it, at a drpc server for the entry service.
type Peer struct {
	wire.DRPCEntryUnimplementedServer

	// Name, Address and Domain are of this member.
	Name    string
	Address string
	Domain  domain.Name
	// Secret is shared by all members.
	Secret string
	// TLS is for connections to other members; nil for none.
	TLS *tls.Config
	// Seeds are addresses to begin with while the host list is not known.
	Seeds []string
	// Round is the time between rounds; zero means a second.
	Round time.Duration
	// Hosts returns the host list, or nil while it is not known.
	Hosts func() map[string]host.Host
	// Local returns what to say of this member; nil says nothing.
	Local func() LocalState
	// OnEvent is called for each event, from several goroutines; it must not
	// block. Nil drops events.
	OnEvent func(Event)
	// Trace gives the clock of the messages.
	Trace *trace.Recorder
	// Log may be nil.
	Log *slog.Logger
	// Done is closed when Run has ended; nil if nobody waits.
	Done chan struct{}

	once  sync.Once
	wake  chan struct{}
	pool  *ants.Pool
	conns *drpcpool.Pool[string, *drpcconn.Conn]
	rates atomic.Pointer[map[string]float64]

	mu          sync.Mutex
	rand        *rand.Rand
	table       *Table
	marks       Marks
	ledger      RemoteUsage
	usageCursor int
	busy        map[ID]bool
	asked       map[uint64]time.Time
	wants       []want
}

const (
	defaultRound = time.Second
	// roundWait bounds one exchange. A member that takes longer is as good as
	// silent to a round of a second.
	roundWait = 800 * time.Millisecond
	// poolSize bounds the exchanges under way; more than a few are silent
	// members on which a timeout runs.
	poolSize = 16
	// tellSize bounds the calls under way of one Tell.
	tellSize = 32
	// maxConns and connIdle bound the idle connections that are kept open.
	maxConns = 64
	connIdle = 5 * time.Minute
	// askAgain is the least time between two questions for one name.
	askAgain = 10 * time.Second
	// Rounds ahead of time: eagerRounds for each news, at most eagerBurst,
	// then one in each eagerEvery, eagerGap apart.
	eagerRounds = 4
	eagerBurst  = 12
	eagerEvery  = 5 * time.Second
	eagerGap    = 50 * time.Millisecond
)

// ErrSecret is the answer to a wrong secret.
var ErrSecret = errors.New("peer: wrong secret")

// SecretsEqual compares secrets in constant time.
func SecretsEqual(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}

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
		p.wake = make(chan struct{}, 1)
		p.busy = map[ID]bool{}
		p.asked = map[uint64]time.Time{}
		p.conns = drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
			Expiration: connIdle, Capacity: maxConns, KeyCapacity: 1,
		})
		p.rates.Store(&map[string]float64{})
	})
}

// Run exchanges digests until the context ends, then says goodbye.
func (p *Peer) Run(ctx context.Context) error {
	p.init()
	if p.Done != nil {
		defer close(p.Done)
	}
	pool, err := ants.NewPool(poolSize, ants.WithNonblocking(true))
	if err != nil {
		return err
	}
	defer pool.ReleaseTimeout(roundWait)
	defer p.conns.Close()
	p.pool = pool
	eager := newBudget(eagerBurst, eagerEvery)
	tick := time.NewTicker(p.Round)
	defer tick.Stop()
	hot := 0
	for {
		p.round(ctx)
		// News goes ahead of the next round, a few times over, since a member
		// may tell it to one that knows; but never as a storm.
		var soon <-chan time.Time
		if hot > 0 && eager.take(time.Now()) {
			hot--
			soon = time.After(eagerGap)
		}
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				p.goodbye()
				return nil
			case <-tick.C:
				waiting = false
			case <-soon:
				waiting = false
			case <-p.wake:
				hot = eagerRounds
				if soon == nil && eager.take(time.Now()) {
					hot--
					soon = time.After(eagerGap)
				}
			}
		}
	}
}

// TriggerRound asks for a round ahead of time, since there is news.
func (p *Peer) TriggerRound() {
	p.init()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// round begins one exchange with each partner of the round.
func (p *Peer) round(ctx context.Context) {
	now := time.Now()
	p.mu.Lock()
	if p.Hosts != nil {
		if hosts := p.Hosts(); hosts != nil {
			p.table.SetHosts(hosts, now)
		}
	}
	p.table.Tick(now)
	p.marks.Sweep(now)
	p.publishRates(now)
	partners := p.table.Partners(p.rand)
	seeds := p.Seeds
	if p.table.Len() > 0 {
		seeds = nil
	}
	wants := p.wants
	p.wants = nil
	p.mu.Unlock()
	for _, w := range wants {
		p.submit(func() { p.ask(ctx, w.address, w.ids) })
	}
	for _, m := range partners {
		p.submit(func() { p.exchange(ctx, m) })
	}
	for _, address := range seeds {
		p.submit(func() { p.join(ctx, address) })
	}
}

func (p *Peer) submit(work func()) {
	if err := p.pool.Submit(work); err != nil {
		metrics.GetOrRegisterCounter("peer.rounds.skipped", nil).Inc(1)
	}
}

func (p *Peer) publishRates(now time.Time) {
	heard := 0
	for _, m := range p.table.others {
		if now.Sub(m.Heard) <= usageAge {
			heard++
		}
	}
	rates := p.ledger.Rates(heard, p.table.Len(), now)
	p.rates.Store(&rates)
}

// Rates returns the requests per second of each team on all other members, as
// far as they have told. The map is read only.
func (p *Peer) Rates() map[string]float64 {
	p.init()
	return *p.rates.Load()
}

func (p *Peer) own() *LocalState {
	if p.Local == nil {
		return &LocalState{}
	}
	own := p.Local()
	return &own
}

// Others returns the other members, by name.
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
