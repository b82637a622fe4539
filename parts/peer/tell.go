package peer

import (
	"context"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"

	"fuchsiashelf.dev/parts/wire"
)

// Mark takes a mark of this member's own and tells the others. It reports
// whether it was new.
func (p *Peer) Mark(m Mark) bool {
	p.init()
	p.mu.Lock()
	news := p.marks.Add(m, time.Now())
	p.mu.Unlock()
	if news {
		p.TriggerRound()
	}
	return news
}

// Broadcast takes a mark like Mark, and tells it to all living members at once. It
// returns when all have it or the context ends; its cost grows with the fleet,
// so it is for the rare fact that must not wait for rounds.
func (p *Peer) Broadcast(ctx context.Context, m Mark) {
	p.init()
	p.mu.Lock()
	p.marks.Add(m, time.Now())
	d := p.digest(&LocalState{})
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
