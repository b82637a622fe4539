package peer

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
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
	// Own returns what to say of this member; nil says nothing.
	Own func() Own
	// On is called for each event, from several goroutines; it must not
	// block. Nil drops events.
	On func(Event)
	// Trace gives the clock of the messages.
	Trace *trace.Line
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
	ledger      Ledger
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

// Same compares secrets in constant time.
func Same(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}

func (p *Peer) init() {
	p.once.Do(func() {
		now := time.Now()
		p.table = NewTable(Member{
			Name: p.Name, Address: p.Address, Domain: p.Domain,
			Record: Record{Incarnation: uint64(now.UnixMilli()), Beat: 1},
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

// Wake asks for a round ahead of time, since there is news.
func (p *Peer) Wake() {
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
			p.table.List(hosts, now)
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

func (p *Peer) own() *Own {
	if p.Own == nil {
		return &Own{}
	}
	own := p.Own()
	return &own
}

// exchange swaps digests with one member.
func (p *Peer) exchange(ctx context.Context, m Member) {
	id := IDOf(m.Name)
	p.mu.Lock()
	if p.busy[id] {
		p.mu.Unlock()
		return
	}
	p.busy[id] = true
	p.mu.Unlock()
	reply, err := p.swap(ctx, m.Address)
	p.mu.Lock()
	delete(p.busy, id)
	p.mu.Unlock()
	if err != nil {
		p.failed(ctx, m, err)
		return
	}
	p.learn(reply, m)
}

func (p *Peer) swap(ctx context.Context, address string) (*wire.Digest, error) {
	ctx, cancel := context.WithTimeout(ctx, roundWait)
	defer cancel()
	own := p.own()
	p.mu.Lock()
	mine := p.digest(own)
	p.mu.Unlock()
	mine.Secret = p.Secret
	return p.Client(ctx, address).Exchange(ctx, mine)
}

func (p *Peer) failed(ctx context.Context, m Member, err error) {
	if ctx.Err() != nil {
		return
	}
	p.mu.Lock()
	suspect := p.table.Failed(IDOf(m.Name), time.Now())
	p.mu.Unlock()
	if !suspect {
		return
	}
	p.Trace.Add("peer", "", "member does not answer: "+m.Name)
	p.Log.Warn("peer: member does not answer", "member", m.Name, "err", err)
	p.emit(Changed{})
}

// learn takes a digest and acts on what is new in it.
func (p *Peer) learn(d *wire.Digest, from Member) {
	p.mu.Lock()
	h := p.take(d, time.Now())
	clashes := p.table.Clashes
	p.table.Clashes = 0
	p.mu.Unlock()
	if clashes > 0 {
		metrics.GetOrRegisterCounter("peer.clashes", nil).Inc(1)
		p.Trace.Add("peer", "", "another member has the name "+p.Name)
		p.Log.Error("peer: another member has this name, or the clock was set back", "name", p.Name)
	}
	if len(h.marks) > 0 {
		p.emit(Marked{Marks: h.marks})
		p.Wake()
	}
	if d.Revision > p.own().Revision && from.Address != "" {
		p.emit(Newer{From: from, Revision: d.Revision})
	}
	if h.news {
		p.emit(Changed{})
	}
	if d.Stranger {
		// The other side has no name for this member and so never talks to
		// it by itself. A question for the other's own name introduces us.
		h.nameless = append(h.nameless, uint64(IDOf(from.Name)))
	}
	if len(h.nameless) > 0 && from.Address != "" {
		p.want(from.Address, h.nameless)
	}
}

func (p *Peer) emit(e Event) {
	if p.On != nil {
		p.On(e)
	}
}

// Exchange implements the call of the other members.
func (p *Peer) Exchange(_ context.Context, d *wire.Digest) (*wire.Digest, error) {
	p.init()
	if !Same(d.Secret, p.Secret) {
		metrics.GetOrRegisterCounter("peer.refused", nil).Inc(1)
		return nil, ErrSecret
	}
	var from Member
	if len(d.Members) > 0 {
		p.mu.Lock()
		from, _ = p.table.Get(ID(d.Members[0].Id))
		p.mu.Unlock()
	}
	p.learn(d, from)
	own := p.own()
	p.mu.Lock()
	defer p.mu.Unlock()
	reply := p.digest(own)
	reply.Stranger = from.Name == ""
	return reply, nil
}

// Mark takes a mark of this member's own and tells the others. It reports
// whether it was new.
func (p *Peer) Mark(m Mark) bool {
	p.init()
	p.mu.Lock()
	news := p.marks.Add(m, time.Now())
	p.mu.Unlock()
	if news {
		p.Wake()
	}
	return news
}

// Tell takes a mark like Mark, and tells it to all living members at once. It
// returns when all have it or the context ends; its cost grows with the fleet,
// so it is for the rare fact that must not wait for rounds.
func (p *Peer) Tell(ctx context.Context, m Mark) {
	p.init()
	p.mu.Lock()
	p.marks.Add(m, time.Now())
	d := p.digest(&Own{})
	d.Secret, d.Usages = p.Secret, nil
	d.Members = d.Members[:1]
	d.Marks = []*wire.Mark{wireMark(&m)}
	members := p.table.Others()
	p.mu.Unlock()
	tells, err := ants.NewPool(tellSize)
	if err != nil {
		return
	}
	defer tells.Release()
	var told sync.WaitGroup
	for _, to := range members {
		if to.State != Alive || to.Address == "" {
			continue
		}
		told.Add(1)
		err := tells.Submit(func() {
			defer told.Done()
			_, _ = p.Client(ctx, to.Address).Exchange(ctx, d)
		})
		if err != nil {
			told.Done()
		}
	}
	told.Wait()
}

// Marks returns the marks of a kind that have not ended, by name.
func (p *Peer) Marks(kind Kind) map[string]Mark {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.marks.All(kind, time.Now())
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

// dialWait bounds the time to reach another member.
const dialWait = time.Second

// Client returns a client of a member. It shares the kept connections, and
// dials when it is first used and none is free.
func (p *Peer) Client(ctx context.Context, address string) wire.DRPCEntryClient {
	p.init()
	return wire.NewDRPCEntryClient(p.conns.Get(ctx, address, p.dial))
}

func (p *Peer) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	dialer := net.Dialer{Timeout: dialWait}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	counts := &counted{raw, bytesIn, bytesOut}
	if p.TLS == nil {
		return drpcconn.New(counts), nil
	}
	secure := tls.Client(counts, p.TLS)
	if err := secure.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(err, raw.Close())
	}
	return drpcconn.New(secure), nil
}
