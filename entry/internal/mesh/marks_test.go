package mesh

import (
	"context"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/peer"
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

// digest returns what a mesh tells another one that asks.
func digest(c *qt.C, m *Mesh) *wire.Digest {
	d, err := m.Exchange(context.Background(), &wire.Digest{Secret: "s"})
	c.Assert(err, qt.IsNil)
	d.Secret = "s"
	return d
}

// A server refuses work at one entry host. Another one, which is cut off from
// the platform, has to leave it alone too; but a word that is only passed on
// must not be renewed by those who heard it, or the server would stay out for
// ever after it is back.
func TestPeersWordTakesServerOut(t *testing.T) {
	c := qt.New(t)
	saw, heard := newMesh("e1"), newMesh("e2")
	saw.View.Update(func(s *view.Snapshot) { s.Cordon(view.Refusing, "a1") })
	now := time.Now()
	saw.foldMarks(now)
	_, err := heard.Exchange(context.Background(), digest(c, saw))
	c.Assert(err, qt.IsNil)
	heard.foldMarks(now)
	c.Assert(heard.View.Load().Cordoned["a1"], qt.Equals, view.PeerReported)

	until := heard.peer.Marks(peer.RefusingServer)["a1"].Until
	heard.foldMarks(until.Add(-time.Second))
	c.Assert(heard.peer.Marks(peer.RefusingServer)["a1"].Until, qt.Equals, until)
}

// A request was convicted elsewhere. This entry host has to refuse it, and a
// mere suspicion must not count as a conviction.
func TestConvictionReachesTheSnapshot(t *testing.T) {
	c := qt.New(t)
	saw, heard := newMesh("e1"), newMesh("e2")
	until := time.Now().Add(time.Minute)
	saw.Mark(peer.Mark{Kind: peer.PoisonRequest, Name: "f00d", Until: until, Count: 1})
	_, err := heard.Exchange(context.Background(), digest(c, saw))
	c.Assert(err, qt.IsNil)
	heard.foldMarks(time.Now())
	c.Assert(heard.View.Load().PoisonedRequests, qt.HasLen, 0)
	c.Assert(heard.View.Load().SuspectedRequests, qt.HasLen, 1)

	saw.Mark(peer.Mark{Kind: peer.PoisonRequest, Name: "f00d", Until: until, Count: 2})
	_, err = heard.Exchange(context.Background(), digest(c, saw))
	c.Assert(err, qt.IsNil)
	heard.foldMarks(time.Now())
	c.Assert(heard.View.Load().PoisonedRequests, qt.HasLen, 1)
}

// Who lacks the secret must not learn what the entry hosts know.
func TestCallsNeedTheSecret(t *testing.T) {
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
