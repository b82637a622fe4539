package relay

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/dialer"
	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/pool"
	"fuchsiashelf.dev/parts/retry"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
	"fuchsiashelf.dev/parts/wait"
)

const (
	// pauseLength is how long the servers of these tests are silent.
	pauseLength = 1200 * time.Millisecond
	// pausedAt is the number of tokens that each caller has when they fall silent.
	pausedAt = 5
	// pausedTotal is the length of the answers, and pausedGap the time between two tokens.
	pausedTotal = 20
	pausedGap   = 15 * time.Millisecond
	// foundAfter is the least time after which a silence is found: that of a late token, and of a
	// probe that is not answered.
	foundAfter = 100*time.Millisecond + retry.ProbeTimeout
)

// silence is a case of servers that fall silent in the middle of answers.
type silence struct {
	name string
	// servers is the number of servers, of which the first ones fall silent.
	servers, silent int
	streams         int
	// refuse makes the others refuse new requests.
	refuse bool
	// during is called while they are silent.
	during func(cl *cluster)
	// maxAttempts bounds the attempts of all requests together, without those beside a
	// silent one that the pause alone does not explain.
	maxAttempts int64
}

// setConfig replaces the pools of the configuration.
func (cl *cluster) setConfig(pools ...pool.Pool) {
	cl.forwarder.View.Update(func(s *view.Snapshot) {
		next := &conf.Config{Pools: map[string]pool.Pool{}}
		for _, p := range pools {
			next.Pools[p.Name] = p
		}
		s.Config = next
	})
}

// slowly makes the servers take a while for each token.
func (cl *cluster) slowly() {
	for _, f := range cl.servers {
		f.setScript(func(r *frameWriter, req *engine.Request) bool {
			for i := len(req.Sent); i < req.Max && r.ctx.Err() == nil; i++ {
				r.token(i)
				wait.For(r.ctx, pausedGap)
			}
			r.frame(engine.Frame{End: true, Count: req.Max})
			return true
		})
	}
}

// Answers in progress were ended by the entry host while their servers were paused.
func TestAnswersOutlastSilence(t *testing.T) {
	stop := func(names ...string) func(cl *cluster) {
		return func(cl *cluster) {
			cl.forwarder.View.Update(func(s *view.Snapshot) {
				for _, name := range names {
					s.Cordon(view.HostLeaving, name)
				}
			})
		}
	}
	for _, test := range []silence{
		{name: "one, the other refuses", servers: 2, silent: 1, streams: 8, refuse: true, maxAttempts: 8 * 6},
		{name: "one, the other takes over", servers: 2, silent: 1, streams: 8, maxAttempts: 8 * 2},
		{name: "most, the last refuses", servers: 4, silent: 3, streams: 24, refuse: true, maxAttempts: 24 * 6},
		{name: "all", servers: 3, silent: 3, streams: 24, maxAttempts: 24},
		{name: "all, more than the budget pays", servers: 3, silent: 3, streams: 150, maxAttempts: 150},
		{name: "one, more than the budget pays", servers: 2, silent: 1, streams: 200, refuse: true, maxAttempts: 200 * 6},
		{name: "all, a stop is planned", servers: 2, silent: 2, streams: 8, maxAttempts: 8, during: stop("a1", "a2")},
		{name: "the only one, a stop is planned", servers: 1, silent: 1, streams: 8, maxAttempts: 8, during: stop("a1")},
		{name: "all, the pool is given other servers", servers: 3, silent: 2, streams: 8, refuse: true, maxAttempts: 8 * 6, during: func(cl *cluster) {
			cl.setConfig(pool.Pool{Name: "lake", Model: "lotus", Layers: fakeLayers, Servers: []string{"a3"}})
		}},
		{name: "all, the pool is deleted", servers: 2, silent: 2, streams: 8, maxAttempts: 8, during: func(cl *cluster) { cl.setConfig() }},
	} {
		t.Run(test.name, func(t *testing.T) { test.run(quicktest.New(t)) })
	}
}

// run sends the requests, and pauses servers once each caller has some tokens.
func (test *silence) run(c *quicktest.C) {
	var names []string
	for i := range test.servers {
		names = append(names, fmt.Sprintf("a%d", i+1))
	}
	cl := newCluster(c, names...)
	cl.forwarder.Trace = &trace.Recorder{Process: "e1"}
	cl.slowly()
	var reached sync.WaitGroup
	reached.Add(test.streams)
	var requests sync.WaitGroup
	var lost atomic.Int64
	for i := range test.streams {
		requests.Go(func() {
			prompt := fmt.Sprintf("q%d", i)
			got := &recordingSink{onToken: func(index int) error {
				if index == pausedAt {
					reached.Done()
				}
				return nil
			}}
			_, e := cl.forwarder.Do(context.Background(), cl.request(prompt, pausedTotal), got)
			if e != nil {
				c.Logf("%s: %v after %d tokens", prompt, e, len(got.tokens))
				lost.Add(1)
				return
			}
			c.Check(got.tokens, quicktest.DeepEquals, wantTokens(prompt, pausedTotal))
		})
	}
	reached.Wait()
	pausedFrom := time.Now()
	var resumes []func()
	for i, f := range cl.servers {
		if i < test.silent {
			resumes = append(resumes, f.pause())
		} else {
			f.refusing.Store(test.refuse)
		}
	}
	if test.during != nil {
		test.during(cl)
	}
	wait.For(context.Background(), pauseLength)
	for _, resume := range resumes {
		resume()
	}
	requests.Wait()
	c.Assert(lost.Load(), quicktest.Equals, int64(0))
	attempts := int64(0)
	for _, f := range cl.servers {
		attempts += f.calls.Load()
	}
	for i := range test.streams {
		for _, event := range cl.forwarder.Trace.Find(fmt.Sprintf("r-q%d", i)) {
			early := time.Unix(0, int64(event.Clock)).Before(pausedFrom.Add(foundAfter))
			if early && strings.Contains(event.Message, " begins beside ") {
				attempts--
			}
		}
	}
	c.Assert(attempts <= test.maxAttempts, quicktest.IsTrue, quicktest.Commentf("%d attempts", attempts))
}

// An answer in progress on a silent server was ended long before the caller's deadline.
func TestSilentAnswerLastsUntilDeadline(t *testing.T) {
	c := quicktest.New(t)
	cl := newCluster(t, "a1")
	cl.slowly()
	var resume func()
	got := &recordingSink{onToken: func(index int) error {
		if index == pausedAt {
			resume = cl.servers[0].pause()
		}
		return nil
	}}
	req := cl.request("q", pausedTotal)
	req.Deadline = time.Now().Add(4 * time.Second)
	_, e := cl.forwarder.Do(context.Background(), req, got)
	resume()
	c.Assert(e.Code, quicktest.Equals, fault.Deadline)
	c.Assert(e.Verdict, quicktest.Equals, fault.MayHaveRun)
}

// Callers of a silent server waited until their deadline although its process or its machine was gone.
func TestSilentAnswerEndsWithItsServer(t *testing.T) {
	var gone atomic.Bool
	dial := func(failure error) func(context.Context, string, string) (net.Conn, error) {
		return func(ctx context.Context, network, address string) (net.Conn, error) {
			if gone.Load() {
				return nil, failure
			}
			return (&net.Dialer{}).DialContext(ctx, network, address)
		}
	}
	for want, change := range map[string]func(f *Forwarder){
		"exited": func(f *Forwarder) {
			f.Engine = &engine.Client{HTTP: engine.NewHTTP(dial(&dialer.Error{Exited: true}))}
		},
		"unreachable": func(f *Forwarder) { f.Dial = dial(context.DeadlineExceeded) },
	} {
		t.Run(want, func(t *testing.T) {
			c := quicktest.New(t)
			gone.Store(false)
			cl := newCluster(t, "a1")
			cl.slowly()
			change(cl.forwarder)
			var resume func()
			got := &recordingSink{onToken: func(index int) error {
				if index == pausedAt {
					resume = cl.servers[0].pause()
					gone.Store(true)
				}
				return nil
			}}
			_, e := cl.forwarder.Do(context.Background(), cl.request("q", pausedTotal), got)
			resume()
			c.Assert(EndCause(e), quicktest.Equals, want)
			c.Assert(got.tokens, quicktest.DeepEquals, wantTokens("q", pausedAt+1))
		})
	}
}

// From the timeline of an ended answer it could not be told who ended it, on what evidence.
func TestEndIsExplained(t *testing.T) {
	c := quicktest.New(t)
	cl := newCluster(t, "a1", "a2")
	cl.forwarder.Trace = &trace.Recorder{Process: "e1"}
	cl.slowly()
	var resume func()
	got := &recordingSink{onToken: func(index int) error {
		if index != pausedAt {
			return nil
		}
		for _, f := range cl.servers {
			if f.calls.Load() > 0 {
				resume = f.pause()
			} else {
				f.refusing.Store(true)
			}
		}
		return nil
	}}
	req := cl.request("q", pausedTotal)
	req.Deadline = time.Now().Add(2 * time.Second)
	_, e := cl.forwarder.Do(context.Background(), req, got)
	resume()
	c.Assert(EndCause(e), quicktest.Equals, "deadline")
	var events []string
	for _, event := range cl.forwarder.Trace.Find(req.ID) {
		events = append(events, event.Message)
	}
	all := strings.Join(events, "\n")
	for _, want := range []string{
		`attempt 1 on a[12] is silent for .*, no answer to probes from a[12]`,
		`attempt 2 on a[12] begins beside the silent ones`,
		`attempt failed: server-refused: full; attempt 1 on a[12] is kept`,
		`given up: deadline: .*; attempt 1 on a[12], no answer to probes from a[12]`,
	} {
		c.Check(all, quicktest.Matches, "(?s).*"+want+".*")
	}
}
