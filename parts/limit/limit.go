// Package limit shares the request rates that backend servers name between the entry
// hosts.
//
// A server in need names in its responses the rate of requests that it takes from all
// entry hosts together, for as long as its responses say so. Each entry host has a
// [Tracker], which allows it a share of each rate. The shares follow the demand of the
// hosts: how often each of them would choose the server if it named no rate. Hosts
// exchange their demands in reports. A host counts a demand that it does not know as
// the whole rate, and its own at what it has reported for a while. So the shares add
// up to the rate or less, also while hosts know different things.
//
// The latest response of a server counts, and responses on different connections may
// overtake each other. So a response that names a rate counts as of when it was
// received, and one that names none as of when its request was sent.
package limit

import (
	"log/slog"
	"sync"
	"time"
)

const (
	// minRate is the lowest rate that is applied, in requests per second. A request
	// every few seconds detects the end of a limit of zero.
	minRate = 0.2
	// burstTime is how long unused requests of a share accumulate, but at least until
	// they make one request.
	burstTime = 250 * time.Millisecond
	// transitTolerance is the largest extension of the age of a limit that is
	// attributed to the transit time of reports, and ignored. If transit times added
	// up, an ended limit would return.
	transitTolerance = 300 * time.Millisecond
	// limitedTTL is how long a limit counts that no response confirms, and endedTTL how
	// long the end of a limit is reported.
	limitedTTL = time.Minute
	endedTTL   = 15 * time.Second
	// maxWait bounds the time until the next request is allowed, as returned by Wait.
	maxWait = 5 * time.Second
)

// Response is what a response of a server says about its rate limit.
type Response struct {
	// Limited says that the response names a rate, and Rate is that rate in requests
	// per second.
	Limited bool
	Rate    float64
	// Ran says that the server ran the request. A response to one that it refused
	// does not end a limit.
	Ran bool
	// SentAt is when the request was sent, and ReceivedAt when the header of the
	// response was received.
	SentAt, ReceivedAt time.Time
}

// Tracker tracks the rate limits of servers and this entry host's shares of them. Set
// the exported fields before use. It is safe for concurrent use.
type Tracker struct {
	// Self is the name of this entry host.
	Self string
	// Hosts returns the names of the other entry hosts that may send requests. complete
	// says that no others exist; until then, this host has no share.
	Hosts func() (names []string, complete bool)
	// OnChange is called after a response has changed what is known of a limit.
	OnChange func()
	Log      *slog.Logger

	mu      sync.Mutex
	servers map[string]*server
	ticks   ticker
}

// server is what is known of the rate limit of one server and of the demand for it.
type server struct {
	limited bool
	// rate is the limit in requests per second.
	rate float64
	// observedAt is the time as of which limited and rate are known.
	observedAt time.Time
	// own is the demand of this entry host, and demands holds those of others by host.
	own     meter
	demands map[string]demand
	// share is the rate at which this entry host may send requests, and credit the
	// number that it may send now, as of creditAt.
	share    float64
	credit   float64
	creditAt time.Time
}

// Observe records what a response of a server says about its rate limit.
func (t *Tracker) Observe(id string, r Response) {
	if t.observe(id, r) {
		t.OnChange()
	}
}

// observe is Observe, and reports whether what was known has changed.
func (t *Tracker) observe(id string, r Response) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, known := t.servers[id]
	if !r.Limited {
		if !known || !s.limited || !r.Ran || !r.SentAt.After(s.observedAt) {
			return false
		}
		t.end(id, s, r.SentAt)
		return true
	}
	s = t.server(id)
	changed = !s.limited || s.rate != r.Rate
	t.begin(id, s, r.Rate, r.ReceivedAt)
	return changed
}

// server returns what is known of a server, adding it if needed. The mutex is held.
func (t *Tracker) server(id string) *server {
	if t.servers == nil {
		t.servers = map[string]*server{}
	}
	s := t.servers[id]
	if s == nil {
		s = &server{}
		t.servers[id] = s
	}
	return s
}

// begin records that a server names a rate. The mutex is held.
func (t *Tracker) begin(id string, s *server, rate float64, at time.Time) {
	if s.limited && s.rate == rate {
		s.observedAt = at
		return
	}
	if !s.limited {
		s.credit, s.creditAt = 0, at
	}
	s.limited, s.rate, s.observedAt = true, rate, at
	t.updateShare(s)
	t.Log.Info("limit: named", "server", id, "rate", rate, "share", s.share)
}

// end records that a server names no rate any more. The mutex is held.
func (t *Tracker) end(id string, s *server, at time.Time) {
	s.limited, s.observedAt = false, at
	t.Log.Info("limit: ended", "server", id)
}

// Take reports whether a request may be sent to a server now, and counts it. A request
// that may not be sent counts as demand only.
func (t *Tracker) Take(id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.server(id)
	s.own.count++
	if !s.limited {
		return true
	}
	s.refill(now)
	if s.credit < 1 {
		return false
	}
	s.credit--
	return true
}

// Return takes back a request that Take allowed and that was not sent.
func (t *Tracker) Return(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[id]; s != nil && s.limited {
		s.credit = min(s.credit+1, s.burst())
	}
}

// Wait returns how long it takes until a request may be sent to one of the servers, at
// most maxWait.
func (t *Tracker) Wait(ids []string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	wait := maxWait
	for _, id := range ids {
		wait = min(wait, t.servers[id].wait(now))
	}
	return wait
}

// wait returns how long it takes until a request may be sent to the server. Nothing is
// known of a nil server.
func (s *server) wait(now time.Time) time.Duration {
	if s == nil || !s.limited {
		return 0
	}
	s.refill(now)
	missing := max(0, 1-s.credit)
	if missing >= s.share*maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(missing / s.share * float64(time.Second))
}

// refill adds the requests that have become allowed since the last call.
func (s *server) refill(now time.Time) {
	if elapsed := now.Sub(s.creditAt).Seconds(); elapsed > 0 {
		s.credit = min(s.credit+elapsed*s.share, s.burst())
		s.creditAt = now
	}
}

// burst returns the number of requests that may be sent at once.
func (s *server) burst() float64 {
	if s.share <= 0 {
		return 0
	}
	return max(1, s.share*burstTime.Seconds())
}

// Limited returns the number of servers whose rate is limited.
func (t *Tracker) Limited() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.servers {
		if s.limited {
			n++
		}
	}
	return n
}

// Sweep updates the shares, and drops servers without demand and limits that are old.
func (t *Tracker) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ticks := t.ticks.advance(now)
	for id, s := range t.servers {
		s.own.advance(ticks)
		if s.limited && now.Sub(s.observedAt) > limitedTTL {
			t.end(id, s, now)
		}
		if !s.limited && s.own.idle() && now.Sub(s.observedAt) > endedTTL {
			delete(t.servers, id)
			continue
		}
		if s.limited {
			s.refill(now)
			t.updateShare(s)
		}
	}
}
