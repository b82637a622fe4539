package gossip

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/mirror"
)

// Guards against a large configuration that an entry host fetches from all who
// have it at once, over a link that carries it once in the time of an exchange.
func TestChangesArePulledFromOneAtATime(t *testing.T) {
	p := newPeer(1)
	p.Mirrors = []*mirror.Mirror{{Kind: "config"}, {Kind: "servers"}}
	p.init()
	qt.Check(t, p.claimPull("config"), qt.IsTrue)
	for range 20 {
		qt.Check(t, p.claimPull("config"), qt.IsFalse)
	}
	qt.Check(t, p.claimPull("servers"), qt.IsTrue)
	p.endPull("config")
	qt.Check(t, p.pulling(), qt.IsTrue)
	p.endPull("servers")
	qt.Check(t, p.pulling(), qt.IsFalse)
	qt.Check(t, p.claimPull("config"), qt.IsTrue)
}

// Guards against regular exchanges that carry the same changes as the pull that
// is under way.
func TestBriefAnswersHaveNoChanges(t *testing.T) {
	p := newPeer(1)
	config := &mirror.Mirror{Kind: "config"}
	config.Replace([]mirror.Item{{Name: "main", Revision: 7}}, 7)
	p.Mirrors = []*mirror.Mirror{config}
	other := newPeer(2)
	asked := &Message{From: other.Self, Cursors: map[string]uint64{"config": 3}}
	qt.Check(t, p.Answer(asked).Changes, qt.HasLen, 1)
	asked.Brief = true
	answer := p.Answer(asked)
	qt.Check(t, answer.Changes, qt.HasLen, 0)
	qt.Check(t, answer.Cursors["config"], qt.Equals, uint64(7))
}

// Guards against seeds that do nothing but hand out lists for seconds after all
// entry hosts were restarted, and against changes that are held back likewise.
func TestListsAreHandedOutInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPeer(1)
		config, servers := &mirror.Mirror{Kind: "config"}, &mirror.Mirror{Kind: "servers"}
		config.Replace([]mirror.Item{{Name: "main", Revision: 7, Spec: make([]byte, listRate/8)}}, 7)
		servers.Replace([]mirror.Item{{Name: "s", Revision: 5, Spec: make([]byte, listRate/8)}}, 7)
		p.Mirrors = []*mirror.Mirror{config, servers}
		fresh := &Message{From: newPeer(2).Self, Cursors: map[string]uint64{}}
		behind := &Message{From: newPeer(3).Self, Cursors: map[string]uint64{"config": 6, "servers": 6}}
		handed := 0
		for range 40 {
			changes := p.Answer(fresh).Changes
			if len(changes) > 0 {
				handed++
				qt.Check(t, changes, qt.HasLen, 2)
			}
			qt.Check(t, p.Answer(behind).Changes, qt.HasLen, 2)
			time.Sleep(25 * time.Millisecond)
		}
		qt.Check(t, handed, qt.Equals, 4)
	})
}
