package state_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/mirror"
)

// localWithLoads returns the state of an entry host that knows the times of loads.
func localWithLoads(servers int) *state.Local {
	s := localWithServers(servers)
	s.Config.Replace([]mirror.Object{object("main", 1, 1)}, mirror.Position{Revision: 1})
	s.ReadConfig("main")
	return s
}

// Guards against a silence that counts as a loss before a load is worth it, or never does
// because each probe renews it, and against evidence that has no effect or is published
// again. Each step is of the form MILLISECONDS EVENT STATE.
func TestSilenceEndsAsLoss(t *testing.T) {
	for _, steps := range []string{
		"0 silence silent, 500 silence silent, 1200 answer sound, 1900 sweep sound",
		"0 silence silent, 600 silence silent, 1900 silence silent, 2000 silence lost, 2500 silence lost",
		"0 silence silent, 1500 silence silent, 2100 sweep silent, 2200 answer sound",
		"0 silence silent, 2050 sweep sound, 2100 silence lost",
		"0 silence silent, 100 other lost, 200 silence lost, 300 answer sound",
		"0 silence silent, 1500 answer sound, 1600 silence silent, 3500 silence silent, 3700 silence lost",
		"0 silence silent, 3000 sweep sound, 10000 silence silent",
		"0 other lost, 3000 sweep sound, 3100 silence silent",
	} {
		s, before := localWithLoads(2), "sound"
		for step := range strings.SplitSeq(steps, ", ") {
			var at int
			var event, expected string
			fmt.Sscan(step, &at, &event, &expected)
			now, view := start.Add(time.Duration(at)*time.Millisecond), s.View()
			switch event {
			case "silence":
				s.SuspectSilent(serverID(0), now.Add(state.SuspectFor), now)
			case "other":
				s.Suspect(serverID(0), now.Add(state.SuspectFor), now)
			case "answer":
				s.ClearSuspicion(serverID(0), now)
			case "sweep":
				s.Sweep(now)
			}
			server, after := s.View().Servers[0], "sound"
			if server.Lost() {
				after = "lost"
			} else if server.Suspected {
				after = "silent"
			}
			qt.Check(t, after, qt.Equals, expected, qt.Commentf("%s: %s", steps, step))
			qt.Check(t, s.View() != view, qt.Equals, after != before, qt.Commentf("%s: %s", steps, step))
			before = after
		}
	}
}

// Guards against silent servers of another failure domain that are taken for a partition,
// which would exclude all servers there.
func TestSilenceIsNoPartition(t *testing.T) {
	s := localWithLoads(8)
	s.LocalDomain = "b"
	for _, at := range []time.Time{start, start.Add(2 * time.Second)} {
		for i := range 6 {
			s.SuspectSilent(serverID(i), start.Add(time.Minute), at)
		}
		qt.Check(t, s.View().ByID(serverID(7)).Suspected, qt.Equals, at.After(start))
	}
}

func BenchmarkSuspectSilent(b *testing.B) {
	s := localWithLoads(3000)
	for b.Loop() {
		s.SuspectSilent(serverID(1), start.Add(time.Minute), start)
	}
}
