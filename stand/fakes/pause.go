package fakes

import (
	"net/http"
	"strings"
	"time"
)

// What a server tolerates from an entry host that it has asked for a pause, or told that
// it leaves.
const (
	// pauseNotice is how long after the response the pause is not enforced: requests may
	// be on their way.
	pauseNotice = 500 * time.Millisecond
	// pauseSlack is how many requests may arrive in the rest of the pause.
	pauseSlack = 2
	// leavingNotice is how long after the first response that says so an entry host may
	// send requests to a server that leaves.
	leavingNotice = 2 * time.Second
)

// Host identifies the entry host that sent a request. By default, all requests count as
// those of one entry host.
type Host string

// hostSeparator precedes the name of the entry host in the IDs of requests.
const hostSeparator = "@"

// RequestID returns the ID of a request that is sent through an entry host. A server
// identifies the host by it.
func RequestID(name string, h Host) string { return name + hostSeparator + string(h) }

// hostOf returns the entry host that sent a request. Requests for reports and orders do
// not identify it, and count for the host with the empty name.
func hostOf(req *http.Request) Host {
	_, h, _ := strings.Cut(req.Header.Get("X-Attempt-Id"), hostSeparator)
	return Host(h)
}

// pauseWindow is the time for which a server has asked an entry host for a pause, from
// the end of the notice.
type pauseWindow struct {
	host        Host
	from, until time.Time
	arrivals    int
}

// pauseRequest is what a server answers to requests that it refuses with Retry-After.
type pauseRequest struct {
	// left is the number of requests that the server still refuses so, retryAfter the
	// value of the header, and length its meaning.
	left       int
	retryAfter string
	length     time.Duration
	// control says that reports and orders are refused as well.
	control bool
}

// PauseNext makes the server answer its next n requests with 503, which they do not run,
// and the given Retry-After, which means the given time; zero if it means none. It
// records a violation if an entry host that got such a response does not keep to it.
func (s *Server) PauseNext(n int, retryAfter string, length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pause = pauseRequest{left: n, retryAfter: retryAfter, length: length}
}

// PauseNextControl is PauseNext for requests of all kinds, also those for reports and
// orders.
func (s *Server) PauseNextControl(n int, retryAfter string, length time.Duration) {
	s.PauseNext(n, retryAfter, length)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pause.control = true
}

// Pauses returns how many responses have asked for a pause, and how many requests arrived
// in these pauses after their notice.
func (s *Server) Pauses() (asked, arrivals int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pausesAsked, s.pausesBroken
}

// countPaused counts a request against the pauses that the server has asked its host for.
func (s *Server) countPaused(h Host, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.pauseWindows {
		if w.host != h || now.Before(w.from) || now.After(w.until) {
			continue
		}
		w.arrivals++
		s.pausesBroken++
		if w.arrivals == pauseSlack+1 && !s.platform.excused(s, h, w.from.Add(-pauseNotice)) {
			s.platform.recordViolation("%s: %d requests from %q in a pause of %s that ends in %s", s.ID, w.arrivals, h, w.until.Sub(w.from)+pauseNotice, w.until.Sub(now))
		}
	}
}

// refusePaused refuses a request with Retry-After, if the server does so now.
func (s *Server) refusePaused(w http.ResponseWriter, h Host, control bool, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pause.left <= 0 || control && !s.pause.control {
		return false
	}
	s.pause.left--
	s.pausesAsked++
	if s.pause.length > pauseNotice {
		s.pauseWindows = append(s.pauseWindows, &pauseWindow{host: h, from: now.Add(pauseNotice), until: now.Add(s.pause.length)})
	}
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("Retry-After", s.pause.retryAfter)
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// SayLeaving makes the server say in all its responses that it leaves, while its entry
// does not. It records a violation if an entry host that was told so sends it requests.
func (s *Server) SayLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saysLeaving, s.leavingIgnored = true, false
	s.toldLeaving = map[Host]time.Time{}
}

// ToldLeaving returns how many entry hosts the server has told that it leaves.
func (s *Server) ToldLeaving() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.toldLeaving)
}

// sayLeaving sets the header that says that the server leaves, and counts a request of a
// host that was told so before.
func (s *Server) sayLeaving(header http.Header, h Host, control bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.saysLeaving {
		return
	}
	header.Set("Server-Leaving", "1")
	told, known := s.toldLeaving[h]
	if !known {
		s.toldLeaving[h] = now
		return
	}
	if !control && now.Sub(told) > leavingNotice && !s.leavingIgnored && !s.platform.excused(s, h, told) {
		s.leavingIgnored = true
		s.platform.recordViolation("%s: a request from %q %s after it was told that the server leaves", s.ID, h, now.Sub(told))
	}
}

// Restart makes the server start again under its ID and address. It holds no layers, and
// what it said before does not apply to it.
func (s *Server) Restart() error {
	s.mu.Lock()
	s.bornMs = time.Now().UnixMilli()
	s.first, s.end, s.orderCount, s.writes = 0, 0, 0, 0
	s.draining, s.saysLeaving = false, false
	s.pause, s.pauseWindows = pauseRequest{}, nil
	s.mu.Unlock()
	return s.register()
}
