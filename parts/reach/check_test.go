package reach_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/reach"
)

// testServers returns the names of n servers; the first ones are down in these tests.
func testServers(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("server-%02d", i)
	}
	return list
}

// newCheckedTracker returns a tracker of servers that isolates only after checks. The last
// servers are the preferred ones for them.
func newCheckedTracker(servers []string) *reach.Tracker {
	candidates := slices.Clone(servers)
	slices.Reverse(candidates)
	return &reach.Tracker{
		Known:      func() int { return len(servers) },
		Candidates: func() []string { return slices.Clone(candidates) },
	}
}

// check makes the checks that are due, and returns how many these were.
func check(tr *reach.Tracker, now time.Time, accepts func(address string) bool) int {
	due := tr.DueChecks(now)
	for _, address := range due {
		tr.RecordCheck(address, accepts(address), now)
	}
	return len(due)
}

// Guards against a host that counts as isolated while it is not cut off: it has no requests,
// and probes only three servers that have crashed together.
func TestCrashedServersDoNotIsolateIdleHost(t *testing.T) {
	servers := testServers(96)
	tr := newCheckedTracker(servers)
	crashed := servers[:3]
	now := time.Unix(1_000_000, 0)
	checks := 0
	for range 100 {
		for _, address := range crashed {
			now = now.Add(10 * time.Millisecond)
			tr.Record(address, false, now)
			qt.Assert(t, tr.State(now), qt.Not(qt.Equals), reach.Isolated)
			checks += check(tr, now.Add(time.Microsecond), func(a string) bool { return !slices.Contains(crashed, a) })
		}
		now = now.Add(470 * time.Millisecond)
	}
	qt.Assert(t, checks <= 300, qt.IsTrue, qt.Commentf("%d checks", checks))
	qt.Assert(t, tr.State(now), qt.Equals, reach.Reaching)
}

// Guards against a host that is cut off and does not notice it, because checks are awaited that
// nobody makes or that cannot succeed.
func TestCutHostIsIsolatedAfterChecks(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4, 5, 96} {
		servers := testServers(n)
		tr := newCheckedTracker(servers)
		now := time.Unix(1_000_000, 0)
		for _, address := range servers[:min(3, n)] {
			tr.Record(address, false, now)
		}
		check(tr, now, func(string) bool { return false })
		qt.Assert(t, tr.State(now), qt.Equals, reach.Isolated, qt.Commentf("%d servers", n))
		qt.Assert(t, tr.DueChecks(now.Add(time.Second)), qt.HasLen, 0)
	}
}

// Guards against a host that is cut off and does not notice it, because requests fail at the servers
// that are checked before the checks do.
func TestCheckCountsBesideLaterAttempts(t *testing.T) {
	servers := testServers(96)
	tr := newCheckedTracker(servers)
	now := time.Unix(1_000_000, 0)
	for _, address := range servers[:3] {
		tr.Record(address, false, now)
	}
	for _, address := range tr.DueChecks(now) {
		tr.Record(address, false, now.Add(time.Millisecond))
		tr.RecordCheck(address, false, now)
	}
	qt.Assert(t, tr.State(now), qt.Equals, reach.Isolated)
	// One that succeeds does not count as failed.
	tr = newCheckedTracker(servers)
	for _, address := range servers[:3] {
		tr.Record(address, false, now)
	}
	for i, address := range tr.DueChecks(now) {
		tr.Record(address, false, now.Add(time.Millisecond))
		tr.RecordCheck(address, i == 0, now)
	}
	qt.Assert(t, tr.State(now), qt.Not(qt.Equals), reach.Isolated)
}

// Guards against an isolation that ends, so that connections hang again, because a server that
// was checked leaves or is found to be down.
func TestOnlyAcceptedConnectionEndsIsolation(t *testing.T) {
	servers := testServers(96)
	tr := newCheckedTracker(servers)
	now := time.Unix(1_000_000, 0)
	for _, address := range servers[:3] {
		tr.Record(address, false, now)
	}
	check(tr, now, func(string) bool { return false })
	tr.Down = func(string) bool { return true }
	tr.Retain(func(address string) bool { return address != servers[95] })
	qt.Assert(t, tr.State(now), qt.Equals, reach.Isolated)
	qt.Assert(t, tr.Record(servers[50], true, now.Add(time.Second)), qt.IsTrue)
	qt.Assert(t, tr.State(now.Add(time.Second)), qt.Equals, reach.Reaching)
}

// Guards against the same where fewer servers are left that did not accept a connection than an
// isolation needs, or where more servers become known.
func TestIsolationOutlastsItsServers(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	known := 3
	tr := &reach.Tracker{Known: func() int { return known }}
	for _, address := range testServers(3) {
		tr.Record(address, false, now)
	}
	tr.Retain(func(address string) bool { return address == "server-00" })
	qt.Check(t, tr.State(now), qt.Equals, reach.Isolated)
	known = 10
	qt.Check(t, tr.Record("server-03", false, now.Add(time.Second)), qt.IsFalse)
	qt.Check(t, tr.State(now), qt.Equals, reach.Isolated)
	qt.Check(t, tr.Record("server-04", true, now.Add(2*time.Second)), qt.IsTrue)
	qt.Check(t, tr.State(now.Add(2*time.Second)), qt.Equals, reach.Reaching)
}

// Guards against checks at servers that other hosts have found to be down, which show nothing,
// and against a host that never counts as isolated because all servers are found to be down.
func TestServersKnownToBeDownDoNotCount(t *testing.T) {
	servers := testServers(8)
	tr := newCheckedTracker(servers)
	down := servers[:6]
	tr.Down = func(address string) bool { return slices.Contains(down, address) }
	now := time.Unix(1_000_000, 0)
	for _, address := range down {
		tr.Record(address, false, now)
	}
	qt.Assert(t, tr.DueChecks(now), qt.HasLen, 0)
	qt.Assert(t, tr.State(now), qt.Not(qt.Equals), reach.Isolated)
	down = servers
	tr.Record(servers[0], false, now.Add(time.Second))
	qt.Assert(t, tr.State(now), qt.Equals, reach.Isolated)
}

// Guards against more checks than one round in checkInterval, however many attempts fail.
func TestChecksAreLimited(t *testing.T) {
	servers := testServers(96)
	tr := newCheckedTracker(servers)
	now := time.Unix(1_000_000, 0)
	due := 0
	for i := range 1000 {
		now = now.Add(time.Millisecond)
		tr.Record(servers[i%10], false, now)
		due += len(tr.DueChecks(now))
	}
	qt.Assert(t, due <= 3*6, qt.IsTrue, qt.Commentf("%d checks in a second", due))
	qt.Assert(t, due > 0, qt.IsTrue)
}
