package fakes

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
)

// Execution is one run of a request on a server.
type Execution struct {
	// Request is the ID that the caller gave the attempt.
	Request string
	// Server is the first server that ran it.
	Server string
	// Service is what the server serves.
	Service string
	// Team is what the entry host told of the caller.
	Team string
	// Resumed is the event that it went on behind.
	Resumed string
	// Chain is the chain of servers, as it came.
	Chain string
}

// Platform is the platform with its servers.
type Platform struct {
	Store Store

	mu      sync.Mutex
	address string
	runners map[string]*Server
	runs    []Execution
	wrong   []string
	closers []func()
}

// Start begins to serve the object API.
func (w *Platform) Start() error {
	address, stop, err := serve(&w.Store)
	if err != nil {
		return err
	}
	w.address = address
	w.closers = append(w.closers, stop)
	return nil
}

// Address is that of the object API.
func (w *Platform) Address() string { return w.address }

// Close ends everything.
func (w *Platform) Close() {
	w.mu.Lock()
	runners := make([]*Server, 0, len(w.runners))
	for _, r := range w.runners {
		runners = append(runners, r)
	}
	w.mu.Unlock()
	for _, r := range runners {
		r.Crash()
	}
	for _, stop := range w.closers {
		stop()
	}
}

// AddServer starts a server.
func (w *Platform) AddServer(r *Server) error {
	r.world = w
	address, stop, err := serve(r)
	if err != nil {
		return err
	}
	if r.Proxy != nil {
		if address, err = r.Proxy(address); err != nil {
			stop()
			return err
		}
	}
	r.address, r.stop = address, stop
	w.mu.Lock()
	if w.runners == nil {
		w.runners = map[string]*Server{}
	}
	w.runners[address] = r
	w.mu.Unlock()
	return r.beat()
}

// Executions returns what ran, in order.
func (w *Platform) Executions() []Execution {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.runs)
}

// Violations returns what must never happen: chains that leave out layers or run
// them twice, orders beyond the memory.
func (w *Platform) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.wrong)
}

func (w *Platform) note(r Execution) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, r)
}

func (w *Platform) fault(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wrong = append(w.wrong, fmt.Sprintf(format, args...))
}

// at returns the living server with an address, or nil.
func (w *Platform) at(address string) *Server {
	w.mu.Lock()
	r := w.runners[address]
	w.mu.Unlock()
	if r == nil || r.dead() {
		return nil
	}
	return r
}

// serve listens on a free port of loopback.
func serve(h http.Handler) (address string, stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTime}
	go func() {
		// It ends with the listener.
		_ = server.Serve(l)
	}()
	return l.Addr().String(), func() { _ = server.Close() }, nil
}
