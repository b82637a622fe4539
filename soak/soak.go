// Package soak runs the real program as separate processes in front of a
// stand-in of the users' platform, lets seeded faults happen to it from
// outside, and checks the promises from what callers and servers see.
//
// The promises that are checked all the while: an answer that ends well is the
// caller's own and whole; a payment runs once at most; one that was refused has
// not run; each chain runs every layer once and in order. After the last fault
// all entry hosts serve again, keys that were taken away are refused, and a
// planned stop cuts nothing.
package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"fuchsiashelf.dev/stand/fakes"
)

// Settings say what a run is like. Set them before Run.
type Settings struct {
	Seed uint64
	// FaultDuration is how long faults happen.
	FaultDuration time.Duration
	// EntryHosts and Callers are how many entry hosts and callers there are.
	EntryHosts, Callers int
	// Program is the path of the program.
	Program string
	// Dir holds settings files and logs.
	Dir string
	// OnStart is told of each process that the run starts, if it is set.
	OnStart func(*os.Process)
}

// Report is what came of a run.
type Report struct {
	Seed uint64
	// Requests counts requests, Succeeded those that were answered with success.
	Requests, Succeeded int
	// Faults lists what happened, with the time from the start.
	Faults []string
	// Violations lists broken promises.
	Violations []string
}

// run is one run on its way.
type run struct {
	Settings
	rand  *rand.Rand
	town  *town
	start time.Time

	// lasting are the faults that have not ended.
	lasting sync.WaitGroup

	mu     sync.Mutex
	report Report
	// refused holds payments that a caller was told have not run.
	refused map[string]bool
	n       int
}

// Run plays one seed.
func Run(s Settings) (Report, error) {
	r := &run{
		Settings: s, rand: rand.New(rand.NewPCG(s.Seed, s.Seed)), start: time.Now(),
		report: Report{Seed: s.Seed}, refused: map[string]bool{},
	}
	t, err := newTown(s)
	if err != nil {
		return r.report, err
	}
	r.town = t
	defer func() { _ = t.close() }()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range s.Callers {
		seed := s.Seed + uint64(i) + 1
		callers.Go(func() { r.call(rand.New(rand.NewPCG(seed, 0)), stop) })
	}
	err = r.fault()
	close(stop)
	callers.Wait()
	if err != nil {
		return r.report, err
	}
	r.recover()
	r.judge()
	return r.report, nil
}

func (r *run) broken(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Violations = append(r.report.Violations, fmt.Sprintf(format, args...))
}

// id returns a new request's ID.
func (r *run) id(kind string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.n++
	return fmt.Sprintf("%s-%d", kind, r.n)
}

// call is one caller. It sends requests of all kinds through all entry hosts.
func (r *run) call(random *rand.Rand, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(60)) * time.Millisecond):
		}
		e := random.IntN(r.EntryHosts)
		switch random.IntN(4) {
		case 0:
			r.pay(e)
		case 1:
			r.look(e)
		default:
			r.ask(e, 1+random.IntN(40))
		}
	}
}

func (r *run) count(served bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests++
	if served {
		r.report.Succeeded++
	}
}

func (r *run) pay(e int) bool {
	id := r.id("pay")
	got := r.town.send(e, id, "/pay/1", currentKey, 0)
	ok := got.status == 200 && got.err == nil
	r.count(ok)
	if ok && got.body != fmt.Sprintf("POST /pay/1 4 bytes for %s\n", id) {
		r.broken("%s: got %q", id, got.body)
	}
	switch got.status {
	case 503, 429, 408, 421:
		r.mu.Lock()
		r.refused[id] = true
		r.mu.Unlock()
	}
	return ok
}

func (r *run) look(e int) bool {
	id := r.id("look")
	got := r.town.send(e, id, "/look/1", currentKey, 0)
	ok := got.status == 200 && got.err == nil
	r.count(ok)
	if ok && got.body != fmt.Sprintf("POST /look/1 4 bytes for %s\n", id) {
		r.broken("%s: got %q", id, got.body)
	}
	return ok
}

func (r *run) ask(e, events int) bool {
	id := r.id("ask")
	got := r.town.send(e, id, "/ask/1", currentKey, events)
	ok := got.status == 200 && got.err == nil
	r.count(ok)
	if ok && got.body != fakes.StreamBody(id, events) {
		r.broken("%s: %d events asked, got %q", id, events, got.body)
	}
	return ok
}

// settleTime is how long the system has to serve again after the last fault.
const settleTime = 15 * time.Second

// recover ends all faults and checks that everything serves again.
func (r *run) recover() {
	r.town.heal()
	for e := range r.EntryHosts {
		served := false
		for end := time.Now().Add(settleTime); time.Now().Before(end) && !served; {
			served = r.ask(e, 5) && r.look(e) && r.pay(e)
		}
		if !served {
			r.broken("entry host %d does not serve again", e)
		}
	}
	r.revoked()
	r.stopped()
}

// revoked checks that keys which were taken away are refused.
func (r *run) revoked() {
	if err := r.town.configure(currentKey); err != nil {
		r.broken("%v", err)
		return
	}
	for e := range r.EntryHosts {
		refused := false
		for end := time.Now().Add(settleTime); time.Now().Before(end) && !refused; {
			refused = r.town.send(e, r.id("old"), "/look/1", oldKey, 0).status == 401
		}
		if !refused {
			r.broken("entry host %d serves a key that was taken away", e)
		}
	}
}

// stopped checks that a planned stop cuts nothing.
func (r *run) stopped() {
	const events = 60
	id := r.id("ask")
	done := make(chan reply, 1)
	go func() { done <- r.town.send(0, id, "/ask/1", currentKey, events) }()
	time.Sleep(150 * time.Millisecond)
	r.town.entries[0].terminate()
	if got := <-done; got.err != nil || got.body != fakes.StreamBody(id, events) {
		r.broken("%s: cut by a planned stop: %d %v", id, got.status, got.err)
	}
}

// judge looks at what the servers saw.
func (r *run) judge() {
	ran := map[string]int{}
	for _, one := range r.town.world.Executions() {
		ran[one.Request]++
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, n := range ran {
		if len(id) > 4 && id[:4] == "pay-" && n > 1 {
			r.report.Violations = append(r.report.Violations, fmt.Sprintf("%s ran %d times", id, n))
		}
		if r.refused[id] {
			r.report.Violations = append(r.report.Violations, id+" was refused and ran")
		}
	}
	r.report.Violations = append(r.report.Violations, r.town.world.Violations()...)
}
