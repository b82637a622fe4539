package mesh

import (
	"context"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/peer"
	"fuchsiashelf.dev/parts/poison"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
	"fuchsiashelf.dev/parts/wire"
)

func newMesh(name string) *Mesh {
	m := &Mesh{
		View: view.New(name, "a"), Trace: &trace.Recorder{Process: name},
		Log: slog.New(slog.DiscardHandler), Secret: "s",
	}
	m.Init()
	return m
}

// digest returns the digest that a mesh sends to a peer.
func digest(c *qt.C, m *Mesh) *wire.Digest {
	d, err := m.Exchange(context.Background(), &wire.Digest{Secret: "s"})
	c.Assert(err, qt.IsNil)
	d.Secret = "s"
	return d
}

// A server refuses work at one entry host. Another one, cut off from the
// platform, must not use it either. If entry hosts renewed marks that they only
// received, the server would stay cordoned forever after it accepts work again.
func TestReceivedMarkCordonsServer(t *testing.T) {
	c := qt.New(t)
	observer, receiver := newMesh("e1"), newMesh("e2")
	observer.View.Update(func(s *view.Snapshot) { s.Cordon(view.Refusing, "a1") })
	now := time.Now()
	observer.syncMarks(now)
	_, err := receiver.Exchange(context.Background(), digest(c, observer))
	c.Assert(err, qt.IsNil)
	receiver.syncMarks(now)
	c.Assert(receiver.View.Load().Cordoned["a1"], qt.Equals, view.PeerReported)

	until := receiver.peer.Marks(peer.RefusingServer)["a1"].Until
	receiver.syncMarks(until.Add(-time.Second))
	c.Assert(receiver.peer.Marks(peer.RefusingServer)["a1"].Until, qt.Equals, until)
}

// A request that another entry host blocked must be blocked in the local
// snapshot, and one that is only suspected must not.
func TestBlockedRequestReachesSnapshot(t *testing.T) {
	c := qt.New(t)
	observer, receiver := newMesh("e1"), newMesh("e2")
	until := time.Now().Add(time.Minute)
	observer.Mark(peer.Mark{Kind: peer.PoisonRequest, Name: "f00d", Until: until, Count: 1})
	_, err := receiver.Exchange(context.Background(), digest(c, observer))
	c.Assert(err, qt.IsNil)
	receiver.syncMarks(time.Now())
	c.Assert(receiver.View.Load().PoisonedRequests, qt.HasLen, 0)
	c.Assert(receiver.View.Load().SuspectedRequests, qt.HasLen, 1)

	observer.Mark(peer.Mark{Kind: peer.PoisonRequest, Name: "f00d", Until: until, Count: 2})
	_, err = receiver.Exchange(context.Background(), digest(c, observer))
	c.Assert(err, qt.IsNil)
	receiver.syncMarks(time.Now())
	c.Assert(receiver.View.Load().PoisonedRequests, qt.HasLen, 1)
}

// RPCs without the secret must not return the state of the mesh.
func TestRPCsRequireSecret(t *testing.T) {
	c := qt.New(t)
	m := newMesh("e1")
	_, err := m.Exchange(context.Background(), &wire.Digest{})
	c.Assert(err, qt.Equals, peer.ErrSecret)
	_, err = m.Timeline(context.Background(), &wire.TimelineAsk{})
	c.Assert(err, qt.Equals, peer.ErrSecret)
	_, err = m.Poison(context.Background(), &wire.PoisonAsk{})
	c.Assert(err, qt.Equals, peer.ErrSecret)
	_, err = m.Members(context.Background(), &wire.MembersAsk{})
	c.Assert(err, qt.Equals, peer.ErrSecret)
}

// Guards against a resend that arrives between the reply to a broadcast and the snapshot:
// it would run although its request is blocked.
func TestMarkIsInSnapshotAtReply(t *testing.T) {
	c := qt.New(t)
	observer, receiver := newMesh("e1"), newMesh("e2")
	observer.Mark(peer.Mark{Kind: peer.PoisonRequest, Name: "f00d", Until: time.Now().Add(time.Minute), Count: poison.MaxCrashes})
	_, err := receiver.Exchange(context.Background(), digest(c, observer))
	c.Assert(err, qt.IsNil)
	_, blocked := receiver.View.Load().PoisonedRequests["f00d"]
	c.Assert(blocked, qt.IsTrue)
}
