package share

import (
	"cmp"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/parts/domain"
)

const (
	// sweepInterval is the time that the first sweep stands for, and maxElapsed bounds the
	// time of a later one.
	sweepInterval = 100 * time.Millisecond
	maxElapsed    = time.Second
)

// Tracker tracks the demand at this entry host and at others. Set the exported fields
// before use. It is safe for concurrent use.
type Tracker struct {
	// Self is the name of this entry host, and Domain its failure domain.
	Self   string
	Domain domain.Name
	// Alive returns the number of entry hosts alive by failure domain, including this one.
	Alive func() map[domain.Name]int
	Log   *slog.Logger

	table atomic.Pointer[table]

	mu       sync.Mutex
	services map[string]*service
	// reports holds the demand of the other entry hosts by name.
	reports map[string]*report
	// factors holds, by failure domain, how many hosts each report stands for as of the last sweep.
	factors map[domain.Name]float64
	swept   time.Time
	// watched holds when Watch was last called, by service.
	watched map[string]time.Time
}

// Begin records that a request takes capacity until end is called.
func (t *Tracker) Begin(c Class, work float64, now time.Time) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	work = amount(work)
	state := t.class(c, now)
	state.request(work, now)
	state.served.add(work, servedWindow, now)
	return t.hold(&state.running, work)
}

// Wait records that a request waits for capacity until stop is called.
func (t *Tracker) Wait(c Class, work float64, now time.Time) (stop func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	work = amount(work)
	state := t.class(c, now)
	state.request(work, now)
	state.service.contendedAt = now
	return t.hold(&state.waiting, work)
}

// hold adds the work of a request until release is called. The mutex is held.
func (t *Tracker) hold(h *held, work float64) (release func()) {
	h.add(work)
	released := false
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if !released {
			released = true
			h.remove(work)
		}
	}
}

// Refuse records that a request was refused for lack of capacity.
func (t *Tracker) Refuse(c Class, work float64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	work = amount(work)
	state := t.class(c, now)
	state.request(work, now)
	state.refused.add(work, refusedWindow, now)
	state.refusedAt = now
	state.service.contendedAt = now
}

// class returns the state of a class, adding it if needed. The mutex is held.
func (t *Tracker) class(c Class, now time.Time) *class {
	c = c.normal()
	if t.services == nil {
		t.services = map[string]*service{}
	}
	s := t.services[c.Service]
	if s == nil {
		s = &service{name: c.Service, classes: map[teamRank]*class{}}
		t.services[c.Service] = s
	}
	key := teamRank{c.Team, c.Rank}
	state := s.classes[key]
	if state == nil {
		state = &class{Class: c, service: s, usedAt: now}
		s.classes[key] = state
	}
	return state
}

// Sweep recomputes the headrooms. Call it every 100 ms.
func (t *Tracker) Sweep(now time.Time) {
	for _, l := range t.sweep(t.Alive(), now) {
		t.Log.Info(l.message, l.args...)
	}
}

// sweep does the work of Sweep and returns the lines to log. Alive and Log are called
// without the mutex: the former may lock what calls Forget, the latter may block.
func (t *Tracker) sweep(alive map[domain.Name]int, now time.Time) (lines []line) {
	t.mu.Lock()
	defer t.mu.Unlock()
	elapsed := sweepInterval
	if !t.swept.IsZero() {
		elapsed = min(max(0, now.Sub(t.swept)), maxElapsed)
	}
	t.swept = now
	t.expire(now)
	t.unwatch(now)
	t.factors = t.reportFactors(alive)
	t.addRemote(t.factors)
	next := table{}
	for name, s := range t.services {
		s.update(elapsed, now)
		if len(s.classes) == 0 {
			delete(t.services, name)
		}
		if s.isContended(now) {
			list, decision := s.decide()
			next[name] = newEntry(list, decision)
			lines = append(lines, s.contendedLines(list, decision, now)...)
		} else {
			lines = append(lines, s.freeLines()...)
		}
	}
	t.table.Store(&next)
	return lines
}

// Headroom returns the share of the capacity of each server that a request of a class
// leaves free, as of the last sweep: 0 to 0.5.
func (t *Tracker) Headroom(c Class) float64 {
	if known := t.table.Load(); known != nil {
		return known.headroom(c)
	}
	return 0
}

// Contended reports whether, as of the last sweep, a request for the service waited or was
// refused within two seconds, here or at a host that has reported it.
func (t *Tracker) Contended(service string) bool {
	known := t.table.Load()
	return known != nil && (*known)[service] != nil
}

// Stats returns the classes with the highest demand, at most 16.
func (t *Tracker) Stats(time.Time) []Stat {
	list := t.allStats()
	slices.SortFunc(list, func(a, b Stat) int {
		if c := cmp.Compare(volume{Usage: b.Usage}.size(), volume{Usage: a.Usage}.size()); c != 0 {
			return c
		}
		return a.compare(b.Class)
	})
	return list[:min(len(list), maxStats)]
}

func (t *Tracker) allStats() (list []Stat) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.services {
		for _, c := range s.classes {
			list = append(list, Stat{
				Class: c.Class, Usage: c.average.Usage, Served: c.average.served, Headroom: t.Headroom(c.Class),
			})
		}
	}
	return list
}
