package fakes

import (
	"cmp"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// serveStream streams the requested number of events. With Last-Event-Id it
// starts with the event after that.
func (s *Server) serveStream(w http.ResponseWriter, req *http.Request, id string) {
	path := req.Header.Get("X-Hop-Count")
	stages, err := parseChain(path)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.checkChain(id, path, stages)
	updates := make(chan []stage, 1)
	s.addChain(id, updates)
	defer s.removeChain(id)
	s.platform.setStream(s.ID+"/"+id, stages)
	defer s.platform.setStream(s.ID+"/"+id, nil)
	var prompt, events int
	if _, err := fmt.Sscanf(req.Header.Get("X-Token-Counts"), "%d,%d", &prompt, &events); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	from := 0
	if last := req.Header.Get("Last-Event-Id"); last != "" {
		if from, err = strconv.Atoi(last); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	w.Header().Set("Content-Type", "text/event-stream")
	ending := s.platform.takeEnding(w.Header())
	controller := http.NewResponseController(w)
	for n := from + 1; n <= events; n++ {
		if stages = s.waitStep(req, id, stages, updates); stages == nil {
			return
		}
		s.waitFrozen()
		if n == from+1 && s.crashOnPart(req, controller) {
			panic(http.ErrAbortHandler)
		}
		if s.endsEarly(w, ending, n, events) {
			return
		}
		if s.truncates(n) {
			s.platform.recordBrokenOff(id)
			fmt.Fprintf(w, "id: %d\nda", n)
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", n, id, n)
		if controller.Flush() != nil {
			return
		}
	}
}

// refuseChain refuses a request if a server of its chain is unavailable. The request does
// not run then.
func (s *Server) refuseChain(w http.ResponseWriter, path string) bool {
	stages, err := parseChain(path)
	if err != nil {
		return false
	}
	unavailable := s.unavailableStage(stages, (*Server).newLayers)
	if unavailable == "" {
		return false
	}
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("At-Server", unavailable)
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// truncates reports whether the stream breaks off at event n, once for each
// TruncateAfter.
func (s *Server) truncates(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.truncateAfter == 0 || n <= s.truncateAfter {
		return false
	}
	s.truncateAfter = 0
	return true
}

// waitStep waits until the next event is due and returns the current stages of the
// chain, or nil if the client closed the connection. While the server of a stage
// is unavailable or silent, the request stalls until its chain is changed.
func (s *Server) waitStep(req *http.Request, id string, stages []stage, updates chan []stage) []stage {
	for {
		unavailable := cmp.Or(s.unavailableStage(stages, (*Server).Layers), s.frozenStage(stages))
		s.setStalled(id, unavailable)
		due := time.After(s.StepTime)
		if unavailable != "" {
			due = nil
		}
		select {
		case <-req.Context().Done():
			return nil
		case stages = <-updates:
		case <-due:
			return stages
		case <-time.After(100 * time.Millisecond):
			if unavailable == "" {
				return stages
			}
		}
	}
}

// setStalled records the address of the unavailable server that a request waits
// for; an empty address clears it.
func (s *Server) setStalled(id, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stalled == nil {
		s.stalled = map[string]string{}
	}
	if address == "" {
		delete(s.stalled, id)
		return
	}
	s.stalled[id] = address
}

func (s *Server) addChain(id string, updates chan []stage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.chainUpdates == nil {
		s.chainUpdates = map[string]chan []stage{}
	}
	s.chainUpdates[id] = updates
}

func (s *Server) removeChain(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.chainUpdates, id)
	delete(s.stalled, id)
}
