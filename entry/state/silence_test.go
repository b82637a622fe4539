package state_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/mirror"
	"fuchsiashelf.dev/parts/route"
)

// loadingDecoder adds the time of a load to the configuration: 2 s for the layers of each
// server beside others.
type loadingDecoder struct{ decoder }

func (d loadingDecoder) Table([]byte) (*route.Table, error) {
	engine := &route.Engine{Layers: 10, Load: time.Second}
	return &route.Table{Version: 1, Services: map[string]route.Service{"s": {Name: "s", Engine: engine}}}, nil
}

// localWithLoads returns the state of an entry host that knows n servers and the time of
// their loads.
func localWithLoads(n int) *state.Local {
	s := localWithServers(n)
	s.Decoder = loadingDecoder{}
	s.Config.Replace([]mirror.Object{object("main", 1, 1)}, mirror.Position{Revision: 1})
	s.ReadConfig("main")
	return s
}

// Guards against a silence that counts as a loss before a load has become worth it, or
// never does because each probe renews it, and against other evidence that is delayed by
// one. Each step is of the form "MILLISECONDS EVENT".
func TestSilenceEndsAsLoss(t *testing.T) {
	type step struct {
		at    int
		event string
		// state is the state of the server afterwards.
		state string
	}
	for name, steps := range map[string][]step{
		"short":               {{0, "silent", "silent"}, {500, "silent", "silent"}, {1200, "answer", "sound"}, {1900, "sweep", "sound"}},
		"long, probed":        {{0, "silent", "silent"}, {600, "silent", "silent"}, {1900, "silent", "silent"}, {2000, "silent", "lost"}, {2500, "silent", "lost"}},
		"not probed":          {{0, "silent", "silent"}, {1500, "silent", "silent"}, {2100, "sweep", "silent"}, {2200, "answer", "sound"}},
		"suspicion expires":   {{0, "silent", "silent"}, {2050, "sweep", "sound"}, {2100, "silent", "lost"}},
		"ends":                {{0, "silent", "silent"}, {100, "other", "lost"}, {200, "silent", "lost"}, {300, "answer", "sound"}},
		"repeats":             {{0, "silent", "silent"}, {1500, "answer", "sound"}, {1600, "silent", "silent"}, {3500, "silent", "silent"}, {3700, "silent", "lost"}},
		"much later":          {{0, "silent", "silent"}, {10000, "silent", "silent"}},
		"other evidence, old": {{0, "other", "lost"}, {3000, "silent", "silent"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := localWithLoads(2)
			for _, step := range steps {
				now := start.Add(time.Duration(step.at) * time.Millisecond)
				before := s.View().Servers[0]
				isNew := false
				switch step.event {
				case "silent":
					isNew = s.SuspectSilent(serverID(0), now.Add(state.SuspectFor), now)
				case "other":
					isNew = s.Suspect(serverID(0), now.Add(state.SuspectFor), now)
				case "answer":
					s.ClearSuspicion(serverID(0), now)
				case "sweep":
					s.Sweep(now)
				}
				after := s.View().Servers[0]
				shown := "sound"
				if after.Lost() {
					shown = "lost"
				} else if after.Suspected {
					shown = "silent"
				}
				qt.Check(t, shown, qt.Equals, step.state, qt.Commentf("at %d ms", step.at))
				if isNew {
					qt.Check(t, before, qt.Not(qt.Equals), after, qt.Commentf("at %d ms", step.at))
				}
			}
		})
	}
}

// Guards against silent servers of another failure domain that are taken for a partition,
// which would exclude all servers there.
func TestSilenceIsNoPartition(t *testing.T) {
	s := localWithLoads(8)
	s.LocalDomain = "b"
	for i := range 6 {
		s.SuspectSilent(serverID(i), start.Add(time.Minute), start)
	}
	qt.Check(t, s.View().ByID(serverID(7)).Suspected, qt.IsFalse)
	for i := range 6 {
		s.SuspectSilent(serverID(i), start.Add(time.Minute), start.Add(2*time.Second))
	}
	qt.Check(t, s.View().ByID(serverID(7)).Suspected, qt.IsTrue)
}

// Guards against work for each probe of a silent server that grows with the number of
// servers: an outage of a service makes 300 entry hosts probe thousands of them.
func TestProbesOfSilentServersPublishNothing(t *testing.T) {
	const servers = 3000
	s := localWithLoads(servers)
	for i := range servers {
		s.SuspectSilent(serverID(i), start.Add(time.Minute), start)
	}
	changed := s.Changed()
	bytes := allocated(func() {
		for i := range servers {
			s.SuspectSilent(serverID(i), start.Add(time.Minute), start.Add(time.Second))
		}
	})
	qt.Check(t, bytes < servers*100, qt.IsTrue, qt.Commentf("%d bytes", bytes))
	select {
	case <-changed:
		t.Error("the view was published")
	default:
	}
}

func BenchmarkSuspectSilent(b *testing.B) {
	for name, repeated := range map[string]bool{"first": false, "repeated": true} {
		b.Run(name, func(b *testing.B) {
			s := localWithLoads(3000)
			i := 0
			for b.Loop() {
				s.SuspectSilent(serverID(i%3000), start.Add(time.Minute), start.Add(time.Duration(i)))
				if i++; !repeated {
					s.ClearSuspicion(serverID((i-1)%3000), start)
				}
			}
		})
	}
}
