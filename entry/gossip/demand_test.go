package gossip_test

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"fuchsiashelf.dev/entry/gossip"
	"fuchsiashelf.dev/parts/share"
)

var demandClass = share.Class{Service: "s", Team: "large"}

// newSharing returns a peer with a tracker of demand.
func newSharing(n int) *gossip.Peer {
	p := newPeer(n)
	p.Shares = &share.Tracker{Self: p.Self.Name, Domain: p.Self.Domain, Alive: p.AliveByDomain, Log: slog.New(slog.DiscardHandler)}
	return p
}

// send encodes the response of a peer and merges it at another.
func send(t *testing.T, from, to *gossip.Peer) {
	b, err := cbor.Marshal(from.Respond(&gossip.Message{From: to.Self}))
	qt.Assert(t, err, qt.IsNil)
	m := &gossip.Message{}
	qt.Assert(t, cbor.Unmarshal(b, m), qt.IsNil)
	to.Merge(m)
}

// remote returns the running work that a peer knows of after a while.
func remote(p *gossip.Peer) float64 {
	for range 20 {
		time.Sleep(100 * time.Millisecond)
		p.Shares.Sweep(time.Now())
	}
	for _, s := range p.Shares.Stats(time.Now()) {
		if s.Class == demandClass {
			return s.Running
		}
	}
	return 0
}

// Guards against an entry host that does not learn of the demand at others, or counts that
// of a host that has left, has restarted or has none any more.
func TestDemandIsExchanged(t *testing.T) {
	for name, test := range map[string]struct {
		then func(one, other *gossip.Peer, end func())
		want bool
	}{
		"stays":       {func(_, _ *gossip.Peer, _ func()) {}, true},
		"old version": {func(one, other *gossip.Peer, _ func()) { other.Merge(&gossip.Message{From: one.Self}) }, true},
		"leaves": {func(one, other *gossip.Peer, _ func()) {
			one.Leaving = func() bool { return true }
			other.Merge(one.Respond(&gossip.Message{From: other.Self}))
		}, false},
		"restarts": {func(one, other *gossip.Peer, _ func()) {
			restarted := one.Self
			restarted.Boot++
			other.Merge(&gossip.Message{From: restarted})
		}, false},
		"old message of one that restarts": {func(one, other *gossip.Peer, _ func()) {
			old := one.Respond(&gossip.Message{From: other.Self})
			restarted := one.Self
			restarted.Boot++
			other.Merge(&gossip.Message{From: restarted})
			other.Merge(old)
		}, false},
		// The last report of demand is too recent to have expired.
		"no demand": {func(one, other *gossip.Peer, end func()) {
			time.Sleep(1900 * time.Millisecond)
			send(t, one, other)
			end()
			time.Sleep(200 * time.Millisecond)
			send(t, one, other)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				one, other := newSharing(1), newSharing(2)
				end := one.Shares.Begin(demandClass, 100, time.Now())
				one.Shares.Refuse(demandClass, 10, time.Now())
				send(t, other, one)
				send(t, one, other)
				test.then(one, other, end)
				known := remote(other)
				qt.Check(t, known > 50, qt.Equals, test.want, qt.Commentf("%f", known))
				qt.Check(t, other.Shares.Contended("s"), qt.IsFalse)
			})
		})
	}
}

// Guards against a host that does not learn of the demand for services that are not
// contended: what its failure domains need would be known only once requests are refused.
func TestRatesAreExchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, other := newSharing(1), newSharing(2)
		send(t, other, one)
		for range 100 {
			one.Shares.Begin(demandClass, 100, time.Now())()
			send(t, one, other)
			other.Shares.Sweep(time.Now())
			time.Sleep(100 * time.Millisecond)
		}
		known := other.Shares.Demand("s", time.Now())[one.Self.Domain]
		qt.Check(t, known.Max > 800 && known.Max < 1200, qt.IsTrue, qt.Commentf("%v", known))
		qt.Check(t, other.Shares.Contended("s"), qt.IsFalse)
	})
}
