package relay

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/pool"
	"fuchsiashelf.dev/parts/retry"
	"fuchsiashelf.dev/parts/view"
)

// A server dies at some token, by closing the stream, by a failure of a later
// stage, or by an end that comes too early. The caller reads on as if nothing
// had been.
func TestResumeAtEachToken(t *testing.T) {
	const max = 6
	ends := map[string]func(w *reply){
		"closed":  func(*reply) {},
		"failure": func(w *reply) { w.frame(engine.Frame{Fail: &engine.Failure{Server: w.ask.Chain[0].Server}}) },
		"early":   func(w *reply) { w.frame(engine.Frame{End: true, Count: max}) },
		"skipped": func(w *reply) { w.token(max) },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			for index := range max {
				w := newWorld(t, "a1", "a2")
				for _, f := range w.fakes {
					f.play(func(r *reply, ask *engine.Request) bool {
						if ask.Attempt > 1 {
							return false
						}
						for i := range index {
							r.token(i)
						}
						end(r)
						return true
					})
				}
				got := &sink{}
				count, e := w.relay.Do(context.Background(), w.ask("q", max), got)
				c.Assert(e == nil, quicktest.IsTrue, quicktest.Commentf("%v", e))
				c.Assert(count, quicktest.Equals, max)
				c.Assert(got.tokens, quicktest.DeepEquals, answer("q", max))
				c.Assert(w.fakes[0].calls.Load(), quicktest.Equals, int64(1), quicktest.Commentf("the failed server is avoided"))
			}
		})
	}
}

// Two servers die one after the other under the same answer, each at some
// token, the second perhaps before it gave one.
func TestTwoFailures(t *testing.T) {
	c := quicktest.New(t)
	const max = 4
	for first := range max {
		for second := first; second < max; second++ {
			w := newWorld(t, "a1", "a2", "a3")
			ends := []int{first, second}
			for _, f := range w.fakes {
				f.play(func(r *reply, ask *engine.Request) bool {
					if ask.Attempt > len(ends) {
						return false
					}
					for i := len(ask.Sent); i < ends[ask.Attempt-1]; i++ {
						r.token(i)
					}
					return true
				})
			}
			got := &sink{}
			_, e := w.relay.Do(context.Background(), w.ask("q", max), got)
			c.Assert(e == nil, quicktest.IsTrue, quicktest.Commentf("%v", e))
			c.Assert(got.tokens, quicktest.DeepEquals, answer("q", max))
		}
	}
}

// A server freezes in the middle of an answer: its connections stay open, and
// it answers no probe. The caller gets the rest from another, and the frozen
// server is told to stop.
func TestFrozenServerIsLeft(t *testing.T) {
	c := quicktest.New(t)
	w := newWorld(t, "a1", "a2")
	for _, f := range w.fakes {
		f.play(func(r *reply, ask *engine.Request) bool {
			if ask.Attempt > 1 {
				return false
			}
			r.token(0)
			r.token(1)
			f.frozen.Store(true)
			<-r.ctx.Done()
			return true
		})
	}
	got := &sink{}
	_, e := w.relay.Do(context.Background(), w.ask("q", 5), got)
	c.Assert(e == nil, quicktest.IsTrue, quicktest.Commentf("%v", e))
	c.Assert(got.tokens, quicktest.DeepEquals, answer("q", 5))
	for _, f := range w.fakes {
		if !f.frozen.Load() {
			continue
		}
		c.Assert(w.relay.View.Load().SuspectedServers[f.name].IsZero(), quicktest.IsFalse)
		waitFor(func() bool { return f.cancelled.Load() == 1 })
	}
}

// waitFor waits until a condition holds. A condition that never does is ended
// by the test's own time limit.
func waitFor(holds func() bool) {
	for !holds() {
		tick := time.NewTimer(time.Millisecond)
		<-tick.C
	}
}

// All links of a server are down, and the server itself answers. Its streams
// fall silent all at once, and a request that only avoids the link it used
// meets the same server again on each of the others.
func TestServerWithoutLinks(t *testing.T) {
	c := quicktest.New(t)
	w := newWorld(t, "a1", "a2", "b1", "b2", "b3")
	w.layer(0, 0, 1, 1, 1)
	silent := func() *carry {
		r := &carry{Forwarder: w.relay, ask: w.ask("q", 5), state: w.relay.stateOf("lake")}
		for len(r.stages) == 0 || r.stages[0].Server != "a1" {
			c.Assert(r.choose(w.relay.View.Load(), time.Now()) == nil, quicktest.IsTrue)
		}
		r.silenced()
		return r
	}
	// The request itself stays away from the whole chain.
	r := silent()
	chain := names(r.stages)
	for range 100 {
		c.Assert(r.choose(w.relay.View.Load(), time.Now()) == nil, quicktest.IsTrue)
		c.Assert(r.stages[0].Server, quicktest.Equals, "a2")
		c.Assert(r.stages[1].Server, quicktest.Not(quicktest.Equals), chain[1])
	}
	// A token over another chain clears the other end of the link.
	c.Assert(w.relay.View.Load().SuspectedServers, quicktest.HasLen, 0)
	clear := func() {
		for _, name := range []string{"b1", "b2", "b3"} {
			w.relay.View.Load().Meters[name].Observe(1, time.Millisecond, 0)
		}
	}
	clear()
	r = silent()
	clear()
	suspects := w.relay.View.Load().SuspectedServers
	c.Assert(suspects, quicktest.HasLen, 1)
	c.Assert(suspects["a1"].IsZero(), quicktest.IsFalse)
	// A hundred streams that fail with the server count as one failure.
	for range 100 {
		r.suspect("a1")
	}
	c.Assert(w.relay.View.Load().Meters["a1"].Failures.Load(), quicktest.Equals, int64(1))
}

// A caller leaves while its answer streams. Nothing may go on running for it,
// or callers who stay would wait for the work of those who left.
func TestCallerLeaves(t *testing.T) {
	c := quicktest.New(t)
	w := newWorld(t, "a1")
	w.fakes[0].play(func(r *reply, _ *engine.Request) bool {
		r.token(0)
		<-r.ctx.Done()
		return true
	})
	ctx, cancel := context.WithCancel(context.Background())
	got := &sink{each: func(int) error { cancel(); return nil }}
	_, e := w.relay.Do(ctx, w.ask("q", 5), got)
	c.Assert(e.Code, quicktest.Equals, fault.Cancelled)
	c.Assert(e.Verdict, quicktest.Equals, fault.MayHaveRun)
	waitFor(func() bool { return w.fakes[0].cancelled.Load() == 1 })
	c.Assert(w.fakes[0].calls.Load(), quicktest.Equals, int64(1))
	c.Assert(w.relay.View.Load().Meters["a1"].InFlight.Load(), quicktest.Equals, int64(0))
}

// A caller reads slowly. The chain is healthy, and the pause between its
// tokens is the caller's own; to give the chain up would do its work twice.
func TestSlowCallerIsNoSilence(t *testing.T) {
	c := quicktest.New(t)
	w := newWorld(t, "a1", "a2")
	release := make(chan struct{})
	for _, f := range w.fakes {
		f.play(func(r *reply, ask *engine.Request) bool {
			for i := len(ask.Sent); i < 6; i++ {
				if i == 4 {
					<-release
				}
				r.token(i)
			}
			r.frame(engine.Frame{End: true, Count: 6})
			return true
		})
	}
	looks := 0
	got := &sink{each: func(index int) error {
		if index == 3 {
			<-release
		}
		return nil
	}}
	go func() {
		// Longer than every limit of a chain with gaps below a millisecond.
		tick := time.NewTicker(retry.ProbeTimeout)
		defer tick.Stop()
		for ; looks < 5; looks++ {
			<-tick.C
		}
		close(release)
	}()
	_, e := w.relay.Do(context.Background(), w.ask("q", 6), got)
	c.Assert(e == nil, quicktest.IsTrue, quicktest.Commentf("%v", e))
	c.Assert(w.fakes[0].calls.Load()+w.fakes[1].calls.Load(), quicktest.Equals, int64(1))
}

// Every server refuses, or fails. The caller hears at once whether the
// request may have run, and when to come back.
func TestGivenUp(t *testing.T) {
	refuse := func(why string) func(*reply, *engine.Request) bool {
		return func(r *reply, _ *engine.Request) bool {
			r.Header().Set(engine.NotRunHeader, why)
			r.WriteHeader(503)
			return true
		}
	}
	for _, test := range []struct {
		name    string
		script  func(*reply, *engine.Request) bool
		code    fault.Code
		verdict fault.Verdict
	}{
		{"leaving", refuse(engine.Leaving), fault.NoCover, fault.NotRun},
		{"full", refuse("full"), fault.ServerRefused, fault.NotRun},
		{"broken", func(r *reply, _ *engine.Request) bool { r.WriteHeader(500); return true }, fault.ServerFailed, fault.MayHaveRun},
		{"later stage refuses", func(r *reply, _ *engine.Request) bool {
			r.frame(engine.Frame{Fail: &engine.Failure{Server: "a1", Message: "full", Refused: true}})
			return true
		}, fault.ServerRefused, fault.MayHaveRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			w := newWorld(t, "a1", "a2")
			for _, f := range w.fakes {
				f.play(test.script)
			}
			_, e := w.relay.Do(context.Background(), w.ask("q", 3), &sink{})
			c.Assert(e.Code, quicktest.Equals, test.code)
			c.Assert(e.Verdict, quicktest.Equals, test.verdict)
			c.Assert(e.RetryAfter, quicktest.Equals, retry.RetryAfter)
			calls := w.fakes[0].calls.Load() + w.fakes[1].calls.Load()
			c.Assert(calls <= retry.MaxAttempts, quicktest.IsTrue)
		})
	}
}

// A server whose process is gone refuses connections. Nothing has left for
// it, so the refusal may say not-run.
func TestNothingListens(t *testing.T) {
	c := quicktest.New(t)
	w := newWorld(t, "a1")
	w.fakes[0].Close()
	_, e := w.relay.Do(context.Background(), w.ask("q", 3), &sink{})
	c.Assert(e.Code, quicktest.Equals, fault.ServerFailed)
	c.Assert(e.Verdict, quicktest.Equals, fault.NotRun)
}

// One server is dead, and the only other one is suspected too, since it was
// slow to answer a poll. Each attempt of the request must not meet the dead
// one again.
func TestDeadAmongSuspects(t *testing.T) {
	c := quicktest.New(t)
	for dead := range 2 {
		w := newWorld(t, "a1", "a2")
		w.fakes[dead].Close()
		w.relay.View.Update(func(s *view.Snapshot) {
			now := time.Now()
			s.Suspect("a1", now.Add(time.Minute), now)
			s.Suspect("a2", now.Add(time.Minute), now)
		})
		got := &sink{}
		_, e := w.relay.Do(context.Background(), w.ask("q", 3), got)
		c.Assert(e == nil, quicktest.IsTrue, quicktest.Commentf("%v", e))
		c.Assert(got.tokens, quicktest.DeepEquals, answer("q", 3))
	}
}

// The fault of a whole pool must not multiply its load by the number of
// attempts of each request.
func TestBudgetEnds(t *testing.T) {
	c := quicktest.New(t)
	w := newWorld(t, "a1", "a2")
	for _, f := range w.fakes {
		f.play(func(r *reply, _ *engine.Request) bool { r.WriteHeader(500); return true })
	}
	const requests = 100
	for range requests {
		_, e := w.relay.Do(context.Background(), w.ask("q", 3), &sink{})
		c.Assert(e, quicktest.IsNotNil)
	}
	calls := w.fakes[0].calls.Load() + w.fakes[1].calls.Load()
	c.Assert(calls, quicktest.Equals, int64(requests+64))
}

// A request holds the pool as it was before the operators changed it. Later
// requests must not be sent by what that one knew.
func TestOldPoolIsNotKept(t *testing.T) {
	c := quicktest.New(t)
	w := newWorld(t, "a1", "a2")
	old := w.ask("old", 1)
	w.relay.View.Update(func(s *view.Snapshot) {
		next := s.Config.Clone()
		next.Pools["lake"] = pool.Pool{Name: "lake", Model: "lotus", Layers: fakeLayers, Servers: []string{"a2"}}
		s.Config = next
	})
	for range 20 {
		_, e := w.relay.Do(context.Background(), old, &sink{})
		c.Assert(e == nil, quicktest.IsTrue, quicktest.Commentf("%v", e))
	}
	c.Assert(w.fakes[0].calls.Load(), quicktest.Equals, int64(0))
}

// A caller's connection breaks as a token is written to it.
func TestSinkFails(t *testing.T) {
	c := quicktest.New(t)
	w := newWorld(t, "a1", "a2")
	_, e := w.relay.Do(context.Background(), w.ask("q", 3), &sink{each: func(int) error { return errors.New("gone") }})
	c.Assert(e.Code, quicktest.Equals, fault.Cancelled)
	c.Assert(w.fakes[0].calls.Load()+w.fakes[1].calls.Load(), quicktest.Equals, int64(1))
}

// BenchmarkRelay measures the cost of a token over a chain of three servers,
// with its frame read over a loopback connection and checked.
func BenchmarkRelay(b *testing.B) {
	const max = 1000
	w := newWorld(b, "a1", "a2", "a3")
	w.layer(0, 1, 2)
	ask := w.ask("q", max)
	wire := &engine.Request{RequestID: ask.ID, Attempt: 1, Prompt: "q"}
	for i, name := range w.pool.Servers {
		wire.Chain = append(wire.Chain, engine.Stage{Server: name, First: i, End: i + 1})
	}
	all := lines(wire, max)
	w.fakes[0].play(func(r *reply, _ *engine.Request) bool {
		for _, line := range all {
			_, _ = r.Write(line)
		}
		return true
	})
	b.ReportAllocs()
	for b.Loop() {
		if _, e := w.relay.Do(context.Background(), ask, discard{}); e != nil {
			b.Fatal(e)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/max, "ns/token")
}

// discard is a caller that costs nothing.
type discard struct{}

func (discard) Token(int, string) error { return nil }
