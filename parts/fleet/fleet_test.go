package fleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/fleet"
)

// Guards against requests to a server that has ended, whose entry stays for a
// while and whose address another has by then: that one refuses them all.
func TestAddressBelongsToTheYoungest(t *testing.T) {
	v := fleet.New([]fleet.Server{
		{ID: "old", Service: "assist", Address: "a:1", Born: time.Unix(1, 0), First: 0, End: 80},
		{ID: "young", Service: "assist", Address: "a:1", Born: time.Unix(9, 0)},
		{ID: "other", Service: "assist", Address: "b:1", Born: time.Unix(1, 0)},
		{ID: "moved", Service: "booking", Address: "b:1", Born: time.Unix(2, 0)},
	})
	qt.Check(t, v.Servers, qt.HasLen, 2)
	qt.Check(t, v.Service("assist"), qt.HasLen, 1)
	qt.Check(t, v.Service("assist")[0].ID, qt.Equals, "young")
	qt.Check(t, v.At("a:1").ID, qt.Equals, "young")
	qt.Check(t, v.At("b:1").ID, qt.Equals, "moved")
}
