package router_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/router"
)

// entryHost chooses chains by what it knows itself: the load of its own requests, and
// their waits.
type entryHost struct {
	name    string
	loads   router.LoadTracker
	latency router.StartLatency
}

// request is a request that was sent to the first server of its chain.
type request struct {
	host    *entryHost
	start   *router.PendingStart
	release func()
	at, end time.Time
}

// burst simulates callers that all return at once to entry hosts which know nothing of
// each other's requests.
type burst struct {
	hosts []*entryHost
	// useWaits makes entry hosts take the waits of their requests into account.
	useWaits bool
	servers  []*fleet.Server
	queues   map[string][]*request
	running  map[string][]*request
	// onTime and all count the requests by the second of their first event.
	onTime, all []int
}

const (
	arrivalRate    = 100
	simulatedTime  = 8 * time.Second
	responseTime   = 2900 * time.Millisecond
	firstTarget    = 600 * time.Millisecond
	tick           = 10 * time.Millisecond
	broadcastEvery = 20 * time.Millisecond
)

func newBurst(hosts int, useWaits bool) *burst {
	b := &burst{
		useWaits: useWaits, queues: map[string][]*request{}, running: map[string][]*request{},
		onTime: make([]int, simulatedTime/time.Second), all: make([]int, simulatedTime/time.Second),
	}
	for i := range hosts {
		b.hosts = append(b.hosts, &entryHost{name: fmt.Sprint(i)})
	}
	for _, s := range []*fleet.Server{
		server("fast", "a", "big", 0, 27), server("slow", "a", "small", 0, 9), server("rest", "a", "small", 9, 80),
		server("away", "b", "small", 0, 40), server("else", "b", "small", 40, 80),
	} {
		s.Slots = 192
		b.servers = append(b.servers, s)
	}
	return b
}

func (b *burst) run() {
	start := time.Unix(1_000_000, 0)
	for at := time.Duration(0); at < simulatedTime; at += tick {
		now := start.Add(at)
		for id := range b.running {
			b.finish(id, now)
		}
		for n := range arrivalRate * int(tick) / int(time.Second) {
			b.send(b.hosts[(int(at/tick)*7+n)%len(b.hosts)], now)
		}
		for id := range b.queues {
			b.begin(id, now, int(at/time.Second))
		}
		if at%broadcastEvery == 0 {
			b.broadcast(now)
		}
	}
}

// broadcast lets entry hosts broadcast their waits and loads.
func (b *burst) broadcast(now time.Time) {
	for _, h := range b.hosts {
		if !h.latency.ShouldBroadcast(now) {
			continue
		}
		for _, other := range b.hosts {
			if other == h {
				continue
			}
			other.latency.Merge(h.latency.Waits(now), now)
			other.loads.SetRemote(h.name, h.loads.Local())
		}
	}
}

func (b *burst) send(h *entryHost, now time.Time) {
	q := query(b.servers...)
	q.Used = h.loads.Used
	if b.useWaits {
		q.Delay = func(id string) float64 { return router.StartCost(h.latency.Wait(id, now), firstTarget) }
	}
	chain := q.Pick()
	first := chain[0].Server.ID
	b.queues[first] = append(b.queues[first], &request{
		host: h, start: h.latency.Track(first, firstTarget/5, now), release: h.loads.Reserve(chain, 900), at: now,
	})
}

func (b *burst) finish(id string, now time.Time) {
	var remaining []*request
	for _, r := range b.running[id] {
		if now.Before(r.end) {
			remaining = append(remaining, r)
			continue
		}
		r.release()
	}
	b.running[id] = remaining
}

func (b *burst) begin(id string, now time.Time, second int) {
	for len(b.queues[id]) > 0 && len(b.running[id]) < 192 {
		r := b.queues[id][0]
		b.queues[id] = b.queues[id][1:]
		r.end = now.Add(responseTime)
		r.host.latency.RecordFirstEvent(r.start, now)
		b.running[id] = append(b.running[id], r)
		b.all[second]++
		if now.Sub(r.at) <= firstTarget {
			b.onTime[second]++
		}
	}
}

// Guards against a persistent queue at the fastest first server: when all callers
// return at once, each entry host keeps sending requests there as fast as others end.
func TestQueueAtFirstServerDrains(t *testing.T) {
	withoutWaits := newBurst(100, false)
	withoutWaits.run()
	qt.Check(t, withoutWaits.onTime[7]*2 < withoutWaits.all[7], qt.IsTrue, qt.Commentf("the load forms no queue: %v of %v", withoutWaits.onTime, withoutWaits.all))
	b := newBurst(100, true)
	b.run()
	qt.Check(t, sum(b.onTime)*100 >= sum(b.all)*95, qt.IsTrue, qt.Commentf("%v of %v on time", b.onTime, b.all))
	// All slots are taken after two seconds; the first ones become free after 2.9 s.
	for second := 4; second < len(b.all); second++ {
		qt.Check(t, b.onTime[second]*100 >= b.all[second]*95, qt.IsTrue, qt.Commentf("second %d: %d of %d on time", second, b.onTime[second], b.all[second]))
	}
}

func sum(list []int) int {
	n := 0
	for _, v := range list {
		n += v
	}
	return n
}

// Guards against requests that wait for a slot of a server while others could start
// them.
func TestStartNeedsFreeSlot(t *testing.T) {
	servers := newBurst(1, false).servers
	q := query(servers...)
	q.Used = func(id string) router.Usage {
		if id == "fast" {
			return router.Usage{Requests: 192, Starts: 180}
		}
		return router.Usage{}
	}
	// The server still runs layers of requests that start elsewhere.
	qt.Check(t, q.Pick().String(), qt.Equals, "slow=0-9 fast=9-27 rest=27-80")
	// Waiting for a slot is better than having no chain.
	q.Servers, q.Overcommit = []*fleet.Server{servers[0], servers[2]}, true
	qt.Check(t, q.Pick().String(), qt.Equals, "fast=0-27 rest=27-80")
}

func TestExpectedWait(t *testing.T) {
	var s router.StartLatency
	now := time.Unix(1_000_000, 0)
	qt.Check(t, s.Wait("a", now), qt.Equals, time.Duration(0))
	first, second := s.Track("a", firstTarget, now), s.Track("a", firstTarget, now.Add(100*time.Millisecond))
	now = now.Add(400 * time.Millisecond)
	qt.Check(t, s.Wait("a", now), qt.Equals, 400*time.Millisecond)
	s.RecordFirstEvent(first, now)
	s.Untrack(first)
	s.Untrack(second)
	qt.Check(t, s.Wait("a", now), qt.Equals, 400*time.Millisecond)
	qt.Check(t, s.Wait("a", now.Add(250*time.Millisecond)), qt.Equals, 200*time.Millisecond)
	s.Sweep(now.Add(time.Minute))
	qt.Check(t, s.Wait("a", now), qt.Equals, time.Duration(0))
}

// Guards against entry hosts that broadcast waits continuously where first events
// always take long.
func TestBroadcastsAreRateLimited(t *testing.T) {
	var s router.StartLatency
	now := time.Unix(1_000_000, 0)
	count := 0
	for range 100 {
		start := s.Track("slow", firstTarget/5, now)
		for range 3 {
			now = now.Add(100 * time.Millisecond)
			if s.ShouldBroadcast(now) {
				count++
			}
		}
		s.RecordFirstEvent(start, now)
	}
	qt.Check(t, count > 0 && count <= 30, qt.IsTrue, qt.Commentf("%d times in 30 s", count))
	var fast router.StartLatency
	start := fast.Track("fast", firstTarget/5, now)
	qt.Check(t, fast.ShouldBroadcast(now.Add(firstTarget/6)), qt.IsFalse)
	qt.Check(t, fast.ShouldBroadcast(now.Add(firstTarget/5)), qt.IsTrue)
	fast.Untrack(start)
	qt.Check(t, fast.ShouldBroadcast(now.Add(time.Minute)), qt.IsFalse)
}
