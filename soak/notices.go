package soak

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"fuchsiashelf.dev/stand/fakes"
)

const (
	// maxPauses is how many pauses a server requests in a row, and maxPauseLength how long
	// these are.
	maxPauses      = 6
	maxPauseLength = 4 * time.Second
	// leavingTime is how long a server serves after it has said that it leaves.
	leavingTime = 4 * time.Second
	// noticeTime is how long servers are observed after the faults.
	noticeTime = 6 * time.Second
	// disturbanceSlack is how long before a disturbance a response may have been lost.
	disturbanceSlack = time.Second
)

// startPauses makes a server request pauses of random lengths.
func (r *run) startPauses(rng *rand.Rand) string {
	s := r.cluster.randomServer(rng)
	n, length := 1+rng.IntN(maxPauses), time.Duration(1+rng.Int64N(int64(maxPauseLength)))
	requestPauses(s, n, length, rng.IntN(2) == 0)
	return fmt.Sprintf("%s: requests %d pauses of %s", s.ID, n, length)
}

// requestPauses makes a server request n pauses; with control also in its responses to
// requests for reports and to orders.
func requestPauses(s *fakes.Server, n int, length time.Duration, control bool) {
	text := strconv.FormatFloat(length.Seconds(), 'f', 3, 64)
	if control {
		s.PauseNextControl(n, text, length)
		return
	}
	s.PauseNext(n, text, length)
}

// startLeaving makes a server say in its responses that it leaves, and starts another one.
// The server ends later; its entry says nothing of it.
func (r *run) startLeaving(rng *rand.Rand) string {
	s := r.cluster.takeServer(rng)
	if err := r.cluster.addServer(s.Service, s.Zone); err != nil {
		r.addViolation("%v", err)
	}
	s.SayLeaving()
	r.activeFaults.Go(func() {
		time.Sleep(leavingTime)
		s.Crash()
		r.cluster.platform.Store.Delete("servers", s.ID)
	})
	return s.ID + ": says that it leaves"
}

// checkNotices lets one server of each service say that it leaves, and the others request
// pauses, while callers send more requests. The servers record violations. It returns when
// the pauses have ended.
func (r *run) checkNotices() {
	for _, service := range []string{"booking", "assist"} {
		for i, s := range r.cluster.serversOf(service) {
			if i == 0 {
				s.SayLeaving()
				continue
			}
			requestPauses(s, maxPauses, maxPauseLength, i%2 == 0)
		}
	}
	var callers sync.WaitGroup
	for e := range r.EntryHosts {
		callers.Go(func() {
			for start := time.Now(); time.Since(start) < noticeTime; time.Sleep(lookupInterval) {
				r.sendLookup(e)
				r.sendStream(e, 1)
			}
		})
	}
	callers.Wait()
	r.cluster.endPauses()
	time.Sleep(maxPauseLength)
}

// disturbances records when entry hosts and links to servers were disturbed, by the name
// of the host or the address of the server.
type disturbances struct {
	mu     sync.Mutex
	active map[string]int
	last   map[string]time.Time
}

// begin records the begin of a disturbance. The caller calls end at its end.
func (d *disturbances) begin(name string) (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.active == nil {
		d.active, d.last = map[string]int{}, map[string]time.Time{}
	}
	d.active[name]++
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.active[name]--
		d.last[name] = time.Now()
	}
}

// any reports whether any of the names was disturbed since a time.
func (d *disturbances) any(since time.Time, names ...string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range names {
		if d.active[name] > 0 || d.last[name].After(since.Add(-disturbanceSlack)) {
			return true
		}
	}
	return false
}
