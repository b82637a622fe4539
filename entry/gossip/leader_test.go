package gossip

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/limit"
	"fuchsiashelf.dev/parts/poison"
	"fuchsiashelf.dev/parts/router"
)

// newPeer returns the n-th entry host, which belongs to one of five failure domains.
func newPeer(n int) *Peer {
	name := fmt.Sprintf("entry-%03d", n)
	return &Peer{
		Self: Member{Name: name, Address: name, Domain: domain.Name(fmt.Sprint(n % 5)), Boot: 1},
		Load: &router.LoadTracker{}, StartLatency: &router.StartLatency{}, Crashes: &poison.Detector{Log: slog.New(slog.DiscardHandler)}, Limits: &limit.Tracker{}, Log: slog.New(slog.DiscardHandler),
		Suspects: func() []Suspect { return nil }, OnSuspect: func(Suspect) {},
		SlowServers: func() []SlowServer { return nil }, OnSlow: func(SlowServer) {},
		Assignments: func() []Assignment { return nil }, OnAssignment: func(Assignment) {},
		Departures: func() []Departure { return nil }, OnDeparture: func(Departure) {},
		Config: func() (uint64, []byte) { return 0, nil }, OnConfig: func([]byte) {},
		OnChange: func(string) {}, ExpectsFromStore: func(string) bool { return false },
		StoreUp: func() bool { return true }, Leaving: func() bool { return false },
	}
}

// cluster exchanges messages between entry hosts without a network.
type cluster map[string]*Peer

// at returns the n-th entry host.
func (c cluster) at(n int) *Peer {
	return c[fmt.Sprintf("entry-%03d", n)]
}

// round lets each entry host exchange with its partners.
func (c cluster) round() {
	for n := range len(c) {
		p := c.at(n)
		for _, address := range p.partners(p.fanout(time.Now())) {
			if other := c[address]; other != nil && other != p {
				p.Merge(other.Respond(p.message(nil)))
			}
		}
	}
}

// startCluster starts n entry hosts at once.
func startCluster(n int, seed uint64) cluster {
	random := rand.New(rand.NewPCG(seed, 1))
	c := cluster{}
	for i := range n {
		p := newPeer(i)
		p.Seeds = []string{"entry-007", "entry-033", "entry-061"}
		p.Random = random.IntN
		p.init()
		c[p.Self.Name] = p
	}
	return c
}

// leaders returns the names of the hosts that consider themselves the leader.
func (c cluster) leaders() []string {
	var list []string
	for name, p := range c {
		if p.IsLeader() {
			list = append(list, name)
		}
	}
	return list
}

// Guards against several leaders that place layers at once after all entry hosts were
// restarted together.
func TestOneLeaderAfterFullRestart(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			c := startCluster(80, seed)
			for range 20 {
				c.round()
				leaders := c.leaders()
				qt.Assert(t, len(leaders) <= 1, qt.IsTrue, qt.Commentf("%v lead", leaders))
				time.Sleep(localInterval)
			}
			qt.Assert(t, c.leaders(), qt.DeepEquals, []string{"entry-000"})
		})
	}
}

// Guards against groups of entry hosts that started with different seeds and never
// learn of each other.
func TestPartitionsOfDifferentSeedsMerge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(80, 1)
		// Each host knows only its own half.
		for i := range 80 {
			for j := range 80 {
				if i != j && i < 40 == (j < 40) {
					c.at(i).Merge(c.at(j).message(nil))
				}
			}
		}
		time.Sleep(settleTime)
		for range 20 {
			c.round()
			time.Sleep(localInterval)
		}
		qt.Assert(t, c.leaders(), qt.DeepEquals, []string{"entry-000"})
	})
}

// Guards against a restarted entry host that places layers before it knows the
// others, or waits longer than necessary.
func TestNewHostIsSettledByMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settled, unsettled, fresh := newPeer(1), newPeer(2), newPeer(0)
		settled.init()
		time.Sleep(settleTime)
		qt.Assert(t, settled.IsLeader(), qt.IsTrue)
		fresh.Merge(unsettled.message(nil))
		qt.Assert(t, fresh.IsLeader(), qt.IsFalse)
		fresh.Merge(settled.message(nil))
		qt.Assert(t, fresh.IsLeader(), qt.IsTrue)
	})
}

// Guards against all entry hosts calling an object API that is down, and against none
// calling it when it is down for the first hosts only.
func TestFewHostsWatchDuringOutage(t *testing.T) {
	const hosts = 20
	up := map[string]bool{}
	peers := make([]*Peer, hosts)
	for i := range peers {
		p := newPeer(i)
		p.Self.Domain = "a"
		p.StoreUp = func() bool { return up[p.Self.Name] }
		p.init()
		peers[i] = p
	}
	watchers := func() (list []int) {
		for i, p := range peers {
			for _, other := range peers {
				if other != p {
					p.Merge(other.message(nil))
				}
			}
			if p.WatcherRank() < 2 {
				list = append(list, i)
			}
		}
		return list
	}
	qt.Check(t, watchers(), qt.DeepEquals, []int{0, 1})
	up["entry-007"], up["entry-012"], up["entry-013"] = true, true, true
	qt.Check(t, watchers(), qt.DeepEquals, []int{0, 1, 7, 12})
	for i := range peers {
		up[peers[i].Self.Name] = true
	}
	qt.Check(t, watchers(), qt.DeepEquals, []int{0, 1})
}

// Guards against treating an entry host as cut off from the object API because of its
// older state, which arrives by way of a third host after a newer message of its own.
func TestNewerStateWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := false
		first, third, p := newPeer(1), newPeer(2), newPeer(3)
		first.StoreUp = func() bool { return up }
		third.Merge(first.message(nil))
		older := third.message(nil)
		up = true
		p.Merge(first.message(nil))
		time.Sleep(time.Second)
		p.Merge(older)
		for _, m := range p.Members() {
			if m.Name == first.Self.Name {
				qt.Check(t, m.Store, qt.IsTrue)
			}
		}
	})
}
