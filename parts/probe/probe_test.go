package probe_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/probe"
)

var start = time.Unix(1_000_000, 0)

// A server in the midst of several chains dies. Its streams fall silent one
// after the other, and the others of its chains go on for other streams. Asked
// in any order, the budget could be spent on servers that live while callers
// wait; the one that all silent streams share is asked first.
func TestServerThatSilentStreamsShareIsAskedFirst(t *testing.T) {
	streams := []probe.Stream{
		{Servers: []string{"a", "dead", "c"}, Silent: true},
		{Servers: []string{"b", "dead", "d"}, Silent: true},
		{Servers: []string{"a", "e", "c"}},
		{Servers: []string{"b", "e", "d"}},
	}
	b := &probe.Scheduler{}
	qt.Assert(t, b.Next(streams, start)[0], qt.Equals, "dead")
}

// Streams have an event every 80 ms, and one is late for once now and then. A
// server in the midst of twenty dies. If each stream had to be silent for long
// alone, its callers would see a pause whatever is done then; nobody notices
// that not even one of the twenty goes on. While all live, nobody is asked.
func TestStreamsSilentTogetherTellOfADeath(t *testing.T) {
	const (
		usual  = 80 * time.Millisecond
		step   = 5 * time.Millisecond
		death  = 4 * time.Second
		within = 110 * time.Millisecond
	)
	rng := rand.New(rand.NewPCG(1, 2))
	chains := [][]string{{"a", "dead", "c"}, {"a", "b", "c"}}
	streams := make([]probe.Stream, 40)
	next := make([]time.Duration, len(streams))
	last := make([]time.Duration, len(streams))
	for i := range streams {
		streams[i] = probe.Stream{Servers: chains[i%2], TypicalGap: usual}
		next[i] = time.Duration(rng.Int64N(int64(usual)))
	}
	b := &probe.Scheduler{}
	for at := time.Duration(0); ; at += step {
		for i := range streams {
			if next[i] <= at && (at < death || i%2 == 1) {
				last[i], next[i] = at, at+usual/2+time.Duration(rng.Int64N(int64(usual)))
			}
			streams[i].Pause = at - last[i]
		}
		list := b.Next(streams, start.Add(at))
		if len(list) == 0 {
			qt.Assert(t, at < death+within, qt.IsTrue, qt.Commentf("nobody was asked"))
			continue
		}
		qt.Assert(t, at > death, qt.IsTrue, qt.Commentf("%v asked at %v", list, at))
		qt.Assert(t, list, qt.DeepEquals, []string{"dead"})
		return
	}
}

func TestNobodyIsAskedWithoutSilence(t *testing.T) {
	b := &probe.Scheduler{}
	qt.Assert(t, b.Next([]probe.Stream{{Servers: []string{"a", "b"}}}, start), qt.HasLen, 0)
}

// On an overloaded evening every stream pauses at times. Questions to all
// servers at every look would add to the load that makes them slow.
func TestQuestionsAreBounded(t *testing.T) {
	var streams []probe.Stream
	for i := range 100 {
		streams = append(streams, probe.Stream{Servers: []string{fmt.Sprintf("s%d", i)}, Silent: true})
	}
	b := &probe.Scheduler{}
	asked := 0
	const seconds = 10
	for ms := 0; ms < seconds*1000; ms += 25 {
		list := b.Next(streams, start.Add(time.Duration(ms)*time.Millisecond))
		asked += len(list)
		for _, address := range list {
			b.Record(address, true, false)
		}
	}
	qt.Assert(t, asked <= probe.Burst+probe.MaxPerSecond*seconds, qt.IsTrue, qt.Commentf("%d questions", asked))
}

func TestOneQuestionAtATime(t *testing.T) {
	streams := []probe.Stream{{Servers: []string{"a"}, Silent: true}}
	b := &probe.Scheduler{}
	qt.Assert(t, b.Next(streams, start), qt.DeepEquals, []string{"a"})
	qt.Assert(t, b.Next(streams, start.Add(time.Second)), qt.HasLen, 0)
	b.Record("a", true, false)
	qt.Assert(t, b.Next(streams, start.Add(time.Second)), qt.DeepEquals, []string{"a"})
	b.Record("a", true, false)
	qt.Assert(t, b.Next(streams, start.Add(time.Second+probe.Interval)), qt.HasLen, 0)
}

// A whole domain is silent, and its servers live but for one. The entry host
// asks the same few again and again, all of which answer, and never comes to
// the dead one until its streams are given up.
func TestServersThatAnswerDoNotHoldUpOthers(t *testing.T) {
	var streams []probe.Stream
	for i := range 3 * probe.Burst {
		streams = append(streams, probe.Stream{Servers: []string{fmt.Sprintf("s%02d", i)}, Silent: true})
	}
	b := &probe.Scheduler{}
	asked := map[string]bool{}
	for ms := 0; ms <= 1000; ms += 25 {
		for _, address := range b.Next(streams, start.Add(time.Duration(ms)*time.Millisecond)) {
			asked[address] = true
			b.Record(address, true, false)
		}
	}
	qt.Assert(t, asked, qt.HasLen, len(streams))
}

// The first question to a dead server may have been lost. It is asked again at
// once: its streams have 200 ms before their callers notice.
func TestSilentServerIsAskedAgainAtOnce(t *testing.T) {
	streams := []probe.Stream{{Servers: []string{"a"}, Silent: true}}
	b := &probe.Scheduler{}
	b.Next(streams, start)
	b.Record("a", false, false)
	qt.Assert(t, b.Next(streams, start.Add(probe.Interval)), qt.DeepEquals, []string{"a"})
}

func TestFindings(t *testing.T) {
	b := &probe.Scheduler{}
	qt.Assert(t, b.Record("a", true, false), qt.Equals, probe.Alive)
	qt.Assert(t, b.Record("a", false, true), qt.Equals, probe.Gone)
	qt.Assert(t, b.Record("b", false, false), qt.Equals, probe.Suspected)
	qt.Assert(t, b.Record("b", false, false), qt.Equals, probe.Unreachable)
	qt.Assert(t, b.Record("b", true, false), qt.Equals, probe.Alive)
	qt.Assert(t, b.Record("b", false, false), qt.Equals, probe.Suspected)
}

// A question was lost an hour ago, and now another one is. Taken together they
// would end the runs of a server that lives.
func TestOldMissesDoNotCount(t *testing.T) {
	streams := []probe.Stream{{Servers: []string{"a"}, Silent: true}}
	b := &probe.Scheduler{}
	b.Next(streams, start)
	qt.Assert(t, b.Record("a", false, false), qt.Equals, probe.Suspected)
	b.Next(streams, start.Add(time.Hour))
	qt.Assert(t, b.Record("a", false, false), qt.Equals, probe.Suspected)
}
