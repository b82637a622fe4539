package peer

import (
	"context"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"

	"fuchsiashelf.dev/parts/wire"
)

// Mark adds a mark of this member and gossips it to the others. It reports
// whether the mark was new.
func (p *Peer) Mark(m Mark) bool {
	p.init()
	p.mu.Lock()
	changed := p.marks.Add(m, time.Now())
	p.mu.Unlock()
	if changed {
		p.TriggerRound()
	}
	return changed
}

// Broadcast adds a mark like Mark and sends it at once to all members that
// are alive. It returns when all calls have finished or the context ends. Its
// cost grows with the fleet, so use it only for rare facts that cannot wait
// for gossip rounds.
func (p *Peer) Broadcast(ctx context.Context, m Mark) {
	p.init()
	p.mu.Lock()
	p.marks.Add(m, time.Now())
	// A member may have been listed since the last round.
	p.updateHosts(p.Clock.Now())
	d := p.buildDigest(&LocalState{})
	d.Secret, d.Usages = p.Secret, nil
	d.Members = d.Members[:1]
	d.Marks = []*wire.Mark{wireMark(&m)}
	members := p.table.Others()
	p.mu.Unlock()
	pool, err := ants.NewPool(maxBroadcastCalls)
	if err != nil {
		return
	}
	defer pool.Release()
	var wg sync.WaitGroup
	for _, to := range members {
		if to.State != Alive || to.Address == "" {
			continue
		}
		wg.Add(1)
		err := pool.Submit(func() {
			defer wg.Done()
			_, _ = p.Client(ctx, to.Address).Exchange(ctx, d)
		})
		if err != nil {
			wg.Done()
		}
	}
	wg.Wait()
}

// Marks returns the marks of a kind that have not expired, by name.
func (p *Peer) Marks(kind Kind) map[string]Mark {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.marks.All(kind, time.Now())
}
