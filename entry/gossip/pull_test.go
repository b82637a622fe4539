package gossip

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/mirror"
)

// Guards against a large configuration that an entry host fetches from all who
// have it at once, over a link that carries it once in the time of an exchange.
func TestChangesArePulledFromOneAtATime(t *testing.T) {
	p := newPeer(1)
	p.Mirrors = []*mirror.Mirror{{Kind: "config"}, {Kind: "servers"}}
	p.init()
	qt.Check(t, p.beginPull("config"), qt.IsTrue)
	for range 20 {
		qt.Check(t, p.beginPull("config"), qt.IsFalse)
	}
	qt.Check(t, p.beginPull("servers"), qt.IsTrue)
	p.endPull("config")
	qt.Check(t, p.pulling(), qt.IsTrue)
	p.endPull("servers")
	qt.Check(t, p.pulling(), qt.IsFalse)
	qt.Check(t, p.beginPull("config"), qt.IsTrue)
}

// Guards against regular exchanges that carry the same changes as the pull that
// is under way.
func TestBriefAnswersHaveNoChanges(t *testing.T) {
	p := newPeer(1)
	config := &mirror.Mirror{Kind: "config"}
	config.Replace([]mirror.Object{{Name: "main", Revision: 7}}, 7)
	p.Mirrors = []*mirror.Mirror{config}
	other := newPeer(2)
	asked := &Message{From: other.Self, Cursors: map[string]uint64{"config": 3}}
	qt.Check(t, p.Respond(asked).Changes, qt.HasLen, 1)
	asked.Brief = true
	answer := p.Respond(asked)
	qt.Check(t, answer.Changes, qt.HasLen, 0)
	qt.Check(t, answer.Cursors["config"], qt.Equals, uint64(7))
}
