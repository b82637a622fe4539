package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// crashEngines is the number of engines, and crashBack how long after a crash one is back.
	crashEngines = 9
	crashBack    = 3 * time.Second
	// crashRepeats is how often the request comes, crashInterval apart.
	crashRepeats  = 25
	crashInterval = time.Second
	crashEvents   = 50
	// crashesAllowed is the number of crashes after which, a stableWindow later, the request must not
	// reach engines in more than retriesAllowed retries.
	crashesAllowed = 3
	retriesAllowed = 3
	stableWindow   = 3 * time.Second
	// otherInterval is the interval between the streams of other callers, which have otherEvents.
	otherInterval = 200 * time.Millisecond
	otherEvents   = 50
)

// runCrash plays the case in which a request crashes each engine that begins to run it, and comes
// again.
func runCrash(s setup) (broken bool, err error) {
	list, err := s.startEngines(crashEngines)
	if err != nil {
		return false, err
	}
	defer list.stop()
	entries, err := s.startEntries()
	if err != nil {
		return false, err
	}
	defer stopEntries(entries)
	if err := list.awaitLayers(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	var crashes []time.Time
	list.onExit = func(e *engineProcess) {
		mu.Lock()
		crashes = append(crashes, time.Now())
		n := len(crashes)
		mu.Unlock()
		time.Sleep(crashBack)
		s.store.remove("servers", e.id)
		if _, err := list.start(fmt.Sprintf("i-n%d%07x", n, os.Getpid()), e.zone, e.address); err != nil {
			s.rec.printf("engine %s could not restart: %v", e.id, err)
		}
	}
	body := fmt.Sprintf("%08x", rand.Uint32())
	if s.trouble {
		body += " " + crashBody
	}
	var callers sync.WaitGroup
	others := &otherCallers{entries: entries, rec: s.rec}
	callers.Go(func() { others.run(crashRepeats * crashInterval) })
	var ids []string
	for i := range crashRepeats {
		id := fmt.Sprintf("%08x%02d", rand.Uint32(), i)
		ids = append(ids, id)
		callers.Go(func() {
			c := &channel{address: entries[i%len(entries)].front}
			defer c.close()
			a := c.do(streamCall(id, crashEvents, body))
			s.rec.printf("caller of %s: %s", id, a)
		})
		time.Sleep(crashInterval)
	}
	callers.Wait()
	mu.Lock()
	defer mu.Unlock()
	s.rec.printf("engines that crashed: %d", len(crashes))
	s.rec.printf("streams of other callers: %d, of which %d were refused or failed, and %d were cut off", others.sent, others.failed, others.cut)
	if len(crashes) < crashesAllowed {
		return false, nil
	}
	from := crashes[crashesAllowed-1].Add(stableWindow)
	late := 0
	for _, id := range ids {
		for _, r := range list.runsOf(id) {
			if r.at.After(from) {
				late++
			}
		}
	}
	s.rec.printf("runs of the request later than %s after the crash of the third engine: %d", stableWindow, late)
	if late > retriesAllowed {
		s.rec.printf("BUDGET: a request that crashes engines reached them %d times", late)
	}
	return late > retriesAllowed, nil
}

// otherCallers send streams that crash nothing.
type otherCallers struct {
	entries []*entry
	rec     *record

	mu                sync.Mutex
	sent, failed, cut int
}

// run sends streams for a while and waits for their ends.
func (o *otherCallers) run(d time.Duration) {
	var callers sync.WaitGroup
	end := time.Now().Add(d)
	for n := 0; time.Now().Before(end); n++ {
		callers.Go(func() {
			c := &channel{address: o.entries[n%len(o.entries)].front}
			defer c.close()
			k := streamCall(fmt.Sprintf("%08x%04d", rand.Uint32(), n), otherEvents, fmt.Sprintf("%08x", rand.Uint32()))
			a := c.do(k)
			o.mu.Lock()
			defer o.mu.Unlock()
			o.sent++
			switch {
			case a.status != http.StatusOK:
				o.failed++
			case !a.whole:
				o.cut++
			default:
				return
			}
			o.rec.printf("other caller of %s: %s", k.id, a)
		})
		time.Sleep(otherInterval)
	}
	callers.Wait()
}
