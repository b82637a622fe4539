package unary

import (
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/entry/queue"
	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/router"
	"fuchsiashelf.dev/parts/slot"
)

// Slots limits the calls to services with fewer slots than there are entry hosts. Set the exported
// fields before use. It is safe for concurrent use; nil limits nothing.
type Slots struct {
	Queue *queue.Admission
	State *state.Local
	// Load holds the servers that rejected calls of other entry hosts, and tells them of those
	// that rejected calls of this one.
	Load *router.LoadTracker
	// Hosts returns the number of entry hosts alive, and of those that may still send calls.
	// Both include this one.
	Hosts func() (alive, known int)
	Log   *slog.Logger

	waited, refused, full atomic.Int64

	mu sync.Mutex
	// services holds the state by service: they are as many as there are plain services.
	services map[string]*smallService
}

// SlotStats counts calls to services with fewer slots than there are entry hosts.
type SlotStats struct {
	// Waited is the number of calls that were sent after a wait, Refused that of calls that
	// this host refused, and Full that of calls that servers rejected.
	Waited, Refused, Full int64
}

// Stats returns the counts.
func (s *Slots) Stats() SlotStats {
	return SlotStats{Waited: s.waited.Load(), Refused: s.refused.Load(), Full: s.full.Load()}
}

// count counts a call that the queue has admitted or not.
func (s *Slots) count(ticket queue.Ticket, e *fault.Error) {
	switch {
	case e != nil && e.Code == fault.Overloaded:
		s.refused.Add(1)
	case e == nil && ticket.Waited():
		s.waited.Add(1)
	}
}

// smallService is the state of a plain service.
type smallService struct {
	*Slots
	name string

	mu       sync.Mutex
	limiter  slot.Limiter
	duration slot.Duration
	marks    slot.Marks
	// logged says that the last line on the service says that it is limited.
	logged bool
}

// service returns the state of a service if it has fewer slots than there are entry hosts, and nil
// otherwise.
func (s *Slots) service(name string) *smallService {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	service := s.services[name]
	if service == nil {
		if s.services == nil {
			s.services = map[string]*smallService{}
		}
		service = &smallService{Slots: s, name: name}
		s.services[name] = service
	}
	s.mu.Unlock()
	if !service.active() {
		return nil
	}
	return service
}

// active reports whether calls to the service may have to wait.
func (s *smallService) active() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.Capacity(s.State.View().Service(s.name))
	return s.limiter.Active()
}

// take reports whether a call may be sent now, and whether it was charged for: calls are not while
// the service is not limited.
func (s *smallService) take() (ok, charged bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.Capacity(s.State.View().Service(s.name))
	charged = s.limiter.Limited()
	ok, _ = s.limiter.Take(time.Now())
	return ok, charged && ok
}

// giveBack takes back a call that take charged for and that did not run.
func (s *smallService) giveBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.Return()
}

// full reports whether a server has lately rejected calls of an entry host.
func (s *smallService) full(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return s.marks.Full(id, now) || s.Load.Remaining(id, now) > 0
}

// reject records that a server rejected a call.
func (s *smallService) reject(id string) {
	s.Slots.full.Add(1)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining, isNew := s.marks.Reject(id, now)
	s.Load.RecordRemoteRefusal(id, remaining, now)
	if isNew {
		s.duration.Reject()
		s.setWork()
	}
}

// accept records that a server has run a call that was sent at a time.
func (s *smallService) accept(id string, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.duration.Record(time.Since(sent))
	s.setWork()
	s.marks.Accept(id, sent)
}

// setWork sets the work of a call to its expected duration. The mutex is held.
func (s *smallService) setWork() {
	s.limiter.Work = s.duration.Expected().Seconds()
}

// Sweep updates the shares of this entry host. Call it every 100 ms.
func (s *Slots) Sweep(now time.Time) {
	list := s.list()
	if len(list) == 0 {
		return
	}
	alive, known := s.Hosts()
	for _, service := range list {
		service.sweep(alive, known, now)
	}
}

// list returns all services.
func (s *Slots) list() []*smallService {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*smallService, 0, len(s.services))
	for _, service := range s.services {
		list = append(list, service)
	}
	return list
}

// sweep updates the share of the service, and logs when it starts and stops being limited.
func (s *smallService) sweep(alive, known int, now time.Time) {
	d := s.demand(alive, known, now)
	s.mu.Lock()
	s.limiter.Capacity(s.State.View().Service(s.name))
	s.limiter.Update(d, now)
	s.marks.Sweep(now)
	active, limited, capacity, share := s.limiter.Active(), s.limiter.Limited(), s.limiter.Slots(), s.limiter.Share()
	changed := limited != s.logged
	s.logged = limited
	s.mu.Unlock()
	if active {
		s.Queue.Shares.Watch(s.name, now)
	}
	if !changed {
		return
	}
	if limited {
		s.Log.Info("slots: limited", "service", s.name, "capacity", capacity, "demand", round(d.Total()), "own", round(d.Own), "share", round(share), "hosts", d.Hosts)
		return
	}
	s.Log.Info("slots: not limited", "service", s.name, "capacity", capacity, "demand", round(d.Total()), "hosts", d.Hosts)
}

// demand returns the demand for the service. While other hosts are silent, all of them count
// that may still send calls.
func (s *smallService) demand(alive, known int, now time.Time) slot.Demand {
	own, others, age := s.Queue.Shares.Demand(s.name, now)
	s.mu.Lock()
	work := s.limiter.Work
	s.mu.Unlock()
	d := slot.Demand{Own: own * work, Age: age, Hosts: alive}
	for _, o := range others {
		d.Others = append(d.Others, slot.HostDemand{Demand: o.Demand * work, Hosts: o.Hosts})
	}
	if d.Stale() {
		d.Hosts = known
	}
	return d
}

// round returns a number of slots for a log line.
func round(slots float64) float64 { return math.Round(1000*slots) / 1000 }
