package owner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/owner"
)

var start = time.Unix(1_000_000, 0)

func hostNames(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprintf("host-%d", i))
	}
	return names
}

// Guards against servers without owners, hosts that disagree on them, and owners that move between
// hosts which stay when another host leaves.
func TestOwners(t *testing.T) {
	names := hostNames(50)
	var all, fewer owner.Set
	all.Update(names)
	fewer.Update(names[1:])
	count := map[string]int{}
	for i := range 1000 {
		server := fmt.Sprint(i)
		owners := all.Owners(server)
		qt.Assert(t, owners, qt.HasLen, owner.PerDomain)
		for _, name := range owners {
			count[name]++
			qt.Assert(t, name == names[0] || slices.Contains(fewer.Owners(server), name), qt.IsTrue)
			self := owner.Set{Self: name}
			self.Update(slices.DeleteFunc(slices.Clone(names), func(other string) bool { return other == name }))
			qt.Assert(t, self.Owns(server), qt.IsTrue)
		}
	}
	for name, n := range count {
		qt.Check(t, n < 80, qt.IsTrue, qt.Commentf("%s owns %d of 1000, the mean is 40", name, n))
	}
}

// Guards against hosts that rely on others although none or one other host is in the domain.
func TestFewHostsOwnAllServers(t *testing.T) {
	for n := range owner.PerDomain + 1 {
		set := owner.Set{Self: "host-0"}
		if n > 0 {
			set.Update(hostNames(n))
		}
		qt.Check(t, set.Owns("s"), qt.IsTrue)
		qt.Check(t, set.Shared(), qt.IsFalse)
	}
}

// Guards against a host that relies on owners although it must probe, or probes although it need not.
func TestDecide(t *testing.T) {
	ago := func(d time.Duration) time.Time { return start.Add(-d) }
	const interval = 500 * time.Millisecond
	for name, test := range map[string]struct {
		facts owner.Facts
		want  owner.Decision
	}{
		"nothing known":         {owner.Facts{Owns: true}, owner.Decision{}},
		"owner, hint":           {owner.Facts{Owns: true, Hinted: start}, owner.Decision{Action: owner.Probe}},
		"owner, probed":         {owner.Facts{Owns: true, Probed: ago(interval / 5), Result: start}, owner.Decision{Action: owner.Probe, After: interval * 4 / 5}},
		"hint":                  {owner.Facts{Hinted: ago(30 * time.Millisecond)}, owner.Decision{Action: owner.Probe, After: 70 * time.Millisecond}},
		"hint without result":   {owner.Facts{Hinted: ago(100 * time.Millisecond)}, owner.Decision{Action: owner.Probe}},
		"result":                {owner.Facts{Result: ago(time.Second), Probed: ago(time.Second)}, owner.Decision{Action: owner.Rely, After: 600 * time.Millisecond}},
		"old result":            {owner.Facts{Result: ago(1600 * time.Millisecond)}, owner.Decision{Action: owner.Probe}},
		"result, request fails": {owner.Facts{Result: start, Failed: true}, owner.Decision{Action: owner.Probe}},
		"fresh result, need":    {owner.Facts{Result: ago(900 * time.Millisecond), Need: true}, owner.Decision{Action: owner.Rely, After: 700 * time.Millisecond}},
		"result, need":          {owner.Facts{Result: ago(time.Second), Need: true}, owner.Decision{Action: owner.Probe}},
		"need, probed":          {owner.Facts{Result: ago(time.Second), Need: true, Probed: start}, owner.Decision{Action: owner.Probe, After: interval}},
		"hint, need":            {owner.Facts{Hinted: start, Need: true}, owner.Decision{Action: owner.Probe}},
		"result, doubt":         {owner.Facts{Result: start, Doubt: true}, owner.Decision{Action: owner.Probe}},
		"other domain answered": {owner.Facts{Result: start, Asked: true, Probed: start}, owner.Decision{Action: owner.Probe}},
		"own finding only":      {owner.Facts{Probed: ago(interval)}, owner.Decision{Action: owner.Probe}},
	} {
		test.facts.Interval = interval
		qt.Check(t, owner.Decide(test.facts, start), qt.Equals, test.want, qt.Commentf(name))
	}
}

// event is something that a host learns of a server.
type event struct {
	at time.Duration
	// by is the role of the host that probed: "owner", "second", "neighbour", "far" for another
	// domain, "self", or "" for an older version.
	by       string
	answered bool
	age      time.Duration
	// dead is the role of a host that does not count as alive any more, or does not reach servers.
	dead []string
	want owner.Verdict
}

// Guards against each of the failures that docs/design/growth.md lists: a host without a reason of
// its own must neither rely on results that may be wrong, nor miss that the server is back.
func TestFailures(t *testing.T) {
	const ms = time.Millisecond
	idle, now := owner.Decision{}, owner.Decision{Action: owner.Probe}
	relies := func(d time.Duration) owner.Decision { return owner.Decision{Action: owner.Rely, After: d} }
	waits := func(d time.Duration) owner.Decision { return owner.Decision{Action: owner.Probe, After: d} }
	for name, test := range map[string]struct {
		events []event
		want   owner.Decision
	}{
		"owner reports":             {[]event{{by: "owner", want: owner.Accepted}}, relies(1600 * ms)},
		"owner renews":              {[]event{{by: "owner", want: owner.Accepted}, {at: 500 * ms, by: "owner", want: owner.Renewed}}, relies(1600 * ms)},
		"same result again":         {[]event{{by: "owner", want: owner.Accepted}, {at: 500 * ms, by: "owner", age: 490 * ms}}, relies(1100 * ms)},
		"one owner dies":            {[]event{{by: "owner", want: owner.Accepted}, {by: "second", want: owner.Renewed}, {at: 200 * ms, dead: []string{"owner"}}}, relies(1400 * ms)},
		"both owners die":           {[]event{{by: "owner", want: owner.Accepted}, {at: 200 * ms, dead: []string{"owner", "second"}}}, now},
		"both owners died before":   {[]event{{by: "neighbour", want: owner.Hint}, {at: 30 * ms}}, waits(70 * ms)},
		"owner is cut off":          {[]event{{dead: []string{"owner"}}, {by: "owner", want: owner.Hint}}, waits(100 * ms)},
		"owner stalls":              {[]event{{by: "owner", age: 1100 * ms, want: owner.Hint}}, waits(100 * ms)},
		"second owner takes over":   {[]event{{by: "owner", age: 1100 * ms, want: owner.Hint}, {by: "second", want: owner.Accepted}}, relies(1600 * ms)},
		"results end":               {[]event{{by: "owner", want: owner.Accepted}, {at: 1600 * ms}}, now},
		"other domain is cut off":   {[]event{{by: "far", want: owner.Hint}}, waits(100 * ms)},
		"partition heals":           {[]event{{by: "owner", want: owner.Accepted}, {at: 300 * ms, by: "owner", answered: true, want: owner.Accepted}}, idle},
		"result of before the heal": {[]event{{by: "owner", answered: true, want: owner.Renewed}, {at: 50 * ms, by: "second", age: 60 * ms}}, idle},
		"result delayed":            {[]event{{by: "owner", answered: true, want: owner.Renewed}, {at: 300 * ms, by: "owner", want: owner.Hint}}, now},
		"server fails again":        {[]event{{by: "owner", answered: true, want: owner.Renewed}, {at: 600 * ms, by: "owner", want: owner.Accepted}}, relies(1600 * ms)},
		"answer before result":      {[]event{{by: "second", want: owner.Accepted}, {at: 50 * ms, by: "owner", answered: true, age: 100 * ms, want: owner.Hint}}, now},
		"answer long before result": {[]event{{by: "second", want: owner.Accepted}, {at: 50 * ms, by: "owner", answered: true, age: 700 * ms}}, relies(1550 * ms)},
		"newer probe of its own":    {[]event{{at: 300 * ms, by: "self"}, {at: 300 * ms, by: "owner", answered: true, age: 100 * ms}}, waits(500 * ms)},
		"older probe of its own":    {[]event{{by: "self"}, {at: 300 * ms, by: "owner", answered: true, want: owner.Accepted}}, idle},
		"other domain answers":      {[]event{{by: "owner", want: owner.Accepted}, {at: 300 * ms, by: "far", answered: true, want: owner.Hint}}, now},
		"owners disagree":           {[]event{{by: "owner", answered: true, want: owner.Renewed}, {at: 300 * ms, by: "second", want: owner.Hint}}, now},
		"host lists differ":         {[]event{{by: "neighbour", want: owner.Hint}}, waits(100 * ms)},
		"older version":             {[]event{{by: "", want: owner.Hint}}, waits(100 * ms)},
	} {
		t.Run(name, func(t *testing.T) {
			tr, server, names := relyingHost()
			now := start
			for _, e := range test.events {
				now = start.Add(e.at)
				if len(e.dead) > 0 {
					tr.Hosts.Update(slices.DeleteFunc(hostNames(5), func(name string) bool {
						return slices.ContainsFunc(e.dead, func(role string) bool { return names[role] == name })
					}))
					continue
				}
				r := owner.Result{Server: server, By: names[e.by], At: now.Add(-e.age)}
				switch {
				case e.by == "self":
					tr.RecordFailed(server, false, now)
				case e.answered:
					qt.Assert(t, tr.TakeAnswer(r, now), qt.Equals, e.want)
				case e.by != "" || e.want != owner.Ignored:
					qt.Assert(t, tr.Take(r, owner.Local{}, now), qt.Equals, e.want)
				}
			}
			qt.Assert(t, tr.Decide(server, false, false, 500*ms, now), qt.Equals, test.want)
		})
	}
}

// Guards against hosts that suspect a live server because one owner does not reach it: the other one
// ignored the older result, and did not say that it had got an answer.
func TestOwnerContradictsOlderResult(t *testing.T) {
	tr, server, names := relyingHost()
	tr.Hosts.Self = names["second"]
	tr.RecordAnswered(server, start.Add(100*time.Millisecond))
	now := start.Add(200 * time.Millisecond)
	qt.Check(t, tr.Take(owner.Result{Server: server, By: names["neighbour"], At: start}, owner.Local{}, now), qt.Equals, owner.Ignored)
	_, answered := tr.Results(now)
	qt.Check(t, answered, qt.HasLen, 0)
	qt.Check(t, tr.Take(owner.Result{Server: server, By: names["owner"], At: start}, owner.Local{}, now), qt.Equals, owner.Ignored)
	_, answered = tr.Results(now)
	qt.Check(t, answered, qt.DeepEquals, []owner.Result{{Server: server, By: names["second"], At: start.Add(100 * time.Millisecond)}})
}

// relyingHost returns what a host knows that does not own a server, the server, and the names of
// hosts by role.
func relyingHost() (tr *owner.Tracker, server string, names map[string]string) {
	tr = &owner.Tracker{}
	tr.Hosts.Self = "host-0"
	tr.Hosts.Update(hostNames(5))
	var owners []string
	for n := 0; ; n++ {
		// The host does not become an owner even if both owners die.
		server = fmt.Sprint(n)
		owners = tr.Hosts.Owners(server)
		rest := owner.Set{Self: "host-0"}
		rest.Update(slices.DeleteFunc(hostNames(5), func(name string) bool { return slices.Contains(owners, name) }))
		if !tr.Hosts.Owns(server) && !rest.Owns(server) {
			break
		}
	}
	names = map[string]string{"owner": owners[0], "second": owners[1], "far": "elsewhere", "self": "host-0"}
	for _, name := range hostNames(5)[1:] {
		if !slices.Contains(owners, name) {
			names["neighbour"] = name
		}
	}
	return tr, server, names
}

// Guards against messages that grow with the number of failed servers, and lack the newest results.
func TestNewestResultsAreSent(t *testing.T) {
	tr := &owner.Tracker{}
	tr.Hosts.Self = "host-0"
	tr.Hosts.Update(hostNames(3))
	for i := range 200 {
		server, at := fmt.Sprint(i), start.Add(time.Duration(i)*time.Millisecond)
		tr.RecordFailed(server, false, at)
		if i%2 == 0 {
			tr.RecordAnswered(server, at)
		}
	}
	failed, answered := tr.Results(start.Add(200 * time.Millisecond))
	qt.Check(t, len(failed)+len(answered), qt.Equals, owner.MaxResults)
	qt.Check(t, failed[0].Server, qt.Equals, "199")
	for _, r := range slices.Concat(failed, answered) {
		qt.Check(t, r.At.Sub(start) > 90*time.Millisecond, qt.IsTrue)
	}
}

func BenchmarkDecide(b *testing.B) {
	tr, server, names := relyingHost()
	tr.Hosts.Update(hostNames(100))
	for b.Loop() {
		tr.Take(owner.Result{Server: server, By: names["owner"], At: start}, owner.Local{}, start)
		tr.Decide(server, false, false, 500*time.Millisecond, start)
	}
}

func BenchmarkOwns(b *testing.B) {
	set := owner.Set{Self: "host-0"}
	set.Update(hostNames(100))
	for b.Loop() {
		set.Owns("server-17")
	}
}
