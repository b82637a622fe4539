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
	_ "fuchsiashelf.dev/parts/seed"
)

// start is the fixed time at which the tests run.
var start = time.UnixMilli(1_800_000_000_000)

// records generates records of one member.
func records() *rapid.Generator[Record] {
	return rapid.Custom(func(t *rapid.T) Record {
		return Record{
			Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
			Heartbeat:   rapid.Uint64Range(1, 4).Draw(t, "beat"),
			State:       State(rapid.IntRange(0, 3).Draw(t, "state")),
		}
	})
}

// Digests arrive late, duplicated and in any order. All members must converge
// to the same state, or entry hosts would disagree about the membership
// forever.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		original := rapid.SliceOfN(records(), 1, 12).Draw(t, "original")
		shuffled := rapid.Permutation(append(slices.Clone(original), original[0])).Draw(t, "shuffled")
		merged := func(list []Record) Record {
			table := NewTable(Member{Name: "e1"})
			table.SetContact("e2", "h:1", "a", start)
			for _, r := range list {
				table.Merge(IDOf("e2"), r, 0, start)
			}
			m, _ := table.Get(IDOf("e2"))
			return m.Record
		}
		if a, b := merged(original), merged(shuffled); a != b {
			t.Fatalf("%v in one order, %v in the other", a, b)
		}
	})
}

// A host pauses, is declared dead, and continues. Its next heartbeat must
// make it alive again, and an old suspicion that still circulates must not
// undo that.
func TestDeadMemberRecovers(t *testing.T) {
	c := qt.New(t)
	table := NewTable(Member{Name: "e1"})
	table.SetContact("e2", "h:1", "a", start)
	id := IDOf("e2")
	table.Merge(id, Record{Incarnation: 1, Heartbeat: 5}, 0, start)
	c.Assert(table.RecordFailure(id, start), qt.IsTrue)
	c.Assert(table.RecordFailure(id, start), qt.IsFalse)
	table.Tick(start.Add(suspectTimeout))
	m, _ := table.Get(id)
	c.Assert(m.State, qt.Equals, Dead)

	changed, _ := table.Merge(id, Record{Incarnation: 1, Heartbeat: 6}, 0, start)
	c.Assert(changed, qt.IsTrue)
	table.Merge(id, Record{Incarnation: 1, Heartbeat: 5, State: Dead}, 0, start)
	m, _ = table.Get(id)
	c.Assert(m.State, qt.Equals, Alive)
}

// A member that does not respond must stay a member, or a drain would be
// reported as complete while it still has requests in flight. It is removed
// when the host list drops it or it leaves.
func TestSilentMemberIsKept(t *testing.T) {
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

// A second host uses the same name, or the clock of a host was set back
// before a restart. The member must detect it and raise its incarnation, so
// that its records are not mistaken for those of the other incarnation.
func TestSelfRefutesNewerRecord(t *testing.T) {
	c := qt.New(t)
	table := NewTable(Member{Name: "e1", Record: Record{Incarnation: 10, Heartbeat: 3}})
	changed, _ := table.Merge(IDOf("e1"), Record{Incarnation: 10, Heartbeat: 2, State: Dead}, 0, start)
	c.Assert(changed, qt.IsFalse)
	table.Merge(IDOf("e1"), Record{Incarnation: 10, Heartbeat: 3, State: Suspect}, 0, start)
	c.Assert(table.Self.Incarnation, qt.Equals, uint64(11))
	c.Assert(table.NameConflicts, qt.Equals, 0)
	table.Merge(IDOf("e1"), Record{Incarnation: 20, Heartbeat: 1}, 0, start)
	c.Assert(table.Self.Incarnation, qt.Equals, uint64(21))
	c.Assert(table.NameConflicts, qt.Equals, 1)
}

// After a partition heals, both sides consider each other dead. Unless
// members contact dead ones, the sides never reconnect.
func TestDeadMembersAreRetried(t *testing.T) {
	c := qt.New(t)
	table := NewTable(Member{Name: "e1", Domain: "a"})
	for i := range 6 {
		name := fmt.Sprintf("e%d", i+2)
		table.SetContact(name, "h:"+name, "a", start)
		table.Merge(IDOf(name), Record{Incarnation: 1, Heartbeat: 1}, 0, start)
	}
	table.RecordFailure(IDOf("e7"), start)
	table.Tick(start.Add(suspectTimeout))
	contacted := 0
	r := rand.New(rand.NewPCG(1, 2))
	for range 100 {
		for _, m := range table.Partners(r) {
			if m.Name == "e7" {
				contacted++
			}
		}
	}
	c.Assert(contacted > 5 && contacted < 60, qt.IsTrue, qt.Commentf("%d", contacted))
}

// Marks keep the later expiry, are removed once expired, and have a bounded
// lifetime: a host whose clock is ahead could otherwise exclude a server
// forever.
func TestMarks(t *testing.T) {
	c := qt.New(t)
	var marks Marks
	m := Mark{Kind: SuspectServer, Name: "a1", Until: start.Add(5 * time.Second)}
	c.Assert(marks.Add(m, start), qt.IsTrue)
	c.Assert(marks.Add(m, start), qt.IsFalse)
	m.Until = start.Add(24 * time.Hour)
	c.Assert(marks.Add(m, start), qt.IsTrue)
	c.Assert(marks.All(SuspectServer, start)["a1"].Until, qt.Equals, start.Add(maxMarkTTL(SuspectServer)))
	c.Assert(marks.Add(Mark{Name: "a2", Until: start}, start), qt.IsFalse)
	marks.Sweep(start.Add(maxMarkTTL(SuspectServer)))
	c.Assert(marks.All(SuspectServer, start), qt.HasLen, 0)
	for i := range maxMarks + 10 {
		marks.Add(Mark{Name: fmt.Sprint(i), Until: start.Add(time.Minute)}, start)
	}
	c.Assert(marks.All(SuspectServer, start), qt.HasLen, maxMarks)
}

// The limit of a team is corrected by the usage that others report. Reports
// from part of the fleet are scaled up to all of it, and old ones expire.
func TestRemoteUsageRates(t *testing.T) {
	c := qt.New(t)
	var usage RemoteUsage
	usage.Add(1, Usage{"lyra", 10}, start)
	usage.Add(2, Usage{"lyra", 20}, start)
	c.Assert(usage.Rates(2, 2, start), qt.DeepEquals, map[string]float64{"lyra": 30})
	c.Assert(usage.Rates(2, 8, start), qt.DeepEquals, map[string]float64{"lyra": 120})
	c.Assert(usage.Rates(2, 2, start.Add(usageTTL+1)), qt.HasLen, 0)
}

// An entry host stops cleanly and restarts at the same address. Its new
// incarnation must be alive although the old one left, and a late record of the
// old one must not change that.
func TestRestartAfterLeave(t *testing.T) {
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
