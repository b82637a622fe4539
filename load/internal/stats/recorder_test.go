package stats_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/load/internal/call"
	"fuchsiashelf.dev/load/internal/plan"
	"fuchsiashelf.dev/load/internal/stats"
)

var startedAt = time.Unix(1000, 0)

func at(ms int) time.Time {
	return startedAt.Add(time.Duration(ms) * time.Millisecond)
}

func newRecorder() *stats.Recorder {
	r := &stats.Recorder{Warmup: time.Second, Duration: 3 * time.Second, Tick: 500 * time.Millisecond}
	r.Start(startedAt)
	return r
}

func arrival(ms int) plan.Arrival {
	return plan.Arrival{At: time.Duration(ms) * time.Millisecond, Team: "cantata", Tokens: 2}
}

// Guards against coordinated omission: when the sender falls behind and sends a call
// late, the latency of the call must include that delay.
func TestLatencyCountsFromScheduledSend(t *testing.T) {
	c := qt.New(t)
	recorder := newRecorder()
	s := recorder.Open(arrival(1500), at(1900))
	s.Token(at(2000))
	s.Token(at(2030))
	s.Close(call.Outcome{Result: call.Complete}, at(2040))
	r := recorder.Report()
	c.Assert(r.First.Max > 499 && r.First.Max < 501, qt.IsTrue, qt.Commentf("%v", r.First))
	c.Assert(r.Late.Max > 399 && r.Late.Max < 401, qt.IsTrue)
	c.Assert(r.Gap.Max > 29 && r.Gap.Max < 31, qt.IsTrue)
	c.Assert(r.Complete, qt.Equals, 1)
	c.Assert(r.TokensPerSecond, qt.Equals, 1.0)
}

// Guards against counting tokens of a response that fails later as goodput: such a
// response is useless to its caller.
func TestOnlyCompleteResponsesAreGoodput(t *testing.T) {
	c := qt.New(t)
	recorder := newRecorder()
	s := recorder.Open(arrival(1500), at(1500))
	s.Token(at(1600))
	s.Close(call.Outcome{Result: call.Failed, Code: "server-failed", Verdict: "may-have-run"}, at(1700))
	recorder.Open(arrival(1600), at(1600)).Close(
		call.Outcome{Result: call.Refused, Code: "overloaded", Verdict: "not-run"}, at(1601))
	r := recorder.Report()
	c.Assert(r.TokensPerSecond, qt.Equals, 0.0)
	c.Assert(r.Failed, qt.Equals, 1)
	c.Assert(r.Refused, qt.Equals, 1)
	c.Assert(r.Codes, qt.DeepEquals, map[string]int{"server-failed may-have-run": 1, "overloaded not-run": 1})
}

func TestWarmupIsNotMeasured(t *testing.T) {
	c := qt.New(t)
	recorder := newRecorder()
	s := recorder.Open(arrival(900), at(900))
	s.Token(at(950))
	s.Token(at(1050))
	s.Close(call.Outcome{Result: call.Complete}, at(1100))
	r := recorder.Report()
	c.Assert(r.Offered, qt.Equals, 0)
	c.Assert(r.TokensPerSecond, qt.Equals, 0.5)
	c.Assert(r.Series[1].Tokens, qt.Equals, 1)
	c.Assert(r.Series[2].Tokens, qt.Equals, 1)
}

func TestFaultImpactCoversOpenStreams(t *testing.T) {
	c := qt.New(t)
	recorder := newRecorder()
	open, ended, later := recorder.Open(arrival(1000), at(1000)), recorder.Open(arrival(1000), at(1000)),
		recorder.Open(arrival(2100), at(2100))
	open.Token(at(1990))
	ended.Token(at(1990))
	recorder.RecordFault("2s kill", at(2000))
	open.Token(at(2080))
	open.Token(at(2090))
	ended.Close(call.Outcome{Result: call.Lost}, at(2200))
	later.Token(at(2110))
	later.Token(at(2120))
	r := recorder.Report()
	c.Assert(r.Faults, qt.DeepEquals, []stats.FaultImpact{{
		Fault: "2s kill", AtMs: 2000, NextMs: []float64{80}, Ended: 1,
	}})
	var text strings.Builder
	r.Text(&text)
	c.Assert(text.String(), qt.Contains, "fault 2s kill: 1 streams went on, 1 ended")
}
