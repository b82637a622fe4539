package gossip_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/gossip"
	"fuchsiashelf.dev/parts/mirror"
)

// exchangeConfig lets an entry host ask another one for changes.
func exchangeConfig(from, to *gossip.Peer) {
	request := from.Respond(&gossip.Message{From: to.Self, Brief: true})
	from.Merge(to.Respond(request))
}

// Guards against an entry host that is cut off from a restored object API and hands its
// older state, with higher revisions, to the others.
func TestOlderEraIsReplaced(t *testing.T) {
	cutOff, restored := &mirror.Mirror{Kind: "config"}, &mirror.Mirror{Kind: "config"}
	cutOff.Replace([]mirror.Object{{Name: "main", Revision: 90, Spec: []byte("old")}}, mirror.Position{Era: 1, Revision: 95})
	restored.Replace([]mirror.Object{{Name: "main", Revision: 7, Spec: []byte("new")}}, mirror.Position{Era: 2, Revision: 8})
	one, other := newPeer(1, cutOff), newPeer(2, restored)
	exchangeConfig(other, one)
	qt.Check(t, restored.Cursor(), qt.Equals, mirror.Position{Era: 2, Revision: 8})
	exchangeConfig(one, other)
	qt.Check(t, cutOff.Cursor(), qt.Equals, mirror.Position{Era: 2, Revision: 8})
	qt.Check(t, string(cutOff.Items()[0].Spec), qt.Equals, "new")
}

// Guards against entry hosts of an older version, which send no eras, whose changes are
// ignored during an upgrade.
func TestSenderWithoutErasIsInTheSameEra(t *testing.T) {
	local := &mirror.Mirror{Kind: "config"}
	local.Replace(nil, mirror.Position{Era: 3, Revision: 7})
	p := newPeer(1, local)
	p.Merge(&gossip.Message{From: newPeer(2).Self, Cursors: map[string]uint64{"config": 9}, Changes: []mirror.Batch{
		{Kind: "config", After: 7, Cursor: 9, Items: []mirror.Object{{Name: "main", Revision: 9}}},
	}})
	qt.Check(t, local.Cursor(), qt.Equals, mirror.Position{Era: 3, Revision: 9})
}

// Guards against a configuration that reaches only entry hosts which knew it before the
// object API was restored from an older copy.
func TestConfigInForceIsSent(t *testing.T) {
	one, other := newPeer(1), newPeer(2)
	one.Config = func() (uint64, []byte) { return 7, []byte("in force") }
	var merged []string
	other.Config = func() (uint64, []byte) { return 6, nil }
	other.OnConfig = func(spec []byte) { merged = append(merged, string(spec)) }
	exchangeConfig(other, one)
	qt.Check(t, merged, qt.DeepEquals, []string{"in force"})
	other.Config = func() (uint64, []byte) { return 7, nil }
	exchangeConfig(other, one)
	qt.Check(t, merged, qt.HasLen, 1)
}
