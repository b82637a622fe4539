package engine

import (
	"context"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// Tokens that arrive during a step share the next one, up to the capacity; the rest
// wait for another step.
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
	var wg sync.WaitGroup
	run := func() { _, _ = b.run(context.Background(), 2, &batchItem{}, step) }
	wg.Go(run)
	<-started
	for range 3 {
		wg.Go(run)
	}
	for b.queued() < 3 {
		runtime.Gosched()
	}
	close(release)
	wg.Wait()
	c.Assert(steps, quicktest.Equals, 3)
	c.Assert(b.queued(), quicktest.Equals, 0)
}

// Guards against running a token whose client disconnected while the token was
// queued: abandoned requests would slow down the others.
func TestBatchOmitsCanceledItems(t *testing.T) {
	c := quicktest.New(t)
	b := &batch{running: true}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := b.run(ctx, 2, &batchItem{}, nil)
	c.Assert(err, quicktest.ErrorIs, context.Canceled)
	c.Assert(b.dequeue(2), quicktest.HasLen, 0)
}

func TestParseLinks(t *testing.T) {
	c := quicktest.New(t)
	got, err := ParseLinks("b1=20ms,b2=cut")
	c.Assert(err, quicktest.IsNil)
	c.Assert(got, quicktest.DeepEquals, map[string]time.Duration{"b1": 20 * time.Millisecond, "b2": linkDownDelay})
	for _, text := range []string{"b1", "b1=soon", "b1=-1s"} {
		_, err := ParseLinks(text)
		c.Check(err, quicktest.IsNotNil, quicktest.Commentf(text))
	}
}

// Guards against a load report without its age: a router that took an old report
// for a current one would send all requests to the server that was idle then.
func TestReportStatesItsAge(t *testing.T) {
	c := quicktest.New(t)
	history := &reportHistory{}
	start := time.Unix(100, 0)
	for i := range 5 {
		at := start.Add(time.Duration(i) * time.Second)
		report := timedStatus{at: at}
		report.status.Waiting = i
		history.add(report, 2*time.Second)
	}
	got, ok := history.oldest(start.Add(4 * time.Second))
	c.Assert(ok, quicktest.IsTrue)
	c.Assert(got.Waiting, quicktest.Equals, 2)
	c.Assert(got.AgeMs, quicktest.Equals, int64(2000))
}

func TestHigherPriorityGoesFirst(t *testing.T) {
	c := quicktest.New(t)
	b := &batch{}
	var items []*batchItem
	for _, p := range []int{0, 0, 1, 0, 1} {
		items = append(items, &batchItem{priority: p})
		b.enqueue(items[len(items)-1])
	}
	c.Assert(b.queue, quicktest.HasLen, 5)
	for i, want := range []int{2, 4, 0, 1, 3} {
		c.Assert(b.queue[i] == items[want], quicktest.IsTrue)
	}
}
