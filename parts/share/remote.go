package share

import (
	"maps"
	"math"
	"slices"
	"time"

	"fuchsiashelf.dev/parts/domain"
)

// report is the latest demand of another entry host.
type report struct {
	domain   domain.Name
	received time.Time
	rows     []reportRow
}

type reportRow struct {
	class *class
	volume
}

// Merge replaces what is known of another entry host with the rows of its message. Nil rows
// are no news, unlike an empty list.
func (t *Tracker) Merge(host string, d domain.Name, rows []Row, now time.Time) {
	if host == t.Self || rows == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &report{domain: d, received: now}
	for _, row := range rows[:min(len(rows), maxRows)] {
		c := t.class(Class{Service: row.Service, Team: row.Team, Rank: row.Rank}, now)
		c.usedAt = now
		v := volume{
			Usage:  Usage{Running: amount(row.Running), Waiting: amount(row.Waiting), Refused: amount(row.Refused)},
			served: amount(row.Served),
		}
		if v.Waiting > 0 || v.Refused > 0 {
			c.service.contendedAt = now
		}
		r.rows = append(r.rows, reportRow{class: c, volume: v})
	}
	if t.reports == nil {
		t.reports = map[string]*report{}
	}
	t.reports[host] = r
}

// maxAmount bounds an amount of work, so that no sum of amounts is infinite.
const maxAmount = 1e15

// amount returns an amount of work within its bounds, and zero if it is not a number.
func amount(f float64) float64 {
	if math.IsNaN(f) || math.IsInf(f, 0) {
		return 0
	}
	return min(max(0, f), maxAmount)
}

// Forget drops what is known of another entry host, which was removed, leaves or has
// restarted.
func (t *Tracker) Forget(host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.reports, host)
}

// addRemote sums up the reports, with a factor for each failure domain. The mutex is held.
func (t *Tracker) addRemote(factors map[domain.Name]float64) {
	for _, s := range t.services {
		for _, c := range s.classes {
			c.remote = volume{}
		}
	}
	for _, r := range t.reports {
		factor := factors[r.domain]
		for _, row := range r.rows {
			row.class.remote.add(row.volume, factor)
		}
	}
}

// expire drops outdated reports. The mutex is held.
func (t *Tracker) expire(now time.Time) {
	for host, r := range t.reports {
		if now.Sub(r.received) > maxAge {
			delete(t.reports, host)
		}
	}
}

// reportFactors returns, for each failure domain, the number of other hosts alive there over the
// number heard from. The mutex is held.
func (t *Tracker) reportFactors(alive map[domain.Name]int) map[domain.Name]float64 {
	heard := map[domain.Name]int{}
	for _, r := range t.reports {
		heard[r.domain]++
	}
	list := map[domain.Name]float64{}
	for d, n := range heard {
		others := alive[d]
		if d == t.Domain {
			others--
		}
		list[d] = float64(max(0, others)) / float64(n)
	}
	return list
}

// TakeRemote yields the work that other hosts have begun for a service since the last call.
func (t *Tracker) TakeRemote(service string, yield func(c Class, work float64)) {
	charges := t.takeCharges(service)
	for _, c := range slices.SortedFunc(maps.Keys(charges), Class.compare) {
		yield(c, charges[c])
	}
}

// takeCharges returns the charges of the classes of a service and resets them.
func (t *Tracker) takeCharges(service string) map[Class]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[service]
	if s == nil {
		return nil
	}
	charges := map[Class]float64{}
	for _, c := range s.classes {
		if c.charge > 0 {
			charges[c.Class] = c.charge
			c.charge = 0
		}
	}
	return charges
}
