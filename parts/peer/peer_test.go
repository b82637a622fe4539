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
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/wire"
)

// node is a peer on a real loopback connection.
type node struct {
	*Peer
	stop     context.CancelFunc
	events   chan Event
	revision atomic.Uint64
}

func startNode(c *qt.C, name string, in domain.Name, seeds ...string) *node {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	n := &node{events: make(chan Event, 4096)}
	n.Peer = &Peer{
		Name: name, Address: listener.Addr().String(), Domain: in, Secret: "s", Seeds: seeds,
		Round: 20 * time.Millisecond, Trace: &trace.Recorder{Process: name}, Done: make(chan struct{}),
		Local: func() LocalState {
			return LocalState{Revision: n.revision.Load(), Usages: []Usage{{"lyra", 2}}}
		},
		OnEvent: func(e Event) {
			select {
			case n.events <- e:
			default:
			}
		},
	}
	mux := drpcmux.New()
	c.Assert(wire.DRPCRegisterEntry(mux, n.Peer), qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	served := make(chan struct{})
	go func() { defer close(served); _ = drpcserver.New(mux).Serve(ctx, listener) }()
	go func() { _ = n.Run(ctx) }()
	c.Cleanup(func() { stop(); <-n.Done; <-served })
	return n
}

// await reads events until the look is true.
func (n *node) await(c *qt.C, look func() bool) {
	c.Helper()
	end := time.After(30 * time.Second)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for !look() {
		select {
		case <-n.events:
		case <-tick.C:
		case <-end:
			c.Fatalf("%s: did not come true; others %+v", n.Name, n.Others())
		}
	}
}

func (n *node) state(name string) State {
	for _, m := range n.Others() {
		if m.Name == name {
			return m.State
		}
	}
	return Dead
}

// Entry hosts start while the platform's store is down, each knowing one
// address. They have to find each other, pass marks, usage and revisions on,
// and tell a goodbye from a crash.
func TestPeersFindEachOther(t *testing.T) {
	old := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, old) })
	c := qt.New(t)
	first := startNode(c, "e1", "a")
	nodes := []*node{first}
	for i := range 4 {
		in := domain.Name([]string{"a", "b"}[i%2])
		nodes = append(nodes, startNode(c, fmt.Sprintf("e%d", i+2), in, first.Address))
	}
	for _, n := range nodes {
		n.await(c, func() bool { return len(n.Others()) == 4 })
	}
	nodes[4].Mark(Mark{Kind: PoisonRequest, Name: "f00d", Until: time.Now().Add(time.Minute), Count: 2})
	nodes[3].revision.Store(7)
	for _, n := range nodes {
		n.await(c, func() bool { return n.Marks(PoisonRequest)["f00d"].Count == 2 })
		n.await(c, func() bool { return n.Rates()["lyra"] == 8 })
	}
	first.await(c, func() bool { return hasRevision(first, 7) })
	nodes[2].stop()
	first.await(c, func() bool { return first.state("e3") == Left })
}

func hasRevision(n *node, revision uint64) bool {
	for _, m := range n.Others() {
		if m.Revision == revision {
			return true
		}
	}
	return false
}

// A process that does not know the secret must learn and change nothing.
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

// With 320 members, hundreds of marks and teams, a digest must stay within
// its bytes, and still tell of every member within a bounded number of turns.
func TestDigestIsBounded(t *testing.T) {
	c := qt.New(t)
	p := &Peer{Name: "e0", Trace: &trace.Recorder{}}
	p.init()
	own := &LocalState{Revision: 400}
	for i := range 320 {
		name := fmt.Sprintf("entry-%d", i+1)
		p.table.SetContact(name, "10.0.0.1:7000", "a", start)
		p.table.Merge(IDOf(name), Record{Incarnation: 1_800_000_000_000, Heartbeat: 90_000}, 400, start)
		p.marks.Add(Mark{Name: name, Until: time.Now().Add(time.Minute)}, time.Now())
		own.Usages = append(own.Usages, Usage{Team: name, Rate: 3.5})
	}
	told := map[uint64]bool{}
	turns := 0
	for ; len(told) < 321 && turns < 1000; turns++ {
		d := p.digest(own)
		c.Assert(proto.Size(d) <= digestBytes+60, qt.IsTrue, qt.Commentf("%d bytes", proto.Size(d)))
		for _, m := range d.Members {
			told[m.Id] = true
		}
	}
	c.Assert(turns < 200, qt.IsTrue, qt.Commentf("%d turns", turns))
}

// Peers speak other versions, and bytes get lost. Whatever a digest holds,
// merging it must not fail, and this member must hold itself alive.
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
		p.take(&d, start)
		p.take(&d, start)
		if p.table.Self.State != Alive {
			t.Fatal("held itself for gone")
		}
		for _, m := range d.Members {
			if m.Id == uint64(IDOf("e1")) && (Record{m.Incarnation, m.Beat, stateOf(m.State)}).After(p.table.Self.Record) {
				t.Fatal("did not go beyond news of itself")
			}
		}
	})
}

// The clock of one entry host is an hour behind. A fault there that follows
// from a digest of another must not sort before its cause, or an operator
// reads the time line backwards.
func TestDigestsCarryTheClock(t *testing.T) {
	c := qt.New(t)
	ahead := &Peer{Name: "e1", Secret: "s", Trace: &trace.Recorder{Process: "e1"}}
	behind := &Peer{Name: "e2", Secret: "s", Trace: &trace.Recorder{Process: "e2"}}
	ahead.init()
	ahead.Trace.Observe(uint64(time.Now().Add(time.Hour).UnixNano()))
	ahead.Trace.Record("relay", "r1", "cause")
	d := ahead.digest(&LocalState{})
	d.Secret = "s"
	reply, err := behind.Exchange(context.Background(), d)
	c.Assert(err, qt.IsNil)
	behind.Trace.Record("relay", "r1", "effect")
	events := append(behind.Trace.Find("r1"), ahead.Trace.Find("r1")...)
	trace.Sort(events)
	c.Assert(events[0].Message, qt.Equals, "cause")
	c.Assert(events[1].Message, qt.Equals, "effect")

	// The answer carries it back as well.
	c.Assert(reply.Clock > d.Clock, qt.IsTrue)
}

// A member is set to listen on all its addresses. Whoever took 0.0.0.0 for
// its address would talk to itself.
func TestUnspecifiedAddressIsNotBelieved(t *testing.T) {
	c := qt.New(t)
	p := &Peer{Name: "e1", Secret: "s", Address: "10.0.0.1:7000", Trace: &trace.Recorder{}}
	for address, want := range map[string]int{"0.0.0.0:7000": 0, "[::]:7000": 0, "x": 0, "10.0.0.2:7000": 1} {
		from := &wire.Member{Name: "e2", Address: address, Incarnation: 1}
		_, err := p.Members(context.Background(), &wire.MembersAsk{Secret: "s", From: from})
		c.Assert(err, qt.IsNil)
		c.Assert(p.Others(), qt.HasLen, want, qt.Commentf("%s", address))
		p.table.drop(IDOf("e2"))
	}
}
