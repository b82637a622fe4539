package fakes

import (
	"slices"
	"time"
)

// passedRequest records where a request was passed on to.
type passedRequest struct {
	servers  []*Server
	brokeOff bool
	work     Work
}

// Work is what servers have done for a request.
type Work struct {
	// Arrived is when the request last reached a server, and Ended when a server last ceased to work
	// on it.
	Arrived, Ended time.Time
	// Active is the number of servers that work on it.
	Active int
}

// Work returns what servers have done for a request until now.
func (p *Platform) Work(request string) Work {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.passed[request]; r != nil {
		return r.work
	}
	return Work{}
}

// beginWork records that a request has reached a server, until end is called.
func (p *Platform) beginWork(request string) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	work := &p.passedRequest(request).work
	work.Arrived = time.Now()
	work.Active++
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		work.Ended = time.Now()
		work.Active--
	}
}

// Passed returns the servers that a request was passed on to, those of its chains among them,
// and whether one of them broke off its response.
func (p *Platform) Passed(request string) (servers []*Server, brokeOff bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.passed[request]
	if r == nil {
		return nil, false
	}
	return slices.Clone(r.servers), r.brokeOff
}

// recordPassed records that a request was passed on to the servers at the given addresses.
func (p *Platform) recordPassed(request string, addresses ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.passedRequest(request)
	for _, address := range addresses {
		if s := p.servers[address]; s != nil && !slices.Contains(r.servers, s) {
			r.servers = append(r.servers, s)
		}
	}
}

// recordBrokenOff records that a server broke off its response to a request.
func (p *Platform) recordBrokenOff(request string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.passedRequest(request).brokeOff = true
}

// passedRequest returns the record of a request. The caller holds the mutex.
func (p *Platform) passedRequest(request string) *passedRequest {
	if p.passed == nil {
		p.passed = map[string]*passedRequest{}
	}
	if p.passed[request] == nil {
		p.passed[request] = &passedRequest{}
	}
	return p.passed[request]
}

// SilentSince reports whether Freeze made the server silent at any time since t.
func (s *Server) SilentSince(t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.frozenUntil.After(t)
}
