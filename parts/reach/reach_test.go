package reach_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/reach"
)

func ExampleTracker() {
	now := time.Now()
	var t reach.Tracker
	t.Record("10.0.0.1:80", true, now)
	for i, address := range []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"} {
		t.Record(address, false, now.Add(time.Duration(i+1)*time.Millisecond))
		fmt.Println(t.State(now))
	}
	t.Record("10.0.0.2:80", true, now.Add(time.Second))
	fmt.Println(t.State(now.Add(time.Second)))
	// Output:
	// reaching
	// reaching
	// isolated
	// reaching
}

// Guards against a host that counts as isolated because servers are down, while others
// accept its connections.
func TestServersThatAreDownDoNotIsolate(t *testing.T) {
	start := time.Now()
	var tr reach.Tracker
	for i := range 30 {
		at := start.Add(time.Duration(i) * time.Millisecond)
		tr.Record(fmt.Sprintf("down-%d", i), false, at)
		if i%2 == 1 {
			tr.Record("up", true, at.Add(time.Microsecond))
		}
		qt.Assert(t, tr.State(at), qt.Not(qt.Equals), reach.Isolated)
	}
}

// Guards against an accepted connection that ends an isolation which began after it.
func TestOlderAttemptDoesNotEndIsolation(t *testing.T) {
	start := time.Now()
	var tr reach.Tracker
	for i := range 3 {
		tr.Record(fmt.Sprint(i), false, start.Add(time.Second))
	}
	qt.Assert(t, tr.Record("3", true, start), qt.IsFalse)
	qt.Assert(t, tr.State(start.Add(time.Second)), qt.Equals, reach.Isolated)
	qt.Assert(t, tr.Record("3", true, start.Add(2*time.Second)), qt.IsTrue)
	qt.Assert(t, tr.State(start.Add(2*time.Second)), qt.Equals, reach.Reaching)
	qt.Assert(t, tr.State(start.Add(time.Minute)), qt.Equals, reach.Unknown)
}

// Guards against a host that is never isolated where there are few servers.
func TestFewServers(t *testing.T) {
	tr := reach.Tracker{Known: func() int { return 1 }}
	qt.Assert(t, tr.Record("only", false, time.Now()), qt.IsTrue)
	qt.Assert(t, tr.State(time.Now()), qt.Equals, reach.Isolated)
	tr.Retain(func(string) bool { return false })
	qt.Assert(t, tr.State(time.Now()), qt.Equals, reach.Unknown)
}

// Guards against direct connections that are given up while servers accept no connections of
// any host, for example because all are overloaded.
func TestConnectionsStayDirectWhereNoHostReachesServers(t *testing.T) {
	now := time.Now()
	var tr reach.Tracker
	for i := range 5 {
		tr.Record(fmt.Sprint(i), false, now)
	}
	qt.Assert(t, tr.State(now), qt.Equals, reach.Isolated)
	qt.Assert(t, tr.Direct("0", now), qt.IsTrue)
	tr.RecordRelayed("1", now)
	qt.Assert(t, tr.Direct("0", now), qt.IsFalse)
	qt.Assert(t, tr.Direct("0", now.Add(time.Minute)), qt.IsTrue)
}
