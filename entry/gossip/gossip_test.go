package gossip_test

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/gossip"
	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fair"
	"fuchsiashelf.dev/parts/limit"
	"fuchsiashelf.dev/parts/mirror"
	"fuchsiashelf.dev/parts/poison"
	"fuchsiashelf.dev/parts/resv"
	"fuchsiashelf.dev/parts/router"
)

func newPeer(n int, mirrors ...*mirror.Mirror) *gossip.Peer {
	name := fmt.Sprintf("entry-%03d", n)
	return &gossip.Peer{
		Self: gossip.Member{Name: name, Address: name + ":1", Domain: domain.Name(fmt.Sprint(n % 5)), Boot: 1}, Mirrors: mirrors,
		Load: &router.LoadTracker{}, StartLatency: &router.StartLatency{}, Crashes: &poison.Detector{Log: slog.New(slog.DiscardHandler)}, Limits: &limit.Tracker{}, Log: slog.New(slog.DiscardHandler),
		Suspects: func() []gossip.Suspect { return nil }, OnSuspect: func(gossip.Suspect) {},
		SlowServers: func() []gossip.SlowServer { return nil }, OnSlow: func(gossip.SlowServer) {},
		Assignments: func() []gossip.Assignment { return nil }, OnAssignment: func(gossip.Assignment) {},
		Departures: func() []gossip.Departure { return nil }, OnDeparture: func(gossip.Departure) {},
		Config: func() (uint64, []byte) { return 0, nil }, OnConfig: func([]byte) {},
		OnChange: func(string) {}, ExpectsFromStore: func(string) bool { return false },
		StoreUp: func() bool { return true }, Leaving: func() bool { return false },
	}
}

// Guards against several leaders at once, and against hosts that the others never
// learn of: with hundreds of entry hosts a message lists only some members, yet each
// host must soon know the first of each failure domain, and later nearly all.
func TestFirstMembersAreKnownSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 1))
		const n = 200
		peers := make([]*gossip.Peer, n)
		for i := range peers {
			peers[i] = newPeer(i)
			peers[i].Merge(&gossip.Message{From: newPeer(0).Self})
		}
		round := func() {
			for i, p := range peers {
				other := peers[random.IntN(n)]
				if other != p {
					p.Merge(other.Respond(&gossip.Message{From: peers[i].Self}))
				}
			}
		}
		for range 8 {
			round()
		}
		for _, p := range peers {
			known := map[string]bool{p.Self.Name: true}
			for _, m := range p.Alive() {
				known[m.Name] = true
			}
			for i := range 5 {
				qt.Assert(t, known[fmt.Sprintf("entry-%03d", i)], qt.IsTrue, qt.Commentf("%s does not know entry-%03d", p.Self.Name, i))
			}
		}
		for range 60 {
			round()
		}
		for _, p := range peers {
			qt.Assert(t, len(p.Members()) > n*9/10, qt.IsTrue, qt.Commentf("%s knows %d", p.Self.Name, len(p.Members())))
		}
	})
}

// Guards against changes that do not reach a host which the object API does not
// answer, including a host that has no state yet.
func TestChangesArePropagated(t *testing.T) {
	a, b := &mirror.Mirror{Kind: "config"}, &mirror.Mirror{Kind: "config"}
	a.Replace([]mirror.Object{{Name: "main", Revision: 7, Spec: []byte("x")}}, mirror.Position{Revision: 9})
	one, other := newPeer(1, a), newPeer(2, b)
	exchange := func() {
		other.Merge(one.Respond(&gossip.Message{From: other.Self, Cursors: map[string]uint64{"config": b.Cursor().Revision}}))
	}
	exchange()
	qt.Assert(t, b.Items(), qt.DeepEquals, a.Items())
	a.Merge(mirror.Batch{After: 9, Cursor: 12, Items: []mirror.Object{{Name: "main", Revision: 12, Spec: []byte("y")}}})
	exchange()
	qt.Assert(t, b.Items(), qt.DeepEquals, a.Items())
	qt.Assert(t, b.Cursor().Revision, qt.Equals, uint64(12))
}

// Guards against each entry host detecting slow servers only from its own late
// responses.
func TestSlowServersArePropagated(t *testing.T) {
	one, other := newPeer(1), newPeer(2)
	slow := gossip.SlowServer{ID: "s", Times: 12, Left: time.Second}
	one.SlowServers = func() []gossip.SlowServer { return []gossip.SlowServer{slow} }
	var received []gossip.SlowServer
	other.OnSlow = func(s gossip.SlowServer) { received = append(received, s) }
	other.Merge(one.Respond(&gossip.Message{From: other.Self}))
	qt.Assert(t, received, qt.DeepEquals, []gossip.SlowServer{slow})
}

// Guards against refused callers that are taken for new when they return to another entry host, and
// against hosts that pass on only what they told callers themselves.
func TestPromisesArePropagated(t *testing.T) {
	peers := []*gossip.Peer{newPeer(1), newPeer(2), newPeer(3)}
	for _, p := range peers {
		p.Returns = &resv.Book{}
	}
	now := time.Now()
	due := now.Add(peers[0].Returns.Promise("s", 7, 2*time.Second, 5*time.Second, 0, now))
	for i, p := range peers[1:] {
		p.Merge(peers[i].Respond(&gossip.Message{From: p.Self}))
	}
	qt.Check(t, peers[2].Returns.Arrive(7, now), qt.Equals, fair.Early)
	qt.Check(t, peers[2].Returns.Arrive(7, due.Add(time.Second)), qt.Equals, fair.OnTime)
}

// Guards against an entry host of an older version, which sends no promises, or one that makes none, whose
// messages end those that are known or cause a crash.
func TestMessageWithoutPromisesIsNoNews(t *testing.T) {
	one, other := newPeer(1), newPeer(2)
	one.Returns = &resv.Book{}
	now := time.Now()
	one.Returns.Promise("s", 7, 2*time.Second, 5*time.Second, 0, now)
	message := one.Respond(&gossip.Message{From: other.Self})
	qt.Check(t, message.Promises, qt.HasLen, 1)
	other.Merge(message)
	one.Merge(other.Respond(&gossip.Message{From: one.Self}))
	qt.Check(t, one.Returns.Arrive(7, now), qt.Equals, fair.Early)
}
