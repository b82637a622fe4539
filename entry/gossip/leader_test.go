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
	"fuchsiashelf.dev/parts/poison"
	"fuchsiashelf.dev/parts/router"
)

func newPeer(n int) *Peer {
	name := fmt.Sprintf("entry-%03d", n)
	return &Peer{
		Self:   Member{Name: name, Address: name, Domain: domain.Name(fmt.Sprint(n % 5)), Boot: 1},
		Ledger: &router.LoadTracker{}, Starts: &router.StartLatency{}, Tally: &poison.Counter{}, Log: slog.New(slog.DiscardHandler),
		Suspects: func() []Suspect { return nil }, OnSuspect: func(Suspect) {},
		SlowServers: func() []SlowServer { return nil }, OnSlow: func(SlowServer) {},
		Assignments: func() []Assignment { return nil }, OnAssignment: func(Assignment) {},
		OnChange: func(string) {}, ExpectsFromStore: func(string) bool { return false },
		StoreUp: func() bool { return true }, Leaving: func() bool { return false },
	}
}

// town exchanges messages between entry hosts without a network.
type town map[string]*Peer

func (tn town) at(n int) *Peer {
	return tn[fmt.Sprintf("entry-%03d", n)]
}

// round lets each entry host exchange with its partners.
func (tn town) round() {
	for n := range len(tn) {
		p := tn.at(n)
		for _, address := range p.partners(p.fanout(time.Now())) {
			if other := tn[address]; other != nil && other != p {
				p.Merge(other.Respond(p.message(nil)))
			}
		}
	}
}

// startTown starts so many entry hosts at once.
func startTown(n int, seed uint64) town {
	random := rand.New(rand.NewPCG(seed, 1))
	tn := town{}
	for i := range n {
		p := newPeer(i)
		p.Seeds = []string{"entry-007", "entry-033", "entry-061"}
		p.Random = random.IntN
		p.init()
		tn[p.Self.Name] = p
	}
	return tn
}

func (tn town) leaders() []string {
	var list []string
	for name, p := range tn {
		if p.IsLeader() {
			list = append(list, name)
		}
	}
	return list
}

// Guards against several entry hosts that place layers at once after all of
// them were restarted together.
func TestOneLeaderAfterARestartOfAll(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			tn := startTown(80, seed)
			for range 20 {
				tn.round()
				leaders := tn.leaders()
				qt.Assert(t, len(leaders) <= 1, qt.IsTrue, qt.Commentf("%v lead", leaders))
				time.Sleep(localInterval)
			}
			qt.Assert(t, tn.leaders(), qt.DeepEquals, []string{"entry-000"})
		})
	}
}

// Guards against groups of entry hosts that began with different seeds and never
// hear of each other.
func TestGroupsOfDifferentSeedsMerge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tn := startTown(80, 1)
		// Each knows its own half of them.
		for i := range 80 {
			for j := range 80 {
				if i != j && i < 40 == (j < 40) {
					tn.at(i).Merge(tn.at(j).message(nil))
				}
			}
		}
		time.Sleep(settleTime)
		for range 20 {
			tn.round()
			time.Sleep(localInterval)
		}
		qt.Assert(t, tn.leaders(), qt.DeepEquals, []string{"entry-000"})
	})
}

// Guards against a restarted entry host that places layers before it has heard
// of the others, or waits longer than it must.
func TestNewHostIsSettledByAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old, other, fresh := newPeer(1), newPeer(2), newPeer(0)
		old.init()
		time.Sleep(settleTime)
		qt.Assert(t, old.IsLeader(), qt.IsTrue)
		fresh.Merge(other.message(nil))
		qt.Assert(t, fresh.IsLeader(), qt.IsFalse)
		fresh.Merge(old.message(nil))
		qt.Assert(t, fresh.IsLeader(), qt.IsTrue)
	})
}

// Guards against all entry hosts calling an object API that is down, each for
// itself, and against none that does when it is down for the first of them only.
func TestFewWatchAnObjectAPIThatIsDown(t *testing.T) {
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
	main := func() (list []int) {
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
	qt.Check(t, main(), qt.DeepEquals, []int{0, 1})
	up["entry-007"], up["entry-012"], up["entry-013"] = true, true, true
	qt.Check(t, main(), qt.DeepEquals, []int{0, 1, 7, 12})
	for i := range peers {
		up[peers[i].Self.Name] = true
	}
	qt.Check(t, main(), qt.DeepEquals, []int{0, 1})
}

// Guards against an entry host that counts as out of the object API's reach, since
// a third one's message of before was on its way for longer than its own.
func TestLaterStateCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := false
		one, third, p := newPeer(1), newPeer(2), newPeer(3)
		one.StoreUp = func() bool { return up }
		third.Merge(one.message(nil))
		late := third.message(nil)
		up = true
		p.Merge(one.message(nil))
		time.Sleep(time.Second)
		p.Merge(late)
		for _, m := range p.Members() {
			if m.Name == one.Self.Name {
				qt.Check(t, m.Store, qt.IsTrue)
			}
		}
	})
}
