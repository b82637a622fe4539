package gossip

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/mirror"
)

// Guards against pulling a large configuration from several entry hosts at once: a slow
// link can transfer it only once within the timeout of an exchange.
func TestOnePullPerKind(t *testing.T) {
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

// Guards against regular exchanges that transfer the changes of a pull in progress a
// second time.
func TestBriefResponsesHaveNoChanges(t *testing.T) {
	p := newPeer(1)
	config := &mirror.Mirror{Kind: "config"}
	config.Replace([]mirror.Object{{Name: "main", Revision: 7}}, mirror.Position{Revision: 7})
	p.Mirrors = []*mirror.Mirror{config}
	other := newPeer(2)
	request := &Message{From: other.Self, Cursors: map[string]uint64{"config": 3}}
	qt.Check(t, p.Respond(request).Changes, qt.HasLen, 1)
	request.Brief = true
	response := p.Respond(request)
	qt.Check(t, response.Changes, qt.HasLen, 0)
	qt.Check(t, response.Cursors["config"], qt.Equals, uint64(7))
}
