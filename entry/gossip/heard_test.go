package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/gossip"
	"fuchsiashelf.dev/parts/reach"
)

// Guards against owners of servers on which hosts disagree: in a domain of 50 hosts, the sample of
// members in messages refreshes each host only every few seconds, and most would not count as alive.
// A host that dies, leaves or is cut off must not count for long.
func TestNeighboursAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 1))
		peers := make([]*gossip.Peer, 50)
		for i := range peers {
			peers[i] = newPeer(i)
			peers[i].Self.Domain = "a"
		}
		for _, p := range peers {
			for _, other := range peers {
				p.Merge(&gossip.Message{From: other.Self})
			}
		}
		rounds := func(n int, running []*gossip.Peer) {
			for range n {
				time.Sleep(400 * time.Millisecond)
				for _, p := range running {
					if other := running[random.IntN(len(running))]; other != p {
						p.Merge(other.Respond(p.Respond(&gossip.Message{From: p.Self})))
					}
				}
			}
		}
		// known returns the mean number of hosts that the given ones know.
		known := func(peers []*gossip.Peer) float64 {
			n := 0
			for _, p := range peers {
				n += len(p.Neighbours())
			}
			return float64(n) / float64(len(peers))
		}
		rounds(20, peers)
		qt.Check(t, known(peers) > 48, qt.IsTrue, qt.Commentf("%v of 49", known(peers)))
		peers[0].Leaving = func() bool { return true }
		peers[1].Reach = func() reach.State { return reach.Isolated }
		peers[10].Merge(peers[0].Respond(&gossip.Message{From: peers[10].Self}))
		peers[10].Merge(peers[1].Respond(&gossip.Message{From: peers[10].Self}))
		names := peers[10].Neighbours()
		qt.Check(t, slices.Contains(names, peers[0].Self.Name) || slices.Contains(names, peers[1].Self.Name), qt.IsFalse)
		rounds(6, peers[2:])
		qt.Check(t, known(peers[2:]) <= 47, qt.IsTrue, qt.Commentf("%v of 47", known(peers[2:])))
	})
}

// Guards against a suspicion that reaches the owners of a server only by chance.
func TestBroadcastReachesNamedHost(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	target, p := newPeer(20), newPeer(0)
	target.Self.Address = l.Addr().String()
	received := make(chan gossip.Suspect, 100)
	target.OnSuspect = func(s gossip.Suspect) { received <- s }
	go target.Run(t.Context(), l)
	own, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	// The target is never among the hosts chosen at random.
	p.Random = func(n int) int { return n - 1 }
	p.Suspects = func() []gossip.Suspect { return []gossip.Suspect{{ID: "s"}} }
	for i := range 14 {
		p.Merge(&gossip.Message{From: gossip.Member{Name: fmt.Sprint(i), Address: fmt.Sprintf("127.0.0.1:%04d", i+1), Domain: p.Self.Domain}})
	}
	p.Merge(&gossip.Message{From: target.Self})
	p.BroadcastTo([]string{target.Self.Name, "unknown"})
	go p.Run(t.Context(), own)
	qt.Check(t, <-received, qt.Equals, gossip.Suspect{ID: "s"})
}
