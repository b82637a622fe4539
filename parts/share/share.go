// Package share computes the capacity that a request leaves free for classes of requests
// that precede it, over all entry hosts.
package share

import (
	"log/slog"
	"time"

	"fuchsiashelf.dev/parts/domain"
)

// Class is a group of requests that compete as one: those of one team and rank for one
// service.
type Class struct {
	Service, Team string
	// Rank is the priority; 0 is the most urgent.
	Rank int
}

// Usage is the demand of one class at one host, in work: tokens of prompt and answer, or 1
// for a call.
type Usage struct {
	Running, Waiting float64
	// Refused is the work refused per second for lack of capacity.
	Refused float64
}

// Row is the usage of a class in a message. The names of its fields are part of the
// encoding.
type Row struct {
	Service, Team    string
	Rank             int
	Running, Waiting float64
	// Refused and Served are the work refused and begun per second.
	Refused, Served float64
}

// Stat describes a class, for metrics.
type Stat struct {
	Class
	// Running, Waiting, Refused and Served are those of all hosts, as in Row.
	Running, Waiting, Refused, Served float64
	// Headroom is what Tracker.Headroom returns.
	Headroom float64
}

// Tracker tracks the demand of classes at this entry host and at others. Set the exported
// fields before use. It is safe for concurrent use.
type Tracker struct {
	// Self is the name of this entry host, and Domain its failure domain.
	Self   string
	Domain domain.Name
	// Alive returns the number of entry hosts alive by failure domain, including this one.
	Alive func() map[domain.Name]int
	Log   *slog.Logger
}

// Begin records that a request takes capacity until end is called.
func (t *Tracker) Begin(c Class, work float64, now time.Time) (end func()) { return func() {} }

// Wait records that a request waits for capacity until stop is called.
func (t *Tracker) Wait(c Class, work float64, now time.Time) (stop func()) { return func() {} }

// Refuse records that a request was refused for lack of capacity.
func (t *Tracker) Refuse(c Class, work float64, now time.Time) {}

// Rows returns the rows for the next message: the largest classes, and the rest added up
// by service and rank under team "".
func (t *Tracker) Rows(now time.Time) []Row { return nil }

// Merge replaces what is known of another entry host with the rows of its message.
func (t *Tracker) Merge(host string, d domain.Name, rows []Row, now time.Time) {}

// Forget drops what is known of another entry host.
func (t *Tracker) Forget(host string) {}

// Sweep recomputes the headrooms. Call it every 100 ms.
func (t *Tracker) Sweep(now time.Time) {}

// Headroom returns the share of the capacity of each server that a request of a class
// leaves free.
func (t *Tracker) Headroom(c Class) float64 { return 0 }

// Contended reports whether a request for the service waits, or was refused lately, here or
// at a host that has reported it.
func (t *Tracker) Contended(service string) bool { return false }

// TakeRemote yields the work that other hosts have begun for a service since the last call.
func (t *Tracker) TakeRemote(service string, yield func(c Class, work float64)) {}

// Stats returns the classes with the highest demand, at most 16.
func (t *Tracker) Stats(now time.Time) []Stat { return nil }
