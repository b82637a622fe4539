package fakes

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// headerTime bounds the reading of a header.
const headerTime = 5 * time.Second

// CrashBody in the body of a request crashes each server that runs it.
const CrashBody = "crash"

// Model is what an engine runs.
type Model struct {
	Layers  int
	LayerMB float64
}

// Server is a backend server. Set the exported fields before World.Add.
type Server struct {
	ID, Service, Zone string
	Slots             int
	// Model is nil for a plain service.
	Model *Model
	// Kind is that of the accelerator, MemoryMB its memory.
	Kind     string
	MemoryMB float64
	// StepTime is the time between two events.
	StepTime time.Duration
	// LoadTime is how long an order takes.
	LoadTime time.Duration
	// Proxy puts something in front of the server's address, for example a
	// proxy, and returns the address that others see; nil for nothing.
	Proxy func(address string) (string, error)

	world   *Platform
	address string
	stop    func()

	mu         sync.Mutex
	first, end int
	orders     uint64
	busy       bool
	draining   bool
	gone       bool
	stalled    map[string]string
	chains     map[string]chan []part
	loseAnswer int
	refuse     int
	fail       int
	cutAfter   int
}

// Address is where the server listens.
func (r *Server) Address() string { return r.address }

// Layers returns the layers that the server holds.
func (r *Server) Layers() (first, end int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.first, r.end
}

// Crash ends the server without a word; its entry stays.
func (r *Server) Crash() {
	r.mu.Lock()
	gone := r.gone
	r.gone = true
	r.mu.Unlock()
	if !gone {
		r.stop()
	}
}

func (r *Server) dead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gone
}

// Drain makes the server say that it is leaving.
func (r *Server) Drain() error {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	return r.beat()
}

// DropAnswers makes the server run the next requests and close their
// connections without an answer.
func (r *Server) DropAnswers(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loseAnswer = n
}

// RefuseNext makes the server refuse the next requests.
func (r *Server) RefuseNext(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuse = n
}

// TruncateAfter makes the server break its next stream off in the midst of the
// event after the given number.
func (r *Server) TruncateAfter(events int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutAfter = events
}

// FailNext makes the server answer the next requests with 500.
func (r *Server) FailNext(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fail = n
}

// beat writes the server's entry.
func (r *Server) beat() error {
	r.mu.Lock()
	entry := map[string]any{
		"service": r.Service, "address": r.address, "zone": r.Zone, "version": "v1", "slots": r.Slots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": 1_700_000_000_000,
	}
	if r.draining {
		entry["state"] = "draining"
	}
	if r.Model != nil {
		entry["kind"] = r.Kind
		entry["layers"] = layersBody{r.first, r.end, 1}
	}
	r.mu.Unlock()
	return r.world.Store.Put("servers", r.ID, entry)
}

// ServeHTTP implements http.Handler.
func (r *Server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	switch {
	case req.URL.Path == "/report":
		r.report(w)
	case req.URL.Path == "/order":
		r.order(w, req)
	case req.URL.Path == "/health":
		w.Header().Set("X-Instance-Id", r.ID)
	default:
		r.request(w, req)
	}
}

// request runs a caller's request.
func (r *Server) request(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if expect := req.Header.Get("X-Expect-Instance"); expect != "" && expect != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.take(&r.refuse) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	r.world.note(Execution{
		Request: id, Server: r.ID, Service: r.Service, Team: req.Header.Get("X-Tenant"),
		Resumed: req.Header.Get("Last-Event-Id"), Chain: req.Header.Get("X-Hop-Count"),
	})
	if strings.Contains(string(body), CrashBody) {
		r.Crash()
		panic(http.ErrAbortHandler)
	}
	if r.take(&r.loseAnswer) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Server-Signature", "sig-"+id)
	if r.take(&r.fail) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if r.Model == nil {
		fmt.Fprintf(w, "%s %s %d bytes for %s\n", req.Method, req.RequestURI, len(body), id)
		return
	}
	r.stream(w, req, id)
}

// take counts one of the next requests down.
func (r *Server) take(n *int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if *n <= 0 {
		return false
	}
	*n--
	return true
}
