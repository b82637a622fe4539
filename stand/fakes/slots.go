package fakes

// enter waits for a slot of a plain server that has a queue. It reports whether there was one, or a
// place in the queue.
func (s *Server) enter() bool {
	if s.Model != nil || s.Queue == 0 {
		return true
	}
	s.mu.Lock()
	s.arrivals++
	if s.inside >= s.Slots+s.Queue {
		s.turnedAway++
		s.mu.Unlock()
		return false
	}
	s.inside++
	if s.slots == nil {
		s.slots = make(chan struct{}, s.Slots)
	}
	slots := s.slots
	s.mu.Unlock()
	slots <- struct{}{}
	return true
}

// leave ends what enter began.
func (s *Server) leave() {
	if s.Model != nil || s.Queue == 0 {
		return
	}
	<-s.slots
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inside--
}

// Arrivals returns the number of calls that arrived at a plain server with a queue, and of those
// that it refused for lack of a slot.
func (s *Server) Arrivals() (arrived, turnedAway int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals, s.turnedAway
}
