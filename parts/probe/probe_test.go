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

// Guards against spending the rate limit on healthy servers when a server in
// the middle of several chains fails. Its streams fall silent one after
// another, while the rest of their chains still serves other streams. The
// server that all silent streams share must be probed first.
func TestServerSharedBySilentStreamsIsProbedFirst(t *testing.T) {
	streams := []probe.Stream{
		{Servers: []string{"a", "dead", "c"}, Silent: true},
		{Servers: []string{"b", "dead", "d"}, Silent: true},
		{Servers: []string{"a", "e", "c"}},
		{Servers: []string{"b", "e", "d"}},
	}
	s := &probe.Scheduler{}
	qt.Assert(t, s.Next(streams, start)[0], qt.Equals, "dead")
}

// Guards against late detection where each stream would have to be silent for
// long by itself. Streams have an event every 80 ms on average, and single
// events are late at times. A server in twenty chains fails; that all twenty
// streams are silent at once shows it early. No server may be probed before.
func TestCommonSilenceIsProbedEarly(t *testing.T) {
	const (
		typicalGap = 80 * time.Millisecond
		step       = 5 * time.Millisecond
		failure    = 4 * time.Second
		maxDelay   = 110 * time.Millisecond
	)
	rng := rand.New(rand.NewPCG(1, 2))
	chains := [][]string{{"a", "dead", "c"}, {"a", "b", "c"}}
	streams := make([]probe.Stream, 40)
	next := make([]time.Duration, len(streams))
	last := make([]time.Duration, len(streams))
	for i := range streams {
		streams[i] = probe.Stream{Servers: chains[i%2], TypicalGap: typicalGap}
		next[i] = time.Duration(rng.Int64N(int64(typicalGap)))
	}
	s := &probe.Scheduler{}
	for at := time.Duration(0); ; at += step {
		for i := range streams {
			if next[i] <= at && (at < failure || i%2 == 1) {
				last[i], next[i] = at, at+typicalGap/2+time.Duration(rng.Int64N(int64(typicalGap)))
			}
			streams[i].Pause = at - last[i]
		}
		addresses := s.Next(streams, start.Add(at))
		if len(addresses) == 0 {
			qt.Assert(t, at < failure+maxDelay, qt.IsTrue, qt.Commentf("no server was probed"))
			continue
		}
		qt.Assert(t, at > failure, qt.IsTrue, qt.Commentf("%v probed at %v", addresses, at))
		qt.Assert(t, addresses, qt.DeepEquals, []string{"dead"})
		return
	}
}

func TestNoProbeWithoutSilence(t *testing.T) {
	s := &probe.Scheduler{}
	qt.Assert(t, s.Next([]probe.Stream{{Servers: []string{"a", "b"}}}, start), qt.HasLen, 0)
}

// Guards against unlimited probes under overload, when every stream pauses at
// times: they would add to the load that makes the servers slow.
func TestProbeRateIsLimited(t *testing.T) {
	var streams []probe.Stream
	for i := range 100 {
		streams = append(streams, probe.Stream{Servers: []string{fmt.Sprintf("s%d", i)}, Silent: true})
	}
	s := &probe.Scheduler{}
	probed := 0
	const seconds = 10
	for ms := 0; ms < seconds*1000; ms += 25 {
		addresses := s.Next(streams, start.Add(time.Duration(ms)*time.Millisecond))
		probed += len(addresses)
		for _, address := range addresses {
			s.Record(address, probe.Answered)
		}
	}
	qt.Assert(t, probed <= probe.Burst+probe.MaxPerSecond*seconds, qt.IsTrue, qt.Commentf("%d probes", probed))
}

func TestOneProbeInFlightPerServer(t *testing.T) {
	streams := []probe.Stream{{Servers: []string{"a"}, Silent: true}}
	s := &probe.Scheduler{}
	qt.Assert(t, s.Next(streams, start), qt.DeepEquals, []string{"a"})
	qt.Assert(t, s.Next(streams, start.Add(time.Second)), qt.HasLen, 0)
	s.Record("a", probe.Answered)
	qt.Assert(t, s.Next(streams, start.Add(time.Second)), qt.DeepEquals, []string{"a"})
	s.Record("a", probe.Answered)
	qt.Assert(t, s.Next(streams, start.Add(time.Second+probe.Interval)), qt.HasLen, 0)
}

// Guards against probing the same healthy servers again and again while the
// failed one is never reached: all servers of a failure domain have silent
// streams, but only one has failed.
func TestAnsweringServersDoNotDelayOthers(t *testing.T) {
	var streams []probe.Stream
	for i := range 3 * probe.Burst {
		streams = append(streams, probe.Stream{Servers: []string{fmt.Sprintf("s%02d", i)}, Silent: true})
	}
	s := &probe.Scheduler{}
	probed := map[string]bool{}
	for ms := 0; ms <= 1000; ms += 25 {
		for _, address := range s.Next(streams, start.Add(time.Duration(ms)*time.Millisecond)) {
			probed[address] = true
			s.Record(address, probe.Answered)
		}
	}
	qt.Assert(t, probed, qt.HasLen, len(streams))
}

// Guards against a late second probe of a failed server, since the first one
// may have been lost and callers notice a pause of 200 ms.
func TestSuspectedServerIsProbedAgainSoon(t *testing.T) {
	streams := []probe.Stream{{Servers: []string{"a"}, Silent: true}}
	s := &probe.Scheduler{}
	s.Next(streams, start)
	s.Record("a", probe.NoConnection)
	qt.Assert(t, s.Next(streams, start.Add(probe.Interval)), qt.DeepEquals, []string{"a"})
}

func TestStates(t *testing.T) {
	s := &probe.Scheduler{}
	qt.Assert(t, s.Record("a", probe.Answered), qt.Equals, probe.Alive)
	qt.Assert(t, s.Record("a", probe.Refused), qt.Equals, probe.Exited)
	qt.Assert(t, s.Record("b", probe.NoConnection), qt.Equals, probe.Suspected)
	qt.Assert(t, s.Record("b", probe.NoConnection), qt.Equals, probe.Unreachable)
	qt.Assert(t, s.Record("b", probe.Answered), qt.Equals, probe.Alive)
	qt.Assert(t, s.Record("b", probe.NoConnection), qt.Equals, probe.Suspected)
}

// Guards against a paused process that counts as lost, and a lost one that counts as paused:
// the last of several misses decides.
func TestKindsOfEvidence(t *testing.T) {
	for _, test := range []struct {
		results      []probe.Result
		state        probe.State
		failed, lost bool
	}{
		{[]probe.Result{probe.NoAnswer}, probe.Suspected, false, false},
		{[]probe.Result{probe.NoConnection, probe.NoAnswer}, probe.Silent, true, false},
		{[]probe.Result{probe.NoAnswer, probe.NoConnection}, probe.Unreachable, true, true},
		{[]probe.Result{probe.NoAnswer, probe.NoAnswer, probe.Refused}, probe.Exited, true, true},
		{[]probe.Result{probe.NoAnswer, probe.Answered, probe.NoAnswer}, probe.Suspected, false, false},
	} {
		s, state := &probe.Scheduler{}, probe.Alive
		for _, result := range test.results {
			state = s.Record("a", result)
		}
		qt.Check(t, state, qt.Equals, test.state)
		qt.Check(t, []bool{state.Failed(), state.Lost()}, qt.DeepEquals, []bool{test.failed, test.lost}, qt.Commentf("%v", state))
	}
}

// Guards against counting probes that were lost an hour apart as failures in a
// row: this would end the attempts on a healthy server.
func TestOldFailuresAreForgotten(t *testing.T) {
	streams := []probe.Stream{{Servers: []string{"a"}, Silent: true}}
	s := &probe.Scheduler{}
	s.Next(streams, start)
	qt.Assert(t, s.Record("a", probe.NoConnection), qt.Equals, probe.Suspected)
	s.Next(streams, start.Add(time.Hour))
	qt.Assert(t, s.Record("a", probe.NoConnection), qt.Equals, probe.Suspected)
}
