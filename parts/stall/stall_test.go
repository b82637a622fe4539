package stall_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/stall"
)

// tick makes the clock tick for the given time.
func tick(clock *stall.Clock, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(stall.TickInterval)
		clock.Tick(time.Now())
	}
}

// Guards against a clock that differs from real time on a host without stalls, which
// would delay the detection of failures.
func TestClockAgreesWithRealTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		clock := &stall.Clock{}
		clock.Start()
		start := clock.Mark()
		tick(clock, 10*time.Second)
		c.Assert(clock.Since(start), quicktest.Equals, time.Since(start.At))
		c.Assert(clock.Delay(start), quicktest.Equals, time.Duration(0))
	})
}

func TestNilClockAgreesWithRealTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		var clock *stall.Clock
		start := clock.Mark()
		time.Sleep(time.Second)
		c.Assert(clock.Since(start), quicktest.Equals, time.Second)
	})
}

// Guards against taking everyone for silent after this process was stopped for seconds.
func TestStallDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		var stalls []time.Duration
		clock := &stall.Clock{OnStall: func(d time.Duration) { stalls = append(stalls, d) }}
		clock.Start()
		start := clock.Mark()
		tick(clock, time.Second)
		time.Sleep(5 * time.Second)
		tick(clock, time.Second)
		counted := time.Since(start.At) - 5*time.Second
		c.Assert(clock.Since(start) <= counted+stall.MaxGap, quicktest.IsTrue, quicktest.Commentf("%v", clock.Since(start)))
		c.Assert(clock.Now().Sub(start.At), quicktest.Equals, clock.Since(start))
		c.Assert(clock.Since(start) >= counted, quicktest.IsTrue, quicktest.Commentf("%v", clock.Since(start)))
		c.Assert(clock.Delay(start) >= 5*time.Second-stall.MaxGap, quicktest.IsTrue)
		c.Assert(stalls, quicktest.HasLen, 1)
	})
}

// Guards against a clock that goes back, for which no timeout would end.
func TestClockNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		clock := &stall.Clock{}
		clock.Start()
		last := clock.Mark()
		for i := range 200 {
			time.Sleep(time.Duration(i) * time.Millisecond)
			before := clock.Mark()
			clock.Tick(time.Now())
			after := clock.Mark()
			c.Assert(last.Ran <= before.Ran && before.Ran <= after.Ran, quicktest.IsTrue)
			last = after
		}
	})
}

// Guards against failures that are noticed late: a timeout takes its time on a host
// without stalls.
func TestTimeoutWithoutStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		clock := &stall.Clock{}
		clock.Start()
		var ticks sync.WaitGroup
		defer ticks.Wait()
		ticks.Go(func() { tick(clock, time.Second) })
		start := time.Now()
		ctx, cancel := clock.WithTimeout(context.Background(), 300*time.Millisecond, nil)
		defer cancel()
		<-ctx.Done()
		c.Assert(time.Since(start), quicktest.Equals, 300*time.Millisecond)
		c.Assert(context.Cause(ctx), quicktest.Equals, context.DeadlineExceeded)
	})
}

// Guards against ending a wait because this process was stopped.
func TestTimeoutIsExtendedByStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		clock := &stall.Clock{}
		clock.Start()
		var ticks sync.WaitGroup
		defer ticks.Wait()
		ticks.Go(func() {
			tick(clock, 100*time.Millisecond)
			time.Sleep(5 * time.Second)
			tick(clock, time.Second)
		})
		errLate := errors.New("late")
		start := time.Now()
		ctx, cancel := clock.WithTimeout(context.Background(), 300*time.Millisecond, errLate)
		defer cancel()
		<-ctx.Done()
		took := time.Since(start)
		c.Assert(took > 5200*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%v", took))
		c.Assert(took <= 5320*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%v", took))
		c.Assert(context.Cause(ctx), quicktest.Equals, errLate)
	})
}

// Guards against counting the time that this process took to connect and to write.
func TestRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		clock := &stall.Clock{}
		start := time.Now()
		ctx, cancel := clock.WithIdleTimeout(context.Background(), time.Second, nil)
		defer cancel()
		time.Sleep(900 * time.Millisecond)
		stall.Restart(ctx)
		<-ctx.Done()
		c.Assert(time.Since(start), quicktest.Equals, 1900*time.Millisecond)
	})
}

func TestStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		clock := &stall.Clock{}
		ctx, cancel := clock.WithTimeout(context.Background(), time.Second, nil)
		defer cancel()
		stall.Stop(ctx)
		time.Sleep(time.Minute)
		c.Assert(ctx.Err(), quicktest.IsNil)
	})
}

func TestCancelledTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		clock := &stall.Clock{}
		ctx, cancel := clock.WithTimeout(context.Background(), time.Hour, nil)
		cancel()
		<-ctx.Done()
		c.Assert(context.Cause(ctx), quicktest.Equals, context.Canceled)
	})
}

// Guards against waits that never end: barriers pass while the clock runs, also many at
// once, and when it stops.
func TestBarriersPass(t *testing.T) {
	c := quicktest.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	clock := &stall.Clock{Done: make(chan struct{})}
	result := make(chan error, 1)
	go func() { result <- clock.Run(ctx) }()
	const count = 100
	passed := make(chan struct{}, count)
	pass := func() { passed <- struct{}{} }
	for range count {
		clock.AfterReads(pass)
	}
	for range count {
		<-passed
	}
	timed, end := clock.WithTimeout(context.Background(), time.Millisecond, nil)
	defer end()
	<-timed.Done()
	for range count {
		clock.AfterReads(pass)
	}
	cancel()
	for range count {
		<-passed
	}
	<-clock.Done
	c.Assert(<-result, quicktest.IsNil)
}
