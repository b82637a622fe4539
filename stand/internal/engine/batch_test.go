package engine

import (
	"context"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// Tokens that come while a step runs share the next one; more than the
// capacity wait for another.
func TestBatchSharesSteps(t *testing.T) {
	c := quicktest.New(t)
	b := &batch{}
	started, release := make(chan struct{}), make(chan struct{})
	steps := 0
	step := func() time.Duration {
		steps++
		if steps == 1 {
			close(started)
			<-release
		}
		return 0
	}
	var all sync.WaitGroup
	run := func() { _, _ = b.run(context.Background(), 2, &turn{}, step) }
	all.Go(run)
	<-started
	for range 3 {
		all.Go(run)
	}
	for b.waiting() < 3 {
		runtime.Gosched()
	}
	close(release)
	all.Wait()
	c.Assert(steps, quicktest.Equals, 3)
	c.Assert(b.waiting(), quicktest.Equals, 0)
}

// A reader leaves while its token waits for a step. The step must not be
// spent on it, or callers who give up would slow those who stay.
func TestBatchLeavesOutTheGone(t *testing.T) {
	c := quicktest.New(t)
	b := &batch{running: true}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := b.run(ctx, 2, &turn{}, nil)
	c.Assert(err, quicktest.ErrorIs, context.Canceled)
	c.Assert(b.next(2), quicktest.HasLen, 0)
}

func TestParseLinks(t *testing.T) {
	c := quicktest.New(t)
	got, err := ParseLinks("b1=20ms,b2=cut")
	c.Assert(err, quicktest.IsNil)
	c.Assert(got, quicktest.DeepEquals, map[string]time.Duration{"b1": 20 * time.Millisecond, "b2": cut})
	for _, bad := range []string{"b1", "b1=soon", "b1=-1s"} {
		_, err := ParseLinks(bad)
		c.Check(err, quicktest.IsNotNil, quicktest.Commentf(bad))
	}
}

// Load reports lag: a caller gets what was true a while ago, and how old it
// is. A router that took it for the present would send all its work to the
// server that was idle then.
func TestReportLags(t *testing.T) {
	c := quicktest.New(t)
	r := &report{}
	start := time.Unix(100, 0)
	for i := range 5 {
		at := start.Add(time.Duration(i) * time.Second)
		d := dated{at: at}
		d.status.Waiting = i
		r.add(d, 2*time.Second)
	}
	got, ok := r.oldest(start.Add(4 * time.Second))
	c.Assert(ok, quicktest.IsTrue)
	c.Assert(got.Waiting, quicktest.Equals, 2)
	c.Assert(got.AgeMs, quicktest.Equals, int64(2000))
}

func TestHigherPriorityGoesFirst(t *testing.T) {
	c := quicktest.New(t)
	b := &batch{}
	var turns []*turn
	for _, p := range []int{0, 0, 1, 0, 1} {
		turns = append(turns, &turn{priority: p})
		b.join(turns[len(turns)-1])
	}
	c.Assert(b.queue, quicktest.HasLen, 5)
	for i, want := range []int{2, 4, 0, 1, 3} {
		c.Assert(b.queue[i] == turns[want], quicktest.IsTrue)
	}
}
