package retry

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiashelf.dev/parts/fault"
)

const ms = time.Millisecond

func settled(gap time.Duration) *Gaps {
	g := &Gaps{}
	for range 64 {
		g.Observe(gap)
	}
	return g
}

// A server freezes at a usual gap of 20 ms: its connections stay open and
// nothing comes. It has to be given up well within 500 ms, or the caller
// reads the pause as the end.
func TestFreezeIsSeenSoon(t *testing.T) {
	c := quicktest.New(t)
	l := settled(20 * ms).Timeouts()
	phase, wait := l.Next(0, true)
	c.Assert(phase, quicktest.Equals, Healthy)
	c.Assert(wait, quicktest.Equals, l.Probe)
	phase, _ = l.Next(l.Probe, false)
	c.Assert(phase, quicktest.Equals, Probing)
	phase, _ = l.Next(250*ms, false)
	c.Assert(phase, quicktest.Equals, Failed)
	phase, _ = l.Next(250*ms, true)
	c.Assert(phase, quicktest.Equals, Stalled)
	phase, _ = l.Next(400*ms, true)
	c.Assert(phase, quicktest.Equals, Failed)
}

// A chain is slow but healthy, and its gaps vary. Were it given up, its
// request would begin again elsewhere, and a pool that is busy would be made
// busier by that.
func TestSlowChainIsNotSilent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		usual := rapid.Int64Range(1, 5000).Draw(t, "usual")
		g := settled(time.Duration(usual) * ms)
		for _, part := range rapid.SliceOfN(rapid.Int64Range(20, 200), 1, 100).Draw(t, "parts") {
			gap := time.Duration(usual*part/100) * ms
			if phase, _ := g.Timeouts().Next(gap, true); phase > Healthy {
				t.Fatalf("a gap of %s at a usual %d ms is in phase %d", gap, usual, phase)
			}
			g.Observe(gap)
		}
	})
}

// The waits of the phases lead to an end, in order, whatever the limits.
func TestPhasesEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Timeouts{
			Probe:   time.Duration(rapid.Int64Range(1, 1e10).Draw(t, "probe")),
			Failure: time.Duration(rapid.Int64Range(1, 1e10).Draw(t, "silent")),
		}
		there := rapid.Bool().Draw(t, "there")
		idle, last := time.Duration(0), Healthy
		for range 4 {
			phase, wait := l.Next(idle, there)
			if phase < last {
				t.Fatalf("phase %d after %d", phase, last)
			}
			if phase == Failed {
				return
			}
			last = phase
			idle += wait
		}
		t.Fatal("never silent")
	})
}

func TestFirstGivesLongPromptsTime(t *testing.T) {
	c := quicktest.New(t)
	u := &Baseline{}
	c.Assert(u.FirstToken(100), quicktest.Equals, unknown)
	for range 50 {
		u.ObserveFirstToken(100, 500*ms)
	}
	short := u.FirstToken(100)
	c.Assert(short.Failure < unknown.Failure, quicktest.IsTrue)
	c.Assert(u.FirstToken(450).Failure, quicktest.Equals, 4*short.Failure)
	c.Assert(u.FirstToken(60000).Probe, quicktest.Equals, short.Probe, quicktest.Commentf("a frozen server is found as soon"))
	u.ObserveGaps(*settled(30 * ms))
	begin := u.Gaps()
	c.Assert(begin.Timeouts().Failure < 2*time.Second, quicktest.IsTrue)
}

// A fault hits every chain of a pool. Repeats are paid from what the pool has
// achieved, so the load stays bounded and what still works is left alone.
func TestBudgetBoundsRepeats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget()
		earned, taken := 0, 0
		for range rapid.IntRange(0, 400).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "earn") {
				n := rapid.IntRange(1, 100).Draw(t, "tokens")
				earned += n
				b.Deposit(n, int64(rapid.IntRange(0, 200).Draw(t, "flight")))
				continue
			}
			if b.Withdraw() {
				taken++
			}
		}
		if taken > floorAttempts+earned/tokensPerAttempt {
			t.Fatalf("%d repeats for %d tokens", taken, earned)
		}
	})
}

func TestAgain(t *testing.T) {
	for _, test := range []struct {
		name       string
		f          Failure
		again, pay bool
	}{
		{"a server failed", Failure{Error: &fault.Error{Code: fault.ServerFailed}, Attempt: 1, Left: 1, CallerConnected: true}, true, true},
		{"a server refused", Failure{Error: &fault.Error{Code: fault.ServerRefused, Verdict: fault.NotRun}, Attempt: 1, Left: 1, CallerConnected: true}, true, false},
		{"no cover", Failure{Error: &fault.Error{Code: fault.NoCover}, Attempt: 1, Left: 1, CallerConnected: true}, false, false},
		{"too many", Failure{Error: &fault.Error{Code: fault.ServerFailed}, Attempt: MaxAttempts, Left: 1, CallerConnected: true}, false, false},
		{"too late", Failure{Error: &fault.Error{Code: fault.ServerFailed}, Attempt: 1, CallerConnected: true}, false, false},
		{"caller left", Failure{Error: &fault.Error{Code: fault.ServerFailed}, Attempt: 1, Left: 1}, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			again, pay := test.f.ShouldRetry()
			quicktest.Assert(t, again, quicktest.Equals, test.again)
			quicktest.Assert(t, pay, quicktest.Equals, test.pay)
		})
	}
	c := quicktest.New(t)
	f := Failure{Error: &fault.Error{Code: fault.ServerRefused, Verdict: fault.NotRun}}
	final := f.Final(fault.MayHaveRun)
	c.Assert(final.Verdict, quicktest.Equals, fault.MayHaveRun)
	c.Assert(final.RetryAfter, quicktest.Equals, RetryAfter)
	c.Assert(f.Error.Verdict, quicktest.Equals, fault.NotRun)
}
