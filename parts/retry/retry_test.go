package retry

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiashelf.dev/parts/fault"
	_ "fuchsiashelf.dev/parts/seed"
)

const ms = time.Millisecond

func steady(gap time.Duration) *Gaps {
	g := &Gaps{}
	for range 64 {
		g.Observe(gap)
	}
	return g
}

// Guards against a late failover when a server hangs: its connections stay open and no
// token arrives. With a usual gap of 20 ms it has to be detected well within 500 ms,
// or the caller takes the pause for the end of the response.
func TestHungServerIsDetectedSoon(t *testing.T) {
	c := quicktest.New(t)
	timeouts := steady(20 * ms).Timeouts()
	phase, wait := timeouts.Next(0, true)
	c.Assert(phase, quicktest.Equals, Healthy)
	c.Assert(wait, quicktest.Equals, timeouts.Probe)
	phase, _ = timeouts.Next(timeouts.Probe, false)
	c.Assert(phase, quicktest.Equals, Probing)
	phase, _ = timeouts.Next(250*ms, false)
	c.Assert(phase, quicktest.Equals, Failed)
	phase, _ = timeouts.Next(250*ms, true)
	c.Assert(phase, quicktest.Equals, Stalled)
	phase, _ = timeouts.Next(400*ms, true)
	c.Assert(phase, quicktest.Equals, Failed)
}

// Guards against failing a slow but healthy chain whose gaps vary: its request would
// be restarted elsewhere, which adds load to a busy pool.
func TestSlowChainIsHealthy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mean := rapid.Int64Range(1, 5000).Draw(t, "mean")
		g := steady(time.Duration(mean) * ms)
		for _, part := range rapid.SliceOfN(rapid.Int64Range(20, 200), 1, 100).Draw(t, "parts") {
			gap := time.Duration(mean*part/100) * ms
			if phase, _ := g.Timeouts().Next(gap, true); phase > Healthy {
				t.Fatalf("a gap of %s at a mean of %d ms is in phase %d", gap, mean, phase)
			}
			g.Observe(gap)
		}
	})
}

// Guards against phases that never reach a failure, or that go back, for any
// timeouts.
func TestPhasesReachFailed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		timeouts := Timeouts{
			Probe:   time.Duration(rapid.Int64Range(1, 1e10).Draw(t, "probe")),
			Failure: time.Duration(rapid.Int64Range(1, 1e10).Draw(t, "failure")),
		}
		probesAnswered := rapid.Bool().Draw(t, "probesAnswered")
		idle, last := time.Duration(0), Healthy
		for range 4 {
			phase, wait := timeouts.Next(idle, probesAnswered)
			if phase < last {
				t.Fatalf("phase %d after %d", phase, last)
			}
			if phase == Failed {
				return
			}
			last = phase
			idle += wait
		}
		t.Fatal("never failed")
	})
}

func TestFirstTokenTimeoutGrowsWithPrompt(t *testing.T) {
	c := quicktest.New(t)
	baseline := &Baseline{}
	c.Assert(baseline.FirstToken(100), quicktest.Equals, defaultTimeouts)
	for range 50 {
		baseline.ObserveFirstToken(100, 500*ms)
	}
	short := baseline.FirstToken(100)
	c.Assert(short.Failure < defaultTimeouts.Failure, quicktest.IsTrue)
	c.Assert(baseline.FirstToken(450).Failure, quicktest.Equals, 4*short.Failure)
	c.Assert(baseline.FirstToken(60000).Probe, quicktest.Equals, short.Probe, quicktest.Commentf("a hung server is detected as soon"))
	baseline.ObserveGaps(*steady(30 * ms))
	initial := baseline.Gaps()
	c.Assert(initial.Timeouts().Failure < 2*time.Second, quicktest.IsTrue)
}

// Guards against retries that multiply the load when a fault hits every chain of a
// pool: they are limited by the tokens that the pool has relayed.
func TestBudgetLimitsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget()
		earned, retries := 0, 0
		for range rapid.IntRange(0, 400).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "earn") {
				n := rapid.IntRange(1, 100).Draw(t, "tokens")
				earned += n
				b.Deposit(n, int64(rapid.IntRange(0, 200).Draw(t, "flight")))
				continue
			}
			if b.Withdraw() {
				retries++
			}
		}
		if retries > minRetries+earned/tokensPerRetry {
			t.Fatalf("%d retries for %d tokens", retries, earned)
		}
	})
}

func TestShouldRetry(t *testing.T) {
	for _, test := range []struct {
		name          string
		f             Failure
		retry, charge bool
	}{
		{"a server failed", Failure{Error: &fault.Error{Code: fault.ServerFailed}, Attempt: 1, Remaining: 1, CallerConnected: true}, true, true},
		{"a server refused", Failure{Error: &fault.Error{Code: fault.ServerRefused, Verdict: fault.NotRun}, Attempt: 1, Remaining: 1, CallerConnected: true}, true, false},
		{"no cover", Failure{Error: &fault.Error{Code: fault.NoCover}, Attempt: 1, Remaining: 1, CallerConnected: true}, false, false},
		{"too many attempts", Failure{Error: &fault.Error{Code: fault.ServerFailed}, Attempt: MaxAttempts, Remaining: 1, CallerConnected: true}, false, false},
		{"deadline passed", Failure{Error: &fault.Error{Code: fault.ServerFailed}, Attempt: 1, CallerConnected: true}, false, false},
		{"caller disconnected", Failure{Error: &fault.Error{Code: fault.ServerFailed}, Attempt: 1, Remaining: 1}, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			retry, charge := test.f.ShouldRetry()
			quicktest.Assert(t, retry, quicktest.Equals, test.retry)
			quicktest.Assert(t, charge, quicktest.Equals, test.charge)
		})
	}
	c := quicktest.New(t)
	f := Failure{Error: &fault.Error{Code: fault.ServerRefused, Verdict: fault.NotRun}}
	final := f.Final(fault.MayHaveRun)
	c.Assert(final.Verdict, quicktest.Equals, fault.MayHaveRun)
	c.Assert(final.RetryAfter, quicktest.Equals, RetryAfter)
	c.Assert(f.Error.Verdict, quicktest.Equals, fault.NotRun)
}
