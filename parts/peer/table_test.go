package peer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiashelf.dev/parts/host"
)

var start = time.UnixMilli(1_800_000_000_000)

func records() *rapid.Generator[Record] {
	return rapid.Custom(func(t *rapid.T) Record {
		return Record{
			Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
			Heartbeat:   rapid.Uint64Range(1, 4).Draw(t, "beat"),
			State:       State(rapid.IntRange(0, 3).Draw(t, "state")),
		}
	})
}

// Digests arrive late, doubled and in any order. Whatever the order, all
// members must end with the same picture, or two entry hosts would for ever
// disagree on who is there.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		news := rapid.SliceOfN(records(), 1, 12).Draw(t, "news")
		other := rapid.Permutation(append(slices.Clone(news), news[0])).Draw(t, "other")
		end := func(all []Record) Record {
			table := NewTable(Member{Name: "e1"})
			table.SetContact("e2", "h:1", "a", start)
			for _, r := range all {
				table.Merge(IDOf("e2"), r, 0, start)
			}
			m, _ := table.Get(IDOf("e2"))
			return m.Record
		}
		if a, b := end(news), end(other); a != b {
			t.Fatalf("%v in one order, %v in the other", a, b)
		}
	})
}

// A host pauses for a while, is held dead, and goes on. Its next beat has to
// bring it back, and an old suspicion that still goes round must not put it
// out again.
func TestThawedMemberComesBack(t *testing.T) {
	c := qt.New(t)
	table := NewTable(Member{Name: "e1"})
	table.SetContact("e2", "h:1", "a", start)
	id := IDOf("e2")
	table.Merge(id, Record{Incarnation: 1, Heartbeat: 5}, 0, start)
	c.Assert(table.RecordFailure(id, start), qt.IsTrue)
	c.Assert(table.RecordFailure(id, start), qt.IsFalse)
	table.Tick(start.Add(suspectFor))
	m, _ := table.Get(id)
	c.Assert(m.State, qt.Equals, Dead)

	news, _ := table.Merge(id, Record{Incarnation: 1, Heartbeat: 6}, 0, start)
	c.Assert(news, qt.IsTrue)
	table.Merge(id, Record{Incarnation: 1, Heartbeat: 5, State: Dead}, 0, start)
	m, _ = table.Get(id)
	c.Assert(m.State, qt.Equals, Alive)
}

// A member that is only silent is not gone: a stop would be called safe
// while it still had requests in flight. It is gone when the host list drops
// it or it says goodbye.
func TestSilentMemberIsNotGone(t *testing.T) {
	c := qt.New(t)
	table := NewTable(Member{Name: "e1"})
	hosts := map[string]host.Host{"e2": {Name: "e2", Address: "h:1", Domain: "a", Role: host.Entry}}
	table.SetHosts(hosts, start)
	table.Merge(IDOf("e2"), Record{Incarnation: 1, Heartbeat: 1}, 0, start)
	table.RecordFailure(IDOf("e2"), start)
	for i := range 3 {
		table.Tick(start.Add(time.Duration(i) * forgetAfter))
		table.SetHosts(hosts, start)
	}
	c.Assert(table.Others(), qt.HasLen, 1)
	table.SetHosts(map[string]host.Host{}, start)
	c.Assert(table.Others(), qt.HasLen, 0)
}

// A second host is set up under a name that is in use, or a host's clock was
// set back before it restarted. The member must notice, and go beyond the
// news of itself so that it is not held for the other run.
func TestNewsOfSelfIsOutbid(t *testing.T) {
	c := qt.New(t)
	table := NewTable(Member{Name: "e1", Record: Record{Incarnation: 10, Heartbeat: 3}})
	news, _ := table.Merge(IDOf("e1"), Record{Incarnation: 10, Heartbeat: 2, State: Dead}, 0, start)
	c.Assert(news, qt.IsFalse)
	table.Merge(IDOf("e1"), Record{Incarnation: 10, Heartbeat: 3, State: Suspect}, 0, start)
	c.Assert(table.Self.Incarnation, qt.Equals, uint64(11))
	c.Assert(table.NameConflicts, qt.Equals, 0)
	table.Merge(IDOf("e1"), Record{Incarnation: 20, Heartbeat: 1}, 0, start)
	c.Assert(table.Self.Incarnation, qt.Equals, uint64(21))
	c.Assert(table.NameConflicts, qt.Equals, 1)
}

// After a partition heals, both sides hold each other dead. Somebody has to
// try a dead member, or they would never speak again.
func TestDeadMembersAreTried(t *testing.T) {
	c := qt.New(t)
	table := NewTable(Member{Name: "e1", Domain: "a"})
	for i := range 6 {
		name := fmt.Sprintf("e%d", i+2)
		table.SetContact(name, "h:"+name, "a", start)
		table.Merge(IDOf(name), Record{Incarnation: 1, Heartbeat: 1}, 0, start)
	}
	table.RecordFailure(IDOf("e7"), start)
	table.Tick(start.Add(suspectFor))
	tried := 0
	r := rand.New(rand.NewPCG(1, 2))
	for range 100 {
		for _, m := range table.Partners(r) {
			if m.Name == "e7" {
				tried++
			}
		}
	}
	c.Assert(tried > 5 && tried < 60, qt.IsTrue, qt.Commentf("%d", tried))
}

// Marks keep the longer end, forget what has ended, and do not believe in a
// far future: a host whose clock is ahead would put a server out for ever.
func TestMarks(t *testing.T) {
	c := qt.New(t)
	var marks Marks
	m := Mark{Kind: SuspectServer, Name: "a1", Until: start.Add(5 * time.Second)}
	c.Assert(marks.Add(m, start), qt.IsTrue)
	c.Assert(marks.Add(m, start), qt.IsFalse)
	m.Until = start.Add(24 * time.Hour)
	c.Assert(marks.Add(m, start), qt.IsTrue)
	c.Assert(marks.All(SuspectServer, start)["a1"].Until, qt.Equals, start.Add(longest(SuspectServer)))
	c.Assert(marks.Add(Mark{Name: "a2", Until: start}, start), qt.IsFalse)
	marks.Sweep(start.Add(longest(SuspectServer)))
	c.Assert(marks.All(SuspectServer, start), qt.HasLen, 0)
	for i := range maxMarks + 10 {
		marks.Add(Mark{Name: fmt.Sprint(i), Until: start.Add(time.Minute)}, start)
	}
	c.Assert(marks.All(SuspectServer, start), qt.HasLen, maxMarks)
}

// A team's limit is corrected by what the others report. Reports from a part
// of the fleet stand for all of it, and old ones must not count for ever.
func TestLedger(t *testing.T) {
	c := qt.New(t)
	var l RemoteUsage
	l.Add(1, Usage{"lyra", 10}, start)
	l.Add(2, Usage{"lyra", 20}, start)
	c.Assert(l.Rates(2, 2, start), qt.DeepEquals, map[string]float64{"lyra": 30})
	c.Assert(l.Rates(2, 8, start), qt.DeepEquals, map[string]float64{"lyra": 120})
	c.Assert(l.Rates(2, 2, start.Add(usageAge+1)), qt.HasLen, 0)
}

// An entry host stops in order and is started again at the same address. Its
// new run must count as alive although the old one said goodbye, and late
// news of the old run must not put the new one out.
func TestRestartAfterGoodbye(t *testing.T) {
	c := qt.New(t)
	table := NewTable(Member{Name: "e1"})
	table.SetContact("e2", "h:1", "a", start)
	id := IDOf("e2")
	table.Merge(id, Record{Incarnation: 1, Heartbeat: 90}, 0, start)
	table.Merge(id, Record{Incarnation: 1, Heartbeat: 91, State: Left}, 0, start)
	c.Assert(table.Partners(rand.New(rand.NewPCG(1, 2))), qt.HasLen, 0)
	table.Merge(id, Record{Incarnation: 2, Heartbeat: 1}, 0, start)
	table.Merge(id, Record{Incarnation: 1, Heartbeat: 99, State: Left}, 0, start)
	m, _ := table.Get(id)
	c.Assert(m.State, qt.Equals, Alive)
	c.Assert(m.Incarnation, qt.Equals, uint64(2))
	c.Assert(table.Partners(rand.New(rand.NewPCG(1, 2))), qt.HasLen, 1)
}
