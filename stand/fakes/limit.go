package fakes

import (
	"strconv"
	"time"
)

// What a server tolerates beyond the rate that it names.
const (
	// limitNotice is how long after it first named a rate it tolerates any number of
	// requests.
	limitNotice = 3 * time.Second
	// In any limitWindow it tolerates limitRatio times as many requests as the rate
	// allows, and limitSlack more.
	limitWindow = 4 * time.Second
	limitRatio  = 1.5
	limitSlack  = 5
)

// rateLimit is the rate that a server names, and the requests that it got since.
type rateLimit struct {
	// rate is in requests per second.
	rate  float64
	since time.Time
	// arrivals holds the times of the requests in the last limitWindow, and all is the
	// number of all requests that count.
	arrivals []time.Time
	all      int
	// exceeded is set once the limit has been exceeded.
	exceeded bool
}

// NameLimit makes the server name a rate limit, in requests per second, in all its
// responses. It records a violation if it gets many more requests from all entry hosts
// together.
func (s *Server) NameLimit(rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = &rateLimit{rate: rate, since: time.Now()}
}

// EndLimit makes the server name no limit any more.
func (s *Server) EndLimit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = nil
}

// Limited returns how many requests the server got that count against its limit.
func (s *Server) Limited() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit == nil {
		return 0
	}
	return s.limit.all
}

// countArrival counts a request against the limit, if the server names one, and returns
// the value of the header that names it.
func (s *Server) countArrival(now time.Time) (header string, limited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.limit
	if l == nil {
		return "", false
	}
	header = strconv.FormatFloat(l.rate, 'f', -1, 64)
	if now.Sub(l.since) < limitNotice {
		return header, true
	}
	for len(l.arrivals) > 0 && now.Sub(l.arrivals[0]) >= limitWindow {
		l.arrivals = l.arrivals[1:]
	}
	l.arrivals = append(l.arrivals, now)
	l.all++
	if allowed := limitRatio*l.rate*limitWindow.Seconds() + limitSlack; float64(len(l.arrivals)) > allowed && !l.exceeded {
		l.exceeded = true
		s.platform.recordViolation("%s: %d requests in %s, allowed %.0f", s.ID, len(l.arrivals), limitWindow, allowed)
	}
	return header, true
}
