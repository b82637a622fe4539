package share

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fuchsiashelf.dev/parts/domain"
)

// maxRates bounds the rates of a message.
const maxRates = 16

// Rate is the demand for a service at one entry host in a message. Unlike a [Row] it is sent
// whether the service is contended or not. The names of its fields are part of the encoding.
type Rate struct {
	Service string
	// Served and Refused are the work begun and refused per second.
	Served, Refused float64
}

// add adds another rate times a factor.
func (r *Rate) add(o Rate, factor float64) {
	r.Served += factor * o.Served
	r.Refused += factor * o.Refused
}

// demand returns the work per second that is asked for. Callers that repeat at once are
// refused many times for the same work, so what is refused counts at most as much as what is
// served. Work that waits counts once it begins or is refused.
func (r Rate) demand() float64 { return r.Served + min(r.Refused, r.Served) }

// rateReport holds the latest rates of another entry host.
type rateReport struct {
	domain   domain.Name
	received time.Time
	rates    []Rate
}

// Rates returns the rates for the next message, the largest first. The list is never nil,
// which would be no news.
func (t *Tracker) Rates(now time.Time) []Rate {
	t.mu.Lock()
	defer t.mu.Unlock()
	rates := t.ownRates(now)
	slices.SortFunc(rates, func(a, b Rate) int {
		return cmp.Or(cmp.Compare(b.demand(), a.demand()), cmp.Compare(a.Service, b.Service))
	})
	return rates[:min(len(rates), maxRates)]
}

// ownRates returns the rates of this entry host. The mutex is held.
func (t *Tracker) ownRates(now time.Time) []Rate {
	rates := []Rate{}
	for name, s := range t.services {
		r := Rate{Service: name}
		for _, c := range s.classes {
			v := c.own(now)
			r.add(Rate{Served: v.served, Refused: v.Refused}, 1)
		}
		if r.Served+r.Refused > 0 {
			rates = append(rates, r)
		}
	}
	return rates
}

// MergeRates replaces what is known of the rates of another entry host with those of its
// message. Nil rates are no news, unlike an empty list.
func (t *Tracker) MergeRates(host string, d domain.Name, rates []Rate, now time.Time) {
	if host == t.Self || rates == nil {
		return
	}
	r := rateReport{domain: d, received: now}
	for _, rate := range rates[:min(len(rates), maxRates)] {
		r.rates = append(r.rates, Rate{Service: rate.Service, Served: amount(rate.Served), Refused: amount(rate.Refused)})
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rates == nil {
		t.rates = map[string]rateReport{}
	}
	t.rates[host] = r
}

// sampleRates records the demand of the failure domains that reports have come from. What
// some hosts of a domain say stands for all hosts alive there. The mutex is held.
func (t *Tracker) sampleRates(alive map[domain.Name]int, now time.Time) {
	maps.DeleteFunc(t.rates, func(_ string, r rateReport) bool { return now.Sub(r.received) > maxAge })
	heard := map[domain.Name]int{}
	for _, r := range t.rates {
		heard[r.domain]++
	}
	sums := map[string]map[domain.Name]Rate{}
	add := func(d domain.Name, r Rate, factor float64) {
		if sums[r.Service] == nil {
			sums[r.Service] = map[domain.Name]Rate{}
		}
		sum := sums[r.Service][d]
		sum.add(r, factor)
		sums[r.Service][d] = sum
	}
	for _, r := range t.rates {
		others := alive[r.domain]
		if r.domain == t.Domain {
			others--
		}
		for _, rate := range r.rates {
			add(r.domain, rate, float64(max(0, others))/float64(heard[r.domain]))
		}
	}
	if alive[t.Domain] <= 1 || heard[t.Domain] > 0 {
		heard[t.Domain]++
		for _, r := range t.ownRates(now) {
			add(t.Domain, r, 1)
		}
	}
	t.recordDemand(sums, heard, now)
}

// recordDemand adds a sample to the history of each service and each failure domain heard
// from, and drops histories without demand. The mutex is held.
func (t *Tracker) recordDemand(sums map[string]map[domain.Name]Rate, heard map[domain.Name]int, now time.Time) {
	if t.histories == nil {
		t.histories = map[string]map[domain.Name]*history{}
	}
	for service := range sums {
		if t.histories[service] == nil {
			t.histories[service] = map[domain.Name]*history{}
		}
	}
	for service, byDomain := range t.histories {
		for d := range heard {
			if byDomain[d] == nil {
				byDomain[d] = &history{}
			}
			byDomain[d].add(sums[service][d].demand(), now)
		}
		maps.DeleteFunc(byDomain, func(_ domain.Name, h *history) bool { return h.outdated(now) })
		idle := !slices.ContainsFunc(slices.Collect(maps.Values(byDomain)), func(h *history) bool { return h.demand(now).Max > 0 || !h.settled(now) })
		if sums[service] == nil && idle {
			delete(t.histories, service)
		}
	}
}

// Demand returns the demand for a service by failure domain, as of the last sweep. Domains
// whose demand has been received for less than 3 s are left out.
func (t *Tracker) Demand(service string, now time.Time) map[domain.Name]Demand {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := map[domain.Name]Demand{}
	for d, h := range t.histories[service] {
		if !h.outdated(now) && h.settled(now) {
			list[d] = h.demand(now)
		}
	}
	return list
}
