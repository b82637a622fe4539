package roster_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/roster"
)

// member returns a state of a host of the failure domain "b".
func member(name string, boot int64, seq uint64, age, suspected time.Duration) roster.Member {
	return roster.Member{Name: name, Address: name + ":1", Domain: "b", Boot: boot, Seq: seq, Age: age, Suspected: suspected}
}

// TestPresence plays states of the host "x" as they arrive, each a second after the one before, at a host that always
// hears of "y" of the same failure domain.
func TestPresence(t *testing.T) {
	for _, test := range []struct {
		name    string
		states  []roster.Member
		present bool
	}{
		{"silence is no absence", []roster.Member{member("x", 1, 1, 0, 0)}, true},
		{"suspected by others", []roster.Member{member("x", 1, 1, 0, 0), member("x", 1, 1, time.Second, time.Millisecond)}, false},
		{"refuted by a later message", []roster.Member{member("x", 1, 1, 0, 0), member("x", 1, 1, time.Second, time.Millisecond), member("x", 1, 5, time.Millisecond, 0)}, true},
		{"not refuted by an older message", []roster.Member{member("x", 1, 1, 0, 0), member("x", 1, 1, time.Second, time.Millisecond), member("x", 1, 5, 2*time.Second, 0)}, false},
		{"restarted", []roster.Member{member("x", 1, 9, 0, 0), member("x", 1, 9, time.Second, time.Millisecond), member("x", 2, 1, time.Second, 0)}, true},
		{"state of the process before", []roster.Member{member("x", 2, 1, 0, 0), member("x", 1, 9, time.Second, time.Millisecond)}, true},
		{"age beyond range", []roster.Member{member("x", 1, 1, math.MaxInt64, 0)}, true},
		{"negative ages", []roster.Member{member("x", 1, 1, -time.Hour, -time.Hour)}, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			table := &roster.Table{Self: "self", Domain: "a", Random: rand.IntN}
			seq := uint64(0)
			hearOther := func() {
				seq++
				table.Merge(member("y", 1, seq, 0, 0), time.Now())
			}
			for _, m := range test.states {
				hearOther()
				table.Merge(m, time.Now())
				time.Sleep(time.Second)
			}
			for range 2 {
				hearOther()
				time.Sleep(time.Second)
			}
			present := false
			for _, m := range table.Current(time.Now()).Present {
				present = present || m.Name == "x"
			}
			qt.Check(t, present, qt.Equals, test.present, qt.Commentf(test.name))
			told := slices.Contains(table.Audience(1, 2, time.Now()), "x:1")
			qt.Check(t, told, qt.Equals, test.present, qt.Commentf("%s: told of news", test.name))
		})
	}
}

// Guards against a list of hosts that exhausts the memory.
func TestListIsBounded(t *testing.T) {
	table := &roster.Table{Self: "self", Domain: "a", Random: rand.IntN}
	refused := 0
	for i := range 10000 {
		if table.Merge(member(fmt.Sprint(i), 1, 1, 0, 0), time.Now()) == roster.Refused {
			refused++
		}
	}
	qt.Check(t, refused > 0, qt.IsTrue)
	qt.Check(t, len(table.Current(time.Now()).Members), qt.Equals, 10000-refused)
}

// Guards against hosts that are busy with checks of each other: each check occupies several hosts, and
// all hosts have the same reason when a failure domain is cut off.
func TestChecksAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &roster.Table{Self: "self", Domain: "a", Random: rand.IntN}
		for i := range 60 {
			table.Merge(member(fmt.Sprintf("x%d", i), 1, 1, 0, 0), time.Now())
		}
		begin := func() (begun []string) {
			for i := range 60 {
				name := fmt.Sprintf("x%d", i)
				if _, check := table.BeginCheck(name, time.Now()); check {
					begun = append(begun, name)
				}
			}
			return begun
		}
		begun := begin()
		qt.Assert(t, begun, qt.HasLen, 2)
		qt.Assert(t, begin(), qt.HasLen, 0)
		failedAt := time.Now()
		time.Sleep(time.Millisecond)
		qt.Assert(t, table.EndCheck(begun[0], failedAt), qt.IsTrue)
		qt.Assert(t, begin(), qt.HasLen, 1)
		table.EndCheck(begun[1], failedAt)
		time.Sleep(2 * time.Second)
		qt.Assert(t, begin(), qt.HasLen, 0, qt.Commentf("the failure domain is silent"))
	})
}
