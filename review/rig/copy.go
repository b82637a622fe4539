package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// copyRun is how long callers send requests.
	copyRun = 60 * time.Second
	// copyWindow is how long the server is faulty at a time, copyPause the time between that, and
	// copyShare the share of its answers in that time of which it gives a second copy.
	copyWindow = 5 * time.Second
	copyPause  = 3 * time.Second
	copyShare  = 0.03
	// copyCallers send their requests at the same time, and then again copyInterval after the
	// last answer.
	copyCallers  = 16
	copyInterval = 150 * time.Millisecond
	// slowEvery is one in how many rounds in which one request takes slowWork, which is within the
	// spread of the sheet.
	slowEvery  = 4
	slowWork   = 400 * time.Millisecond
	normalWork = 40 * time.Millisecond
)

// runCopy plays the case in which a server gives a second, late copy of an answer.
func runCopy(s setup) (broken bool, err error) {
	servers, err := s.startPlainServers(func(id string) time.Duration {
		if len(id) > 0 && id[len(id)-1] == 's' {
			return slowWork
		}
		return normalWork
	})
	if err != nil {
		return false, err
	}
	faulty := &faultyServer{start: time.Now()}
	if s.trouble {
		// One of the three servers is faulty.
		servers[0].secondCopy = faulty.secondCopy
	}
	entries, err := s.startEntries()
	if err != nil {
		return false, err
	}
	defer stopEntries(entries)
	var broke atomic.Bool
	var sent atomic.Int64
	channels := make([]*channel, copyCallers)
	for i := range channels {
		channels[i] = &channel{address: entries[0].front}
	}
	for start := time.Now(); time.Since(start) < copyRun; time.Sleep(copyInterval) {
		var callers sync.WaitGroup
		for i, c := range channels {
			callers.Go(func() {
				n := sent.Add(1)
				k := call{id: fmt.Sprintf("%08x%04d", rand.Uint32(), n), method: http.MethodGet, target: lookupPath, timeout: 4 * time.Second}
				if i%2 == 0 {
					k.method, k.target, k.body = http.MethodPost, transferPath, "amount=25&pot=tax"
				} else if i == 1 && n/copyCallers%slowEvery == 1 {
					k.id += "s"
				}
				if violatesMixed(s.rec, servers, k, c.do(k)) {
					broke.Store(true)
				}
			})
		}
		callers.Wait()
	}
	for _, c := range channels {
		c.close()
	}
	total := 0
	for _, p := range servers {
		p.mu.Lock()
		total += p.answers
		s.rec.printf("server %s gave %d answers", p.id, p.answers)
		p.mu.Unlock()
	}
	s.rec.printf("requests sent: %d, answers of servers: %d, second copies: %d", sent.Load(), total, faulty.total)
	return broke.Load(), nil
}

// faultyServer decides of which answers a server gives a second copy.
type faultyServer struct {
	start time.Time
	// window is the number of the current window, begun the answers that were given before it, and
	// copies the second copies in it.
	window, begun, copies, total int
}

// secondCopy reports whether the server gives a second copy of its last answer. The mutex of the
// server guards the fields.
func (f *faultyServer) secondCopy(p *plainServer, path string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	period := copyWindow + copyPause
	window := int(time.Since(f.start) / period)
	if window != f.window {
		f.window, f.begun, f.copies = window, p.answers, 0
	}
	inWindow := time.Since(f.start)%period < copyWindow
	if !inWindow || path != "/report" || float64(f.copies+1) > copyShare*float64(p.answers-f.begun) {
		return false
	}
	f.copies++
	f.total++
	return true
}

// violatesMixed reports whether an answer breaks MIXED: a success must bear the proof of a server
// that ran the request, and the whole body that the server gave.
func violatesMixed(rec *record, servers []*plainServer, k call, a answer) bool {
	ran, bodies := runs(servers, k.id)
	bad := a.status >= 200 && a.status < 300 && (a.signature == "" || !a.whole || !slices.Contains(bodies, a.body))
	if bad || a.status != http.StatusOK {
		rec.printf("caller of %s (%s %s): %s; run %d times", k.id, k.method, k.target, a, ran)
	}
	if bad {
		rec.printf("MIXED: the caller of %s got a success that is not the answer of the server that ran it", k.id)
	}
	return bad
}
