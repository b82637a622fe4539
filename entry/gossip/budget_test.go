package gossip

import (
	"context"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// newFleetPeer returns a host that knows as many others as the given number, all in its domain.
func newFleetPeer(others int) *Peer {
	p := newPeer(0)
	p.init()
	for i := range others {
		p.Merge(newPeer(i + 1).message(nil))
	}
	return p
}

// endedContext returns a context that has ended, so that exchanges end at once.
func endedContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// Guards against hosts that use up their processor time with telling each other of a failure that all
// of them notice: news that never ends may take 40 exchanges a second, a third of an eighth of a core.
func TestNewsOfFailuresIsBounded(t *testing.T) {
	const seconds = 10
	p, ctx, now := newFleetPeer(60), endedContext(), time.Now()
	started := 0
	for range seconds * time.Second / minBroadcastInterval {
		now = now.Add(minBroadcastInterval)
		started += broadcastFanout - p.announce(ctx, broadcastFanout, now)
	}
	qt.Assert(t, started <= 40*seconds, qt.IsTrue, qt.Commentf("%d exchanges in %d s", started, seconds))
	qt.Assert(t, started >= broadcastRate*seconds, qt.IsTrue, qt.Commentf("%d exchanges in %d s", started, seconds))
}

// Guards against news that waits although the host has told little: once a second, and again after
// much news, it goes to all that a broadcast reaches.
func TestNewsGoesAtOnce(t *testing.T) {
	p, ctx, now := newFleetPeer(60), endedContext(), time.Now()
	for range 100 {
		now = now.Add(time.Second)
		qt.Assert(t, p.announce(ctx, broadcastFanout, now), qt.Equals, 0)
	}
	for range 100 {
		now = now.Add(minBroadcastInterval)
		p.announce(ctx, broadcastFanout, now)
	}
	left, start := broadcastFanout, now
	for left > 0 {
		now = now.Add(minBroadcastInterval)
		left = p.announce(ctx, left, now)
	}
	qt.Assert(t, now.Sub(start) <= time.Second, qt.IsTrue, qt.Commentf("%s", now.Sub(start)))
}

// Guards against a small fleet whose hosts tell each other less than before.
func TestNewsReachesAllOfSmallFleet(t *testing.T) {
	p, ctx, now := newFleetPeer(3), endedContext(), time.Now()
	for range 10 {
		now = now.Add(minBroadcastInterval)
		qt.Assert(t, p.announce(ctx, broadcastFanout, now), qt.Equals, 0)
	}
}

// Guards against a slow host that all others keep slow, because each that gets no answer in time asks
// three others, which contact it as well.
func TestChecksOfOneHostAreShared(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	p, slow := newFleetPeer(10), newPeer(20)
	slow.Self.Address = l.Addr().String()
	p.Merge(slow.message(nil))
	accepted := make(chan net.Conn)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	var asking sync.WaitGroup
	var asked atomic.Int64
	for i := range 10 {
		asking.Go(func() {
			m := newPeer(i + 1).message(nil)
			m.Brief, m.Check = true, slow.Self.Name
			asked.Add(1)
			p.Respond(m)
		})
	}
	c := <-accepted
	for asked.Load() < 10 {
		runtime.Gosched()
	}
	asking.Wait()
	c.Close()
	begun, _ := p.Exchanges()
	qt.Assert(t, begun <= 2, qt.IsTrue, qt.Commentf("%d contacts for 10 hosts that ask", begun))
}
