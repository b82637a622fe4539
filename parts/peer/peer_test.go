package peer

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/wire"
)

// testPeer is a Peer that listens on a loopback address.
type testPeer struct {
	*Peer
	stop     context.CancelFunc
	events   chan Event
	revision atomic.Uint64
}

// startPeer runs a Peer until the test ends.
func startPeer(c *qt.C, name string, dom domain.Name, seeds ...string) *testPeer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	p := &testPeer{events: make(chan Event, 4096)}
	p.Peer = &Peer{
		Name: name, Address: listener.Addr().String(), Domain: dom, Secret: "s", Seeds: seeds,
		Round: 20 * time.Millisecond, Trace: &trace.Recorder{Process: name}, Done: make(chan struct{}),
		Local: func() LocalState {
			return LocalState{Revision: p.revision.Load(), Usages: []Usage{{"lyra", 2}}}
		},
		OnEvent: func(e Event) {
			select {
			case p.events <- e:
			default:
			}
		},
	}
	mux := drpcmux.New()
	c.Assert(wire.DRPCRegisterEntry(mux, p.Peer), qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	served := make(chan struct{})
	go func() { defer close(served); _ = drpcserver.New(mux).Serve(ctx, listener) }()
	go func() { _ = p.Run(ctx) }()
	c.Cleanup(func() { stop(); <-p.Done; <-served })
	return p
}

// await reads events until the condition is true, and fails the test after 30
// seconds.
func (p *testPeer) await(c *qt.C, cond func() bool) {
	c.Helper()
	timeout := time.After(30 * time.Second)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for !cond() {
		select {
		case <-p.events:
		case <-tick.C:
		case <-timeout:
			c.Fatalf("%s: condition not met; other members: %+v", p.Name, p.Others())
		}
	}
}

func (p *testPeer) state(name string) State {
	for _, m := range p.Others() {
		if m.Name == name {
			return m.State
		}
	}
	return Dead
}

// Entry hosts start while the store is down, each with one seed address. They
// must discover each other, spread marks, usage and revisions, and
// distinguish a member that left from one that crashed.
func TestPeersDiscoverEachOther(t *testing.T) {
	ignore := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, ignore) })
	c := qt.New(t)
	first := startPeer(c, "e1", "a")
	peers := []*testPeer{first}
	for i := range 4 {
		dom := domain.Name([]string{"a", "b"}[i%2])
		peers = append(peers, startPeer(c, fmt.Sprintf("e%d", i+2), dom, first.Address))
	}
	for _, p := range peers {
		p.await(c, func() bool { return len(p.Others()) == 4 })
	}
	peers[4].Mark(Mark{Kind: PoisonRequest, Name: "f00d", Until: time.Now().Add(time.Minute), Count: 2})
	peers[3].revision.Store(7)
	for _, p := range peers {
		p.await(c, func() bool { return p.Marks(PoisonRequest)["f00d"].Count == 2 })
		p.await(c, func() bool { return p.Rates()["lyra"] == 8 })
	}
	first.await(c, func() bool { return hasRevision(first, 7) })
	peers[2].stop()
	first.await(c, func() bool { return first.state("e3") == Left })
}

// Guards against a broadcast that leaves out a member which has been listed since the last
// round.
func TestBroadcastReachesNewlyListedMember(t *testing.T) {
	c := qt.New(t)
	other := startPeer(c, "e2", "a")
	p := &Peer{Name: "e1", Domain: "a", Secret: "s", Trace: &trace.Recorder{Process: "e1"}, Hosts: func() map[string]host.Host {
		return map[string]host.Host{"e2": {Name: "e2", Address: other.Address, Domain: "a", Role: host.Entry}}
	}}
	p.Broadcast(context.Background(), Mark{Kind: PoisonRequest, Name: "f00d", Until: time.Now().Add(time.Minute), Count: 2})
	c.Assert(other.Marks(PoisonRequest)["f00d"].Count, qt.Equals, 2)
}

// hasRevision reports whether a peer knows of a member with a revision.
func hasRevision(p *testPeer, revision uint64) bool {
	for _, m := range p.Others() {
		if m.Revision == revision {
			return true
		}
	}
	return false
}

// A process without the secret must neither read nor change the membership.
func TestWrongSecretIsRefused(t *testing.T) {
	c := qt.New(t)
	p := &Peer{Name: "e1", Secret: "s", Trace: &trace.Recorder{}}
	d := &wire.Digest{Secret: "x", Members: []*wire.Member{{Id: 3, Incarnation: 1}}}
	_, err := p.Exchange(context.Background(), d)
	c.Assert(err, qt.Equals, ErrSecret)
	_, err = p.Members(context.Background(), &wire.MembersAsk{})
	c.Assert(err, qt.Equals, ErrSecret)
	c.Assert(p.table.Len(), qt.Equals, 0)
}

// With 320 members and as many marks and teams, a digest must stay within its
// size limit and still cover every member in a bounded number of rounds.
func TestDigestIsBounded(t *testing.T) {
	c := qt.New(t)
	p := &Peer{Name: "e0", Trace: &trace.Recorder{}}
	p.init()
	local := &LocalState{Revision: 400}
	for i := range 320 {
		name := fmt.Sprintf("entry-%d", i+1)
		p.table.SetContact(name, "10.0.0.1:7000", "a", start)
		p.table.Merge(IDOf(name), Record{Incarnation: 1_800_000_000_000, Heartbeat: 90_000}, 400, start)
		p.marks.Add(Mark{Name: name, Until: time.Now().Add(time.Minute)}, time.Now())
		local.Usages = append(local.Usages, Usage{Team: name, Rate: 3.5})
	}
	covered := map[uint64]bool{}
	rounds := 0
	for ; len(covered) < 321 && rounds < 1000; rounds++ {
		d := p.buildDigest(local)
		c.Assert(proto.Size(d) <= digestBytes+60, qt.IsTrue, qt.Commentf("%d bytes", proto.Size(d)))
		for _, m := range d.Members {
			covered[m.Id] = true
		}
	}
	c.Assert(rounds < 200, qt.IsTrue, qt.Commentf("%d rounds", rounds))
}

// Peers may run other versions and messages may be corrupted. Merging any
// digest must not fail, and the member must still consider itself alive.
func FuzzDigest(f *testing.F) {
	seed, _ := proto.Marshal(&wire.Digest{
		Members: []*wire.Member{{Id: uint64(IDOf("e1")), Incarnation: 9, State: 2}, {Id: 5, State: 77}},
		Marks:   []*wire.Mark{{Kind: 9, Name: "a1", Until: 1 << 62}}, Usages: []*wire.Usage{{Team: "t"}},
	})
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var d wire.Digest
		if proto.Unmarshal(data, &d) != nil {
			return
		}
		p := &Peer{Name: "e1", Trace: &trace.Recorder{}}
		p.init()
		p.mergeDigest(&d, start)
		p.mergeDigest(&d, start)
		if p.table.Self.State != Alive {
			t.Fatal("does not consider itself alive")
		}
		for _, m := range d.Members {
			if m.Id == uint64(IDOf("e1")) && (Record{m.Incarnation, m.Beat, stateOf(m.State)}).After(p.table.Self.Record) {
				t.Fatal("did not refute a newer record of itself")
			}
		}
	})
}

// The clock of one entry host is an hour behind. An event there that follows
// from a digest of another host must sort after its cause, or the merged
// event log shows effects before causes.
func TestDigestsCarryClock(t *testing.T) {
	c := qt.New(t)
	ahead := &Peer{Name: "e1", Secret: "s", Trace: &trace.Recorder{Process: "e1"}}
	behind := &Peer{Name: "e2", Secret: "s", Trace: &trace.Recorder{Process: "e2"}}
	ahead.init()
	ahead.Trace.Observe(uint64(time.Now().Add(time.Hour).UnixNano()))
	ahead.Trace.Record("relay", "r1", "cause")
	d := ahead.buildDigest(&LocalState{})
	d.Secret = "s"
	reply, err := behind.Exchange(context.Background(), d)
	c.Assert(err, qt.IsNil)
	behind.Trace.Record("relay", "r1", "effect")
	events := append(behind.Trace.Find("r1"), ahead.Trace.Find("r1")...)
	trace.Sort(events)
	c.Assert(events[0].Message, qt.Equals, "cause")
	c.Assert(events[1].Message, qt.Equals, "effect")

	// The reply carries the clock back.
	c.Assert(reply.Clock > d.Clock, qt.IsTrue)
}

// A member that listens on all interfaces reports 0.0.0.0. A host that took
// this as its address would connect to itself.
func TestUnspecifiedAddressIsIgnored(t *testing.T) {
	c := qt.New(t)
	p := &Peer{Name: "e1", Secret: "s", Address: "10.0.0.1:7000", Trace: &trace.Recorder{}}
	for address, want := range map[string]int{"0.0.0.0:7000": 0, "[::]:7000": 0, "x": 0, "10.0.0.2:7000": 1} {
		from := &wire.Member{Name: "e2", Address: address, Incarnation: 1}
		_, err := p.Members(context.Background(), &wire.MembersAsk{Secret: "s", From: from})
		c.Assert(err, qt.IsNil)
		c.Assert(p.Others(), qt.HasLen, want, qt.Commentf("%s", address))
		p.table.remove(IDOf("e2"))
	}
}
