package gossip

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against hosts that count as absent because others rarely hear of them: limits would be divided by
// too few, and most hosts would watch the object API or own the same crash.
func TestHostsOfLargeFleetAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts = 143
		c := startCluster(hosts, 1)
		for range 30 {
			c.round()
			time.Sleep(localInterval)
		}
		watchers, owners := 0, 0
		for name, p := range c {
			senders, complete := p.Senders()
			qt.Check(t, []any{len(p.Alive()), len(senders), complete}, qt.DeepEquals, []any{hosts - 1, hosts - 1, true}, qt.Commentf(name))
			if p.WatcherRank() < 2 {
				watchers++
			}
			if p.Owns("request") {
				owners++
			}
		}
		qt.Check(t, []int{watchers, owners}, qt.DeepEquals, []int{10, 1}, qt.Commentf("watchers, owners"))
	})
}
