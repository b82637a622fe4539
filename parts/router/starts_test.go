package router_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/router"
)

// entryHost chooses chains with what it knows itself: its own requests, and how
// long they wait.
type entryHost struct {
	name   string
	ledger router.LoadTracker
	starts router.StartLatency
}

// sent is a request at its first server.
type sent struct {
	host    *entryHost
	start   *router.PendingStart
	release func()
	at, end time.Time
}

// crowd plays callers that all come back at once to entry hosts which know
// nothing of each other's requests.
type crowd struct {
	hosts []*entryHost
	// waits makes entry hosts consider how long their requests wait.
	waits   bool
	servers []*fleet.Server
	queues  map[string][]*sent
	running map[string][]*sent
	// onTime and all count the requests of each second.
	onTime, all []int
}

const (
	crowdRate   = 100
	crowdTime   = 8 * time.Second
	answerTime  = 2900 * time.Millisecond
	firstTarget = 600 * time.Millisecond
	tick        = 10 * time.Millisecond
	tellEvery   = 20 * time.Millisecond
)

func newCrowd(hosts int, waits bool) *crowd {
	c := &crowd{
		waits: waits, queues: map[string][]*sent{}, running: map[string][]*sent{},
		onTime: make([]int, crowdTime/time.Second), all: make([]int, crowdTime/time.Second),
	}
	for i := range hosts {
		c.hosts = append(c.hosts, &entryHost{name: fmt.Sprint(i)})
	}
	for _, s := range []*fleet.Server{
		server("fast", "a", "big", 0, 27), server("slow", "a", "small", 0, 9), server("rest", "a", "small", 9, 80),
		server("away", "b", "small", 0, 40), server("else", "b", "small", 40, 80),
	} {
		s.Slots = 192
		c.servers = append(c.servers, s)
	}
	return c
}

func (c *crowd) play() {
	start := time.Unix(1_000_000, 0)
	for at := time.Duration(0); at < crowdTime; at += tick {
		now := start.Add(at)
		for id := range c.running {
			c.finish(id, now)
		}
		for n := range crowdRate * int(tick) / int(time.Second) {
			c.send(c.hosts[(int(at/tick)*7+n)%len(c.hosts)], now)
		}
		for id := range c.queues {
			c.begin(id, now, int(at/time.Second))
		}
		if at%tellEvery == 0 {
			c.tell(now)
		}
	}
}

// tell lets entry hosts announce their waits.
func (c *crowd) tell(now time.Time) {
	for _, h := range c.hosts {
		if !h.starts.ShouldBroadcast(now) {
			continue
		}
		for _, other := range c.hosts {
			if other == h {
				continue
			}
			other.starts.Merge(h.starts.Waits(now), now)
			other.ledger.SetRemote(h.name, h.ledger.Local())
		}
	}
}

func (c *crowd) send(h *entryHost, now time.Time) {
	q := query(c.servers...)
	q.Used = h.ledger.Used
	if c.waits {
		q.Delay = func(id string) float64 { return router.StartCost(h.starts.Wait(id, now), firstTarget) }
	}
	chain := q.Pick()
	first := chain[0].Server.ID
	c.queues[first] = append(c.queues[first], &sent{
		host: h, start: h.starts.Track(first, firstTarget/5, now), release: h.ledger.Reserve(chain, 900), at: now,
	})
}

func (c *crowd) finish(id string, now time.Time) {
	var left []*sent
	for _, r := range c.running[id] {
		if now.Before(r.end) {
			left = append(left, r)
			continue
		}
		r.release()
	}
	c.running[id] = left
}

func (c *crowd) begin(id string, now time.Time, second int) {
	for len(c.queues[id]) > 0 && len(c.running[id]) < 192 {
		r := c.queues[id][0]
		c.queues[id] = c.queues[id][1:]
		r.end = now.Add(answerTime)
		r.host.starts.RecordFirstEvent(r.start, now)
		c.running[id] = append(c.running[id], r)
		c.all[second]++
		if now.Sub(r.at) <= firstTarget {
			c.onTime[second]++
		}
	}
}

// Guards against a queue that forms at the fastest first server when all callers
// come back at once, and stays since every entry host sends as much there as
// ends.
func TestQueueAtFirstServerDrains(t *testing.T) {
	blind := newCrowd(100, false)
	blind.play()
	qt.Check(t, blind.onTime[7]*2 < blind.all[7], qt.IsTrue, qt.Commentf("the load makes no queue: %v of %v", blind.onTime, blind.all))
	c := newCrowd(100, true)
	c.play()
	qt.Check(t, sum(c.onTime)*100 >= sum(c.all)*95, qt.IsTrue, qt.Commentf("%v of %v on time", c.onTime, c.all))
	// The slots are taken after two seconds and the first come free at 2.9.
	for second := 4; second < len(c.all); second++ {
		qt.Check(t, c.onTime[second]*100 >= c.all[second]*95, qt.IsTrue, qt.Commentf("second %d: %d of %d on time", second, c.onTime[second], c.all[second]))
	}
}

func sum(list []int) int {
	n := 0
	for _, one := range list {
		n += one
	}
	return n
}

// Guards against requests that wait for a slot of a server while others could
// begin them.
func TestNoStartWithoutASlot(t *testing.T) {
	servers := newCrowd(1, false).servers
	q := query(servers...)
	q.Used = func(id string) router.Usage {
		if id == "fast" {
			return router.Usage{Requests: 192, Starts: 180}
		}
		return router.Usage{}
	}
	// It still runs layers for requests that begin elsewhere.
	qt.Check(t, q.Pick().String(), qt.Equals, "slow=0-9 fast=9-27 rest=27-80")
	// Waiting for a slot is better than no chain at all.
	q.Servers, q.Overcommit = []*fleet.Server{servers[0], servers[2]}, true
	qt.Check(t, q.Pick().String(), qt.Equals, "fast=0-27 rest=27-80")
}

func TestWaitAtAServer(t *testing.T) {
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

// Guards against entry hosts that tell each other of waits all the time where
// first events usually take long.
func TestAnnouncementsAreRare(t *testing.T) {
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
	var usual router.StartLatency
	start := usual.Track("fast", firstTarget/5, now)
	qt.Check(t, usual.ShouldBroadcast(now.Add(firstTarget/6)), qt.IsFalse)
	qt.Check(t, usual.ShouldBroadcast(now.Add(firstTarget/5)), qt.IsTrue)
	usual.Untrack(start)
	qt.Check(t, usual.ShouldBroadcast(now.Add(time.Minute)), qt.IsFalse)
}
