package share_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/share"
)

// Guards against messages that grow with the number of teams, and against demand that is
// lost from them.
func TestRowsAreBounded(t *testing.T) {
	tr, now := newTracker(0, map[domain.Name]int{"a": 1}), time.Unix(1000, 0)
	total := 0.0
	for i := range 400 {
		work := float64(10 + i)
		total += work
		tr.Begin(share.Class{Service: "s", Team: fmt.Sprint(i), Rank: i % 3}, work, now)
	}
	qt.Check(t, tr.Rows(now), qt.HasLen, 0)
	tr.Wait(share.Class{Service: "s", Team: "0"}, 10, now)
	rows := tr.Rows(now)
	qt.Assert(t, rows, qt.HasLen, 64)
	rest := map[int]bool{}
	for _, r := range rows {
		total -= r.Running
		if r.Team == "" {
			rest[r.Rank] = true
		} else {
			qt.Check(t, r.Running >= 10+400-64, qt.IsTrue, qt.Commentf("%v", r))
		}
	}
	qt.Check(t, rest, qt.DeepEquals, map[int]bool{0: true, 1: true, 2: true})
	qt.Check(t, total, qt.Equals, 0.0)
}

// Guards against messages with amounts that are none, ranks out of range and too many rows.
func TestInvalidRows(t *testing.T) {
	tr, now := newTracker(0, map[domain.Name]int{"a": 2}), time.Unix(1000, 0)
	zero := 0.0
	rows := []share.Row{{Service: "s", Team: "x", Rank: 77, Running: -1, Waiting: 1 / zero, Refused: zero / zero, Served: 5}}
	for i := range 200 {
		rows = append(rows, share.Row{Service: "s", Team: fmt.Sprint(i), Rank: -1, Running: 1, Waiting: 1})
	}
	tr.Merge("1", "a", rows, now)
	tr.Sweep(now)
	classes := 0
	tr.Sweep(now.Add(time.Second))
	tr.TakeRemote("s", func(c share.Class, work float64) {
		classes++
		qt.Check(t, c, qt.Equals, share.Class{Service: "s", Team: "x", Rank: 9})
		qt.Check(t, work > 5 && work < 6, qt.IsTrue, qt.Commentf("%f", work))
	})
	qt.Check(t, classes, qt.Equals, 1)
	tr.TakeRemote("s", func(share.Class, float64) { t.Error("taken twice") })
	qt.Check(t, tr.Headroom(share.Class{Service: "s", Team: "x", Rank: 9}), qt.Equals, tr.Headroom(share.Class{Service: "s", Team: "x", Rank: -1}))
	qt.Check(t, tr.Stats(now), qt.HasLen, 16)
}

// Guards against a host that counts its own demand twice, since others tell it of itself.
func TestOwnRowsAreIgnored(t *testing.T) {
	tr, now := newTracker(0, map[domain.Name]int{"a": 2}), time.Unix(1000, 0)
	tr.Merge("0", "a", []share.Row{{Service: "s", Team: "large", Running: 50, Waiting: 50}}, now)
	tr.Sweep(now)
	qt.Check(t, tr.Contended("s"), qt.IsFalse)
	qt.Check(t, tr.Stats(now), qt.HasLen, 0)
}

// Guards against work that is not a number, infinite or too large, here or in a message,
// which makes headrooms that are not numbers: no server would count as full.
func TestInvalidWork(t *testing.T) {
	for _, work := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, math.MaxFloat64} {
		tr, now := newTracker(0, map[domain.Name]int{"a": 2}), time.Unix(1000, 0)
		var ends []func()
		for _, c := range []share.Class{large, small, lesser} {
			ends = append(ends, tr.Begin(c, work, now), tr.Wait(c, work, now))
			tr.Refuse(c, work, now)
		}
		tr.Merge("1", "a", []share.Row{
			{Service: "s", Team: "small", Running: work, Waiting: work, Refused: work, Served: work},
			{Service: "s", Team: "large", Running: work, Waiting: work, Refused: work, Served: work},
		}, now)
		for range 20 {
			now = now.Add(sweep)
			tr.Sweep(now)
			for _, c := range []share.Class{large, small, lesser} {
				h := tr.Headroom(c)
				qt.Check(t, h >= 0 && h <= 0.5, qt.IsTrue, qt.Commentf("%f: %f", work, h))
			}
		}
		for _, end := range ends {
			end()
		}
		now = now.Add(time.Second)
		for _, r := range tr.Rows(now) {
			qt.Check(t, r.Running+r.Waiting, qt.Equals, 0.0)
		}
	}
}

// Guards against classes that are kept for ever since their sums of work are not zero
// without requests, and against an end that counts twice.
func TestClassesAreDropped(t *testing.T) {
	tr, now := newTracker(0, map[domain.Name]int{"a": 1}), time.Unix(1000, 0)
	var ends []func()
	for _, work := range []float64{0.1, 0.2, 0.3} {
		ends = append(ends, tr.Begin(small, work, now), tr.Wait(small, work, now))
	}
	stays := tr.Begin(small, 5, now)
	for _, end := range ends {
		end()
		end()
	}
	known := func() []share.Stat {
		for range 110 {
			now = now.Add(sweep)
			tr.Sweep(now)
		}
		return tr.Stats(now)
	}
	list := known()
	qt.Assert(t, list, qt.HasLen, 1)
	qt.Check(t, math.Abs(list[0].Running-5) < 1e-6, qt.IsTrue, qt.Commentf("%f", list[0].Running))
	stays()
	qt.Check(t, known(), qt.HasLen, 0)
}

// Guards against rows, metrics and charges that depend on the order of a map: of equal
// classes, others would be named each time.
func TestEqualClassesAreOrdered(t *testing.T) {
	tr, now := newTracker(0, map[domain.Name]int{"a": 1}), time.Unix(1000, 0)
	for i := range 400 {
		tr.Refuse(share.Class{Service: "s", Team: fmt.Sprint(i)}, 10, now)
	}
	tr.Sweep(now)
	rows, stats := tr.Rows(now), tr.Stats(now)
	for range 20 {
		qt.Check(t, tr.Rows(now), qt.DeepEquals, rows)
		qt.Check(t, tr.Stats(now), qt.DeepEquals, stats)
	}
}

// Guards against a callback that blocks for ever if it uses the tracker.
func TestTakeRemoteMayUseTracker(t *testing.T) {
	tr, now := newTracker(0, map[domain.Name]int{"a": 2}), time.Unix(1000, 0)
	tr.Merge("1", "a", []share.Row{{Service: "s", Team: "large", Waiting: 5, Served: 50}}, now)
	tr.Sweep(now)
	done := make(chan bool, 1)
	go func() {
		tr.TakeRemote("s", func(c share.Class, work float64) { tr.Refuse(c, work, now) })
		done <- true
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("blocked")
	}
}

// crowded returns a tracker with the demand of 400 teams and 10 ranks at 300 hosts.
func crowded(now time.Time) *share.Tracker {
	tr := newTracker(0, map[domain.Name]int{"a": 300})
	class := func(i int) share.Class {
		return share.Class{Service: "s", Team: fmt.Sprint("team-", i/10), Rank: i % 10}
	}
	for i := range 4000 {
		tr.Begin(class(i), 50, now)
		tr.Refuse(class(i), 50, now)
	}
	for host := range 300 {
		var rows []share.Row
		for i := range 64 {
			c := class((host*64 + i) % 4000)
			rows = append(rows, share.Row{Service: "s", Team: c.Team, Rank: c.Rank, Running: float64(100 + i), Waiting: 50, Served: 100})
		}
		tr.Merge(fmt.Sprint(host+1), "a", rows, now)
	}
	tr.Sweep(now)
	return tr
}

func BenchmarkBegin(b *testing.B) {
	now := time.Unix(1000, 0)
	tr := crowded(now)
	c := share.Class{Service: "s", Team: "team-77", Rank: 4}
	b.ReportAllocs()
	for b.Loop() {
		tr.Begin(c, 50, now)()
	}
}

func BenchmarkHeadroom(b *testing.B) {
	tr := crowded(time.Unix(1000, 0))
	c := share.Class{Service: "s", Team: "team-77", Rank: 4}
	b.ReportAllocs()
	for b.Loop() {
		tr.Headroom(c)
	}
}

func BenchmarkSweep(b *testing.B) {
	now := time.Unix(1000, 0)
	tr := crowded(now)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond / 100)
		tr.Sweep(now)
	}
}

func BenchmarkRows(b *testing.B) {
	now := time.Unix(1000, 0)
	tr := crowded(now)
	b.ReportAllocs()
	for b.Loop() {
		tr.Rows(now)
	}
}
