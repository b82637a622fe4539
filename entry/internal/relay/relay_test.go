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
	"fuchsiashelf.dev/parts/wait"
)

// A server fails at any token: it closes the stream, reports a failure, ends the
// response too early, or skips a token. The caller still gets every token exactly
// once.
func TestResumeAtEachToken(t *testing.T) {
	const total = 6
	ends := map[string]func(r *frameWriter){
		"closed":  func(*frameWriter) {},
		"failure": func(r *frameWriter) { r.frame(engine.Frame{Fail: &engine.Failure{Server: r.req.Chain[0].Server}}) },
		"early":   func(r *frameWriter) { r.frame(engine.Frame{End: true, Count: total}) },
		"skipped": func(r *frameWriter) { r.token(total) },
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			for index := range total {
				cl := newCluster(t, "a1", "a2")
				for _, f := range cl.servers {
					f.setScript(func(r *frameWriter, req *engine.Request) bool {
						if req.Attempt > 1 {
							return false
						}
						for i := range index {
							r.token(i)
						}
						end(r)
						return true
					})
				}
				got := &recordingSink{}
				count, e := cl.forwarder.Do(context.Background(), cl.request("q", total), got)
				c.Assert(e == nil, quicktest.IsTrue, quicktest.Commentf("%v", e))
				c.Assert(count, quicktest.Equals, total)
				c.Assert(got.tokens, quicktest.DeepEquals, wantTokens("q", total))
				c.Assert(cl.servers[0].calls.Load(), quicktest.Equals, int64(1), quicktest.Commentf("the failed server is avoided"))
			}
		})
	}
}

// Two servers fail one after the other during the same response, the second
// possibly before its first token.
func TestTwoFailures(t *testing.T) {
	c := quicktest.New(t)
	const total = 4
	for first := range total {
		for second := first; second < total; second++ {
			cl := newCluster(t, "a1", "a2", "a3")
			ends := []int{first, second}
			for _, f := range cl.servers {
				f.setScript(func(r *frameWriter, req *engine.Request) bool {
					if req.Attempt > len(ends) {
						return false
					}
					for i := len(req.Sent); i < ends[req.Attempt-1]; i++ {
						r.token(i)
					}
					return true
				})
			}
			got := &recordingSink{}
			_, e := cl.forwarder.Do(context.Background(), cl.request("q", total), got)
			c.Assert(e == nil, quicktest.IsTrue, quicktest.Commentf("%v", e))
			c.Assert(got.tokens, quicktest.DeepEquals, wantTokens("q", total))
		}
	}
}

// A server freezes during a response: its connections stay open, and it answers
// no probes. Another server completes the response, and the attempt on the frozen
// one is cancelled.
func TestFrozenServerIsReplaced(t *testing.T) {
	c := quicktest.New(t)
	cl := newCluster(t, "a1", "a2")
	for _, f := range cl.servers {
		f.setScript(func(r *frameWriter, req *engine.Request) bool {
			if req.Attempt > 1 {
				return false
			}
			r.token(0)
			r.token(1)
			f.frozen.Store(true)
			<-r.ctx.Done()
			return true
		})
	}
	got := &recordingSink{}
	_, e := cl.forwarder.Do(context.Background(), cl.request("q", 5), got)
	c.Assert(e == nil, quicktest.IsTrue, quicktest.Commentf("%v", e))
	c.Assert(got.tokens, quicktest.DeepEquals, wantTokens("q", 5))
	for _, f := range cl.servers {
		if !f.frozen.Load() {
			continue
		}
		c.Assert(cl.forwarder.View.Load().SuspectedServers[f.name].IsZero(), quicktest.IsFalse)
		waitFor(func() bool { return f.cancelled.Load() == 1 })
	}
}

// The servers of the only chain are alive, but slow to answer probes. Another attempt
// would make them begin anew, and lose what they have computed.
func TestOnlyChainIsSlow(t *testing.T) {
	c := quicktest.New(t)
	cl := newCluster(t, "a1")
	f := cl.servers[0]
	f.statusDelay.Store(int64(2 * retry.ProbeTimeout))
	f.setScript(func(r *frameWriter, req *engine.Request) bool {
		wait.For(r.ctx, 6*retry.ProbeTimeout)
		return false
	})
	got := &recordingSink{}
	_, e := cl.forwarder.Do(context.Background(), cl.request("q", 5), got)
	c.Assert(e == nil, quicktest.IsTrue, quicktest.Commentf("%v", e))
	c.Assert(got.tokens, quicktest.DeepEquals, wantTokens("q", 5))
	c.Assert(f.calls.Load(), quicktest.Equals, int64(1))
}

// The servers of the only chain never answer. The caller hears after as long as it
// would take with a new attempt for each silence, and not only at its deadline.
func TestOnlyChainIsFrozen(t *testing.T) {
	c := quicktest.New(t)
	cl := newCluster(t, "a1")
	f := cl.servers[0]
	f.frozen.Store(true)
	f.setScript(func(r *frameWriter, _ *engine.Request) bool {
		<-r.ctx.Done()
		return true
	})
	_, e := cl.forwarder.Do(context.Background(), cl.request("q", 5), &recordingSink{})
	c.Assert(e.Code, quicktest.Equals, fault.ServerFailed)
	c.Assert(e.Verdict, quicktest.Equals, fault.MayHaveRun)
	c.Assert(f.calls.Load(), quicktest.Equals, int64(1))
	c.Assert(cl.forwarder.View.Load().SuspectedServers["a1"].IsZero(), quicktest.IsFalse)
}

// waitFor waits until a condition holds. The test's timeout ends a wait for one
// that never does.
func waitFor(condition func() bool) {
	for !condition() {
		tick := time.NewTimer(time.Millisecond)
		<-tick.C
	}
}

// All links of a server are down, but the server answers probes, and all its
// streams fall silent at once. A request that avoided only the link it used would
// pick the same server again over another one.
func TestServerWithoutLinks(t *testing.T) {
	c := quicktest.New(t)
	cl := newCluster(t, "a1", "a2", "b1", "b2", "b3")
	cl.splitLayers(0, 0, 1, 1, 1)
	failSilently := func() *attempt {
		d := &attempt{delivery: &delivery{Forwarder: cl.forwarder, req: cl.request("q", 5), pool: cl.forwarder.stateOf("lake")}}
		for len(d.stages) == 0 || d.stages[0].Server != "a1" {
			c.Assert(d.pickChain(cl.forwarder.View.Load(), time.Now()) == nil, quicktest.IsTrue)
		}
		d.suspectLinks()
		return d
	}
	// The request avoids all servers of the chain.
	d := failSilently()
	chain := serverNames(d.stages)
	for range 100 {
		c.Assert(d.pickChain(cl.forwarder.View.Load(), time.Now()) == nil, quicktest.IsTrue)
		c.Assert(d.stages[0].Server, quicktest.Equals, "a2")
		c.Assert(d.stages[1].Server, quicktest.Not(quicktest.Equals), chain[1])
	}
	// A token over another chain resets the count of the server at the other end
	// of the link.
	c.Assert(cl.forwarder.View.Load().SuspectedServers, quicktest.HasLen, 0)
	resetSilences := func() {
		for _, name := range []string{"b1", "b2", "b3"} {
			cl.forwarder.View.Load().Meters[name].Observe(1, time.Millisecond, 0)
		}
	}
	resetSilences()
	d = failSilently()
	resetSilences()
	suspects := cl.forwarder.View.Load().SuspectedServers
	c.Assert(suspects, quicktest.HasLen, 1)
	c.Assert(suspects["a1"].IsZero(), quicktest.IsFalse)
	// A hundred streams that fail together with the server count as one failure.
	for range 100 {
		d.suspectServers("a1")
	}
	c.Assert(cl.forwarder.View.Load().Meters["a1"].Failures.Load(), quicktest.Equals, int64(1))
}

// A caller disconnects during its response. The attempt is cancelled and not
// retried: otherwise connected callers would wait for work that nobody reads.
func TestCallerDisconnects(t *testing.T) {
	c := quicktest.New(t)
	cl := newCluster(t, "a1")
	cl.servers[0].setScript(func(r *frameWriter, _ *engine.Request) bool {
		r.token(0)
		<-r.ctx.Done()
		return true
	})
	ctx, cancel := context.WithCancel(context.Background())
	got := &recordingSink{onToken: func(int) error { cancel(); return nil }}
	_, e := cl.forwarder.Do(ctx, cl.request("q", 5), got)
	c.Assert(e.Code, quicktest.Equals, fault.Cancelled)
	c.Assert(e.Verdict, quicktest.Equals, fault.MayHaveRun)
	waitFor(func() bool { return cl.servers[0].cancelled.Load() == 1 })
	c.Assert(cl.servers[0].calls.Load(), quicktest.Equals, int64(1))
	c.Assert(cl.forwarder.View.Load().Meters["a1"].InFlight.Load(), quicktest.Equals, int64(0))
}

// A caller reads slowly. The pause between tokens comes from the caller and not
// from the chain; abandoning the healthy chain would do its work twice.
func TestSlowCallerIsNotChainSilence(t *testing.T) {
	c := quicktest.New(t)
	cl := newCluster(t, "a1", "a2")
	release := make(chan struct{})
	for _, f := range cl.servers {
		f.setScript(func(r *frameWriter, req *engine.Request) bool {
			for i := len(req.Sent); i < 6; i++ {
				if i == 4 {
					<-release
				}
				r.token(i)
			}
			r.frame(engine.Frame{End: true, Count: 6})
			return true
		})
	}
	ticks := 0
	got := &recordingSink{onToken: func(index int) error {
		if index == 3 {
			<-release
		}
		return nil
	}}
	go func() {
		// Longer than every timeout of a chain with gaps below a millisecond.
		tick := time.NewTicker(retry.ProbeTimeout)
		defer tick.Stop()
		for ; ticks < 5; ticks++ {
			<-tick.C
		}
		close(release)
	}()
	_, e := cl.forwarder.Do(context.Background(), cl.request("q", 6), got)
	c.Assert(e == nil, quicktest.IsTrue, quicktest.Commentf("%v", e))
	c.Assert(cl.servers[0].calls.Load()+cl.servers[1].calls.Load(), quicktest.Equals, int64(1))
}

// Every server refuses or fails. The caller gets the verdict whether the request
// may have run, and when to retry.
func TestAllServersFail(t *testing.T) {
	refuse := func(reason string) func(*frameWriter, *engine.Request) bool {
		return func(r *frameWriter, _ *engine.Request) bool {
			r.Header().Set(engine.NotRunHeader, reason)
			r.WriteHeader(503)
			return true
		}
	}
	for _, test := range []struct {
		name    string
		script  func(*frameWriter, *engine.Request) bool
		code    fault.Code
		verdict fault.Verdict
	}{
		{"leaving", refuse(engine.Leaving), fault.NoCover, fault.NotRun},
		{"full", refuse("full"), fault.ServerRefused, fault.NotRun},
		{"broken", func(r *frameWriter, _ *engine.Request) bool { r.WriteHeader(500); return true }, fault.ServerFailed, fault.MayHaveRun},
		{"later stage refuses", func(r *frameWriter, _ *engine.Request) bool {
			r.frame(engine.Frame{Fail: &engine.Failure{Server: "a1", Message: "full", Refused: true}})
			return true
		}, fault.ServerRefused, fault.MayHaveRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			cl := newCluster(t, "a1", "a2")
			for _, f := range cl.servers {
				f.setScript(test.script)
			}
			_, e := cl.forwarder.Do(context.Background(), cl.request("q", 3), &recordingSink{})
			c.Assert(e.Code, quicktest.Equals, test.code)
			c.Assert(e.Verdict, quicktest.Equals, test.verdict)
			c.Assert(e.RetryAfter, quicktest.Equals, retry.RetryAfter)
			calls := cl.servers[0].calls.Load() + cl.servers[1].calls.Load()
			c.Assert(calls <= retry.MaxAttempts, quicktest.IsTrue)
		})
	}
}

// The process of a server is gone, and connections to it are refused. Nothing was
// sent to it, so the verdict is not-run.
func TestConnectionRefused(t *testing.T) {
	c := quicktest.New(t)
	cl := newCluster(t, "a1")
	cl.servers[0].Close()
	_, e := cl.forwarder.Do(context.Background(), cl.request("q", 3), &recordingSink{})
	c.Assert(e.Code, quicktest.Equals, fault.ServerFailed)
	c.Assert(e.Verdict, quicktest.Equals, fault.NotRun)
}

// One server is dead, and the only other one is suspected too, for example after
// a slow answer to a poll. The request must not pick the dead one on every
// attempt.
func TestDeadServerAmongSuspects(t *testing.T) {
	c := quicktest.New(t)
	for dead := range 2 {
		cl := newCluster(t, "a1", "a2")
		cl.servers[dead].Close()
		cl.forwarder.View.Update(func(s *view.Snapshot) {
			now := time.Now()
			s.Suspect("a1", now.Add(time.Minute), now)
			s.Suspect("a2", now.Add(time.Minute), now)
		})
		got := &recordingSink{}
		_, e := cl.forwarder.Do(context.Background(), cl.request("q", 3), got)
		c.Assert(e == nil, quicktest.IsTrue, quicktest.Commentf("%v", e))
		c.Assert(got.tokens, quicktest.DeepEquals, wantTokens("q", 3))
	}
}

// When all servers of a pool fail, retries must not multiply the load by the
// number of attempts.
func TestRetryBudgetExhausted(t *testing.T) {
	c := quicktest.New(t)
	cl := newCluster(t, "a1", "a2")
	for _, f := range cl.servers {
		f.setScript(func(r *frameWriter, _ *engine.Request) bool { r.WriteHeader(500); return true })
	}
	const requests = 100
	for range requests {
		_, e := cl.forwarder.Do(context.Background(), cl.request("q", 3), &recordingSink{})
		c.Assert(e, quicktest.IsNotNil)
	}
	calls := cl.servers[0].calls.Load() + cl.servers[1].calls.Load()
	c.Assert(calls, quicktest.Equals, int64(requests+64))
}

// A request holds the pool of an older configuration. Its table must not be
// cached, or later requests would go to a server that operators have removed.
func TestStalePoolIsNotCached(t *testing.T) {
	c := quicktest.New(t)
	cl := newCluster(t, "a1", "a2")
	old := cl.request("old", 1)
	cl.forwarder.View.Update(func(s *view.Snapshot) {
		next := s.Config.Clone()
		next.Pools["lake"] = pool.Pool{Name: "lake", Model: "lotus", Layers: fakeLayers, Servers: []string{"a2"}}
		s.Config = next
	})
	for range 20 {
		_, e := cl.forwarder.Do(context.Background(), old, &recordingSink{})
		c.Assert(e == nil, quicktest.IsTrue, quicktest.Commentf("%v", e))
	}
	c.Assert(cl.servers[0].calls.Load(), quicktest.Equals, int64(0))
}

// The caller's connection breaks while a token is written to it. The request is
// cancelled and not retried.
func TestSinkFails(t *testing.T) {
	c := quicktest.New(t)
	cl := newCluster(t, "a1", "a2")
	_, e := cl.forwarder.Do(context.Background(), cl.request("q", 3), &recordingSink{onToken: func(int) error { return errors.New("gone") }})
	c.Assert(e.Code, quicktest.Equals, fault.Cancelled)
	c.Assert(cl.servers[0].calls.Load()+cl.servers[1].calls.Load(), quicktest.Equals, int64(1))
}

// BenchmarkRelay measures the cost per token over a chain of three servers,
// including reading its frame over a loopback connection and validating it.
func BenchmarkRelay(b *testing.B) {
	const total = 1000
	cl := newCluster(b, "a1", "a2", "a3")
	cl.splitLayers(0, 1, 2)
	req := cl.request("q", total)
	wire := &engine.Request{RequestID: req.ID, Attempt: 1, Prompt: "q"}
	for i, name := range cl.pool.Servers {
		wire.Chain = append(wire.Chain, engine.Stage{Server: name, First: i, End: i + 1})
	}
	all := encodedFrames(wire, total)
	cl.servers[0].setScript(func(r *frameWriter, _ *engine.Request) bool {
		for _, line := range all {
			_, _ = r.Write(line)
		}
		return true
	})
	b.ReportAllocs()
	for b.Loop() {
		if _, e := cl.forwarder.Do(context.Background(), req, discardSink{}); e != nil {
			b.Fatal(e)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/total, "ns/token")
}

// discardSink discards all tokens.
type discardSink struct{}

func (discardSink) Token(int, string) error { return nil }
