package gossip

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against as many messages for the news of other hosts, which every host forwards, as for its
// own, and against own news that goes to fewer hosts because there is news of others as well.
func TestForwardedNewsGoToFewerHosts(t *testing.T) {
	p := &Peer{}
	p.Forward()
	local, _ := p.broadcastFanout()
	qt.Check(t, local, qt.Equals, forwardLocal)
	p.Broadcast()
	p.Forward()
	local, _ = p.broadcastFanout()
	qt.Check(t, local, qt.Equals, broadcastLocal)
	local, _ = p.broadcastFanout()
	qt.Check(t, local, qt.Equals, forwardLocal)
}
