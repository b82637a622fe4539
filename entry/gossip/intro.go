package gossip

import (
	"context"
	"sync"
)

// MaxIntroduction is the longest time until Introduced ends, unless this process stalls.
const MaxIntroduction = exchangeTimeout

// introduction is the first exchange of a new entry host with its seeds. Until it ends the
// host knows only what the object API shows, which may be an older copy.
type introduction struct {
	once sync.Once
	done chan struct{}
}

func (i *introduction) end() { i.once.Do(func() { close(i.done) }) }

// Introduced returns a channel that is closed once a host that has a configuration has
// answered, or no seed has answered in time.
func (p *Peer) Introduced() <-chan struct{} {
	p.init()
	return p.introduction.done
}

// introduce starts an exchange with each seed. Only the first response contains changes.
func (p *Peer) introduce(ctx context.Context) {
	var exchanges sync.WaitGroup
	brief := false
	for _, address := range p.Seeds {
		c := p.client(address)
		if address == p.Self.Address || !c.acquire() {
			continue
		}
		isBrief := brief
		exchanges.Go(func() {
			defer c.release()
			if received := p.exchange(ctx, c, isBrief); received != nil && received.ConfigVersion > 0 {
				p.introduction.end()
			}
		})
		brief = true
	}
	go func() {
		exchanges.Wait()
		p.introduction.end()
	}()
}
