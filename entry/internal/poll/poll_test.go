package poll

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/panjf2000/ants/v2"
	"go.uber.org/goleak"

	"fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/view"
)

func newPoller(address string) *Poller {
	p := &Poller{
		View: view.New("e1", "a"), Engine: &engine.Client{HTTP: &http.Client{Transport: &http.Transport{}}},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Interval: time.Millisecond, MaxRate: 1000,
		Done: make(chan struct{}),
	}
	p.View.Update(func(s *view.Snapshot) {
		s.Hosts = map[string]host.Host{"a1": {Name: "a1", Role: host.Engine, Address: address}}
	})
	return p
}

// A server refuses a request because it is leaving, and a report from before the
// refusal still calls it live. If that report lifted the cordon, the server would
// get new work again.
func TestLateReportDoesNotUndoRefusal(t *testing.T) {
	c := quicktest.New(t)
	p := newPoller("")
	m := p.View.Load().Meters["a1"]
	refusedAt := time.Unix(100, 0)
	m.RefusedAt.Store(refusedAt.UnixNano())
	p.View.Update(func(s *view.Snapshot) { s.Cordon(view.Refusing, "a1") })
	live := &engine.Status{State: host.Live, AgeMs: 2000}
	p.applyStatus("a1", m, live, refusedAt.Add(time.Second))
	c.Assert(p.View.Load().Cordoned["a1"], quicktest.Equals, view.Refusing)
	p.applyStatus("a1", m, live, refusedAt.Add(3*time.Second))
	c.Assert(p.View.Load().Cordoned, quicktest.HasLen, 0)
	p.applyStatus("a1", m, &engine.Status{State: host.Leaving}, refusedAt.Add(4*time.Second))
	c.Assert(p.View.Load().Cordoned["a1"], quicktest.Equals, view.Refusing)
}

// A server that does not answer is avoided for longer with each failure, and the
// first token that it serves resets its failures.
func TestRepeatedFailuresExtendSuspicion(t *testing.T) {
	c := quicktest.New(t)
	p := newPoller("")
	m := p.View.Load().Meters["a1"]
	now := time.Unix(100, 0)
	p.recordFailure("a1", m, now)
	first := p.View.Load().SuspectedServers["a1"]
	c.Assert(first.After(now), quicktest.IsTrue)
	p.recordFailure("a1", m, now)
	c.Assert(p.View.Load().SuspectedServers["a1"].After(first), quicktest.IsTrue)
	m.Observe(now.UnixNano(), time.Millisecond, 0)
	c.Assert(m.Failures.Load(), quicktest.Equals, int64(0))
}

func TestRunPollsUntilCancelled(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	c := quicktest.New(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"name":"a1","state":"leaving","capacity":7,"tokenUs":900,"waiting":3}`)
	}))
	defer srv.Close()
	p := newPoller(srv.Listener.Addr().String())
	defer p.Engine.HTTP.CloseIdleConnections()
	workers, err := ants.NewPool(2)
	c.Assert(err, quicktest.IsNil)
	defer workers.Release()
	p.Workers = workers
	ctx, cancel := context.WithCancel(context.Background())
	go p.Run(ctx)
	for {
		changed := p.View.Changed()
		if p.View.Load().Cordoned["a1"] == view.Refusing {
			break
		}
		<-changed
	}
	cancel()
	<-p.Done
	m := p.View.Load().Meters["a1"]
	c.Assert(m.Capacity.Load(), quicktest.Equals, int64(7))
	c.Assert(m.Waiting.Load(), quicktest.Equals, int64(3))
	c.Assert(m.Step.Current(), quicktest.Equals, 900*time.Microsecond)
}
