package fakes

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// stream answers with as many events as the request asks for.
func (r *Server) stream(w http.ResponseWriter, req *http.Request, id string) {
	path := req.Header.Get("X-Hop-Count")
	parts, err := parse(path)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.check(id, path, parts)
	if at := r.broken(parts); at != "" {
		w.Header().Del("X-Server-Signature")
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("At-Server", at)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	change := make(chan []part, 1)
	r.join(id, change)
	defer r.leave(id)
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
	flush := http.NewResponseController(w)
	for n := from + 1; n <= events; n++ {
		if parts = r.wait(req, id, parts, change); parts == nil {
			return
		}
		if r.cut(n) {
			fmt.Fprintf(w, "id: %d\nda", n)
			_ = flush.Flush()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", n, id, n)
		if flush.Flush() != nil {
			return
		}
	}
}

func (r *Server) cut(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cutAfter == 0 || n <= r.cutAfter {
		return false
	}
	r.cutAfter = 0
	return true
}

// wait waits for the next event. While a server of the chain is dead, the
// request stalls until its chain is changed.
func (r *Server) wait(req *http.Request, id string, parts []part, change chan []part) []part {
	for {
		at := r.broken(parts)
		r.stall(id, at)
		step := time.After(r.StepTime)
		if at != "" {
			step = nil
		}
		select {
		case <-req.Context().Done():
			return nil
		case parts = <-change:
		case <-step:
			return parts
		case <-time.After(100 * time.Millisecond):
			if at == "" {
				return parts
			}
		}
	}
}

func (r *Server) stall(id, at string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stalled == nil {
		r.stalled = map[string]string{}
	}
	if at == "" {
		delete(r.stalled, id)
		return
	}
	r.stalled[id] = at
}

func (r *Server) join(id string, change chan []part) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.chains == nil {
		r.chains = map[string]chan []part{}
	}
	r.chains[id] = change
}

func (r *Server) leave(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.chains, id)
	delete(r.stalled, id)
}
