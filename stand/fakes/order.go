package fakes

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// layerRange is a range of layers in the platform's wire format.
type layerRange struct {
	First   int `json:"from"`
	End     int `json:"target"`
	Version int `json:"version"`
}

func (s *Server) serveReport(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	type stalledRequest struct {
		ID      string `json:"id"`
		Address string `json:"address"`
	}
	requests := []stalledRequest{}
	for id, address := range s.stalled {
		requests = append(requests, stalledRequest{id, address})
	}
	writeJSON(w, map[string]any{
		"stage": "both", "busy": s.loading, "sequence": s.orderCount, "born": s.bornMs,
		"layers": layerRange{s.first, s.end, 1}, "stalled": requests,
	})
}

// serveOrder accepts or refuses an order to hold a range of layers or to change a
// chain.
func (s *Server) serveOrder(w http.ResponseWriter, req *http.Request) {
	var order struct {
		Operation string  `json:"operation"`
		First     int     `json:"from"`
		End       int     `json:"target"`
		Expected  *uint64 `json:"expected"`
		ID        string  `json:"id"`
		Path      string  `json:"path"`
	}
	if err := json.NewDecoder(req.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expect := req.Header.Get("X-Expect-Instance"); expect != "" && expect != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if order.Operation == "repath" {
		status, unavailable := s.reroute(order.ID, order.Path)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		if unavailable != "" {
			writeJSON(w, map[string]string{"error": "no such part", "address": unavailable})
		}
		return
	}
	w.WriteHeader(s.assign(order.First, order.End, order.Expected))
}

// assign starts to load a range of layers and returns the HTTP status.
func (s *Server) assign(first, end int, expected *uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.first == first && s.end == end {
		return http.StatusOK
	}
	if s.loading || expected != nil && *expected != s.orderCount {
		return http.StatusConflict
	}
	if float64(end-first)*s.Model.LayerMB > s.MemoryMB {
		s.platform.recordViolation("%s: ordered to hold %d layers", s.ID, end-first)
		return http.StatusBadRequest
	}
	s.orderCount++
	s.loading, s.nextFirst, s.nextEnd = true, first, end
	go s.load(first, end)
	return http.StatusAccepted
}

// unloadInterval is the interval at which a server checks whether streams still pass
// through the layers that it is to give up.
const unloadInterval = 5 * time.Millisecond

// load waits for the streams that pass through the layers which the server gives up, and
// loads the others.
func (s *Server) load(first, end int) {
	for s.platform.passes(s.address, first, end) && !s.Crashed() {
		time.Sleep(unloadInterval)
	}
	time.Sleep(s.LoadTime)
	s.mu.Lock()
	s.first, s.end, s.loading = first, end, false
	s.mu.Unlock()
	if !s.Crashed() {
		// The store rejects no write of a server.
		_ = s.register()
	}
}

// newLayers returns the layers for which the server accepts new requests: not those that
// it gives up.
func (s *Server) newLayers() (first, end int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.loading {
		return s.first, s.end
	}
	return max(s.first, s.nextFirst), min(s.end, s.nextEnd)
}

// reroute changes the chain of a stream in flight and returns the HTTP status. If a server
// of the new chain is unavailable, it returns its address as well.
func (s *Server) reroute(id, path string) (status int, unavailable string) {
	stages, err := parseChain(path)
	if err != nil {
		return http.StatusBadRequest, ""
	}
	s.mu.Lock()
	updates := s.chainUpdates[id]
	s.mu.Unlock()
	if updates == nil {
		return http.StatusNotFound, ""
	}
	s.checkChain(id, path, stages)
	if unavailable := s.unavailableStage(s.platform.newStages(s.ID+"/"+id, stages), (*Server).newLayers); unavailable != "" {
		return http.StatusConflict, unavailable
	}
	s.platform.setStream(s.ID+"/"+id, stages)
	updates <- stages
	return http.StatusAccepted, ""
}

// stage is the range of layers that one server runs in a chain.
type stage struct {
	address    string
	first, end int
}

// parseChain parses "address=first-end,...".
func parseChain(path string) ([]stage, error) {
	var stages []stage
	for item := range strings.SplitSeq(path, ",") {
		address, layers, _ := strings.Cut(item, "=")
		first, end, _ := strings.Cut(layers, "-")
		firstLayer, err := strconv.Atoi(first)
		endLayer, endErr := strconv.Atoi(end)
		if err != nil || endErr != nil {
			return nil, fmt.Errorf("chain %q", path)
		}
		stages = append(stages, stage{address, firstLayer, endLayer})
	}
	return stages, nil
}

// checkChain records a violation if a chain does not run each layer exactly once
// and in order.
func (s *Server) checkChain(id, path string, stages []stage) {
	for _, st := range stages {
		s.platform.recordPassed(id, st.address)
	}
	next := 0
	for _, st := range stages {
		if st.first != next {
			s.platform.recordViolation("%s: chain %s", id, path)
			return
		}
		next = st.end
	}
	if next != s.Model.Layers {
		s.platform.recordViolation("%s: chain %s", id, path)
	}
}

// frozenStage returns the address of the first stage whose server is silent, or "".
func (s *Server) frozenStage(stages []stage) string {
	for _, st := range stages {
		if other := s.platform.liveServer(st.address); other != nil && other.frozenFor() > 0 {
			return st.address
		}
	}
	return ""
}

// unavailableStage returns the address of the first stage whose server has crashed
// or does not hold the layers, or "". layers returns those that count.
func (s *Server) unavailableStage(stages []stage, layers func(*Server) (first, end int)) string {
	for _, st := range stages {
		other := s.platform.liveServer(st.address)
		if other == nil {
			return st.address
		}
		first, end := layers(other)
		if first > st.first || end < st.end {
			return st.address
		}
	}
	return ""
}
