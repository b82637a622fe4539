package queue_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/queue"
	"fuchsiashelf.dev/parts/fault"
)

// simulate runs ten seconds in which requests of one class arrive at one interval and capacity
// becomes free at another; what is not taken at once is lost. It returns how many requests were served,
// refused at once or timed out, and the longest wait of a served one.
func simulate(t *testing.T, arrivalInterval, capacityInterval time.Duration) (served, refused, timedOut int, longest time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		all := offer(t, newAdmission(), arrivalInterval, capacityInterval)
		served, refused, timedOut, longest = count(all)
		leaveAll(all)
	})
	return served, refused, timedOut, longest
}

// offer makes the requests of simulate, and returns them.
func offer(t *testing.T, a *queue.Admission, arrivalInterval, capacityInterval time.Duration) (all []*entered) {
	r := &room{}
	nextArrival, nextCapacity := time.Now(), time.Now()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); pass(time.Millisecond) {
		if now := time.Now(); !now.Before(nextArrival) {
			nextArrival = nextArrival.Add(arrivalInterval)
			q := request("team", 0)
			q.MaxWait = time.Second
			all = append(all, enter(t, a, q, r.find))
		}
		if now := time.Now(); !now.Before(nextCapacity) {
			nextCapacity = nextCapacity.Add(capacityInterval)
			r.free.Store(1)
		}
	}
	return all
}

// count counts requests by how they ended.
func count(all []*entered) (served, refused, timedOut int, longest time.Duration) {
	for _, e := range all {
		switch {
		case e.served():
			served++
			longest = max(longest, e.result.Load().took)
		case e.done() && e.result.Load().took == 0:
			refused++
		case e.done():
			timedOut++
		}
	}
	return served, refused, timedOut, longest
}

// Guards against unused capacity, and against long waits that end in a timeout, under overload:
// after the loss of a failure domain requests arrive one and a half times as fast as capacity
// becomes free. The excess requests are refused at once.
func TestOverload(t *testing.T) {
	served, refused, timedOut, longest := simulate(t, 33*time.Millisecond, 50*time.Millisecond)
	t.Logf("served %d, refused %d, timed out %d, longest wait %s", served, refused, timedOut, longest)
	qt.Assert(t, served >= 195, qt.IsTrue)
	qt.Assert(t, refused >= 70, qt.IsTrue)
	qt.Assert(t, timedOut <= 5, qt.IsTrue)
	qt.Assert(t, longest <= time.Second, qt.IsTrue)
}

// Guards against refusals while requests arrive more slowly than capacity becomes free.
func TestUnderload(t *testing.T) {
	_, refused, timedOut, _ := simulate(t, 60*time.Millisecond, 50*time.Millisecond)
	qt.Assert(t, refused+timedOut, qt.Equals, 0)
}

// Guards against a long queue that holds requests until they time out while no capacity becomes
// free at all.
func TestNoCapacity(t *testing.T) {
	served, refused, timedOut, _ := simulate(t, 33*time.Millisecond, time.Hour)
	t.Logf("served %d, refused %d, timed out %d", served, refused, timedOut)
	qt.Assert(t, timedOut <= 40, qt.IsTrue)
	qt.Assert(t, refused >= 260, qt.IsTrue)
}

// Guards against the same after an earlier overload, whose rate says nothing about now.
func TestNoCapacityAfterOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdmission()
		leaveAll(offer(t, a, 33*time.Millisecond, 50*time.Millisecond))
		pass(time.Minute)
		all := offer(t, a, 33*time.Millisecond, time.Hour)
		served, refused, timedOut, _ := count(all)
		t.Logf("served %d, refused %d, timed out %d", served, refused, timedOut)
		qt.Check(t, timedOut <= 60, qt.IsTrue)
		qt.Check(t, refused >= 240, qt.IsTrue)
		leaveAll(all)
	})
}

// Guards against refused requests of which each makes the waiters look for capacity once more,
// while all wait for a slow search.
func TestRefusedRequestsShareRound(t *testing.T) {
	a := newAdmission()
	var looks atomic.Int64
	proceed, searching := make(chan struct{}), make(chan struct{}, 1)
	var slow atomic.Bool
	find := func(float64) (bool, *fault.Error) {
		looks.Add(1)
		if slow.Load() {
			select {
			case searching <- struct{}{}:
			default:
			}
			<-proceed
		}
		return false, nil
	}
	ctx, leave := context.WithCancel(t.Context())
	var waiting, refused sync.WaitGroup
	for range 3 {
		waiting.Go(func() { a.Enter(ctx, request("team", 1), find) })
	}
	for a.Stats().Waiting < 3 {
		time.Sleep(time.Millisecond)
	}
	slow.Store(true)
	<-searching
	// Another round is due by now.
	time.Sleep(20 * time.Millisecond)
	const callers, headSize = 100, 3
	none := func(float64) (bool, *fault.Error) { return false, nil }
	for range callers {
		refused.Go(func() {
			_, e := a.Enter(t.Context(), request("team", 1), none)
			qt.Check(t, e, qt.IsNotNil)
		})
	}
	time.Sleep(50 * time.Millisecond)
	slow.Store(false)
	before, released := looks.Load(), time.Now()
	close(proceed)
	refused.Wait()
	// The requests may have a round each 10 ms, and so may the line each 20 ms.
	rounds := 4 + int64(time.Since(released)/(10*time.Millisecond)) + int64(time.Since(released)/(20*time.Millisecond))
	made := looks.Load() - before
	t.Logf("%d looks of %d waiters, in %s", made, headSize, time.Since(released))
	qt.Check(t, made <= headSize*rounds, qt.IsTrue)
	leave()
	waiting.Wait()
}

// Guards against an urgent request that waits behind others, and against a large request at the
// head that blocks the next ones.
func TestPriorityOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, large, small := newAdmission(), &room{}, &room{}
		first := enter(t, a, request("team", 1), large.find)
		second := enter(t, a, request("team", 1), small.find)
		urgent := enter(t, a, request("team", 0), small.find)
		small.free.Store(1)
		pass(100 * time.Millisecond)
		qt.Assert(t, urgent.served(), qt.IsTrue)
		small.free.Store(1)
		pass(100 * time.Millisecond)
		qt.Assert(t, second.served(), qt.IsTrue)
		qt.Assert(t, first.done(), qt.IsFalse)
		leaveAll([]*entered{first})
	})
}

// Guards against capacity that is given to two requests, lost, or never given back while callers
// come, leave and end at the same time.
func TestConcurrentCallers(t *testing.T) {
	a := newAdmission()
	var mu sync.Mutex
	const size = 4
	running, most := 0, 0
	find := func(float64) (bool, *fault.Error) {
		mu.Lock()
		defer mu.Unlock()
		if running == size {
			return false, nil
		}
		running++
		most = max(most, running)
		return true, nil
	}
	var callers sync.WaitGroup
	for i := range 40 {
		callers.Go(func() {
			for n := range 30 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+(i*7+n*3)%20)*time.Millisecond)
				ticket, e := a.Enter(ctx, request([]string{"x", "y", "z"}[i%3], n%3), find)
				if e == nil {
					time.Sleep(time.Millisecond)
					mu.Lock()
					running--
					mu.Unlock()
					ticket.End()
				}
				cancel()
			}
		})
	}
	callers.Wait()
	qt.Check(t, running, qt.Equals, 0)
	qt.Check(t, most, qt.Equals, size)
	qt.Check(t, a.Stats().Waiting, qt.Equals, 0)
}

// BenchmarkEnter measures the decision on a request for which there is capacity.
func BenchmarkEnter(b *testing.B) {
	a := newAdmission()
	r := request("team", 1)
	find := func(float64) (bool, *fault.Error) { return true, nil }
	b.ReportAllocs()
	for b.Loop() {
		ticket, _ := a.Enter(b.Context(), r, find)
		ticket.End()
	}
}
