package fakes

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Execution is one run of a request on a backend server.
type Execution struct {
	// Request is the caller's attempt ID.
	Request string
	// Server is the ID of the chain's first server, or of the plain server.
	Server string
	// Service is the service of the server.
	Service string
	// Team is the caller's team as the entry host forwarded it.
	Team string
	// Resumed is the Last-Event-Id that a resumed stream continues after.
	Resumed string
	// Chain is the chain as received in X-Hop-Count.
	Chain string
}

// Platform runs the object API and the backend servers.
type Platform struct {
	Store Store
	// Excused reports whether an entry host need not know what a server has told it since
	// a time: it was restarted or frozen, or cut off from the server. Nil means never.
	Excused func(s *Server, h Host, since time.Time) bool

	mu         sync.Mutex
	address    string
	servers    map[string]*Server
	executions []Execution
	violations []string
	// streams holds the stages of each stream, by its first server and its request.
	streams map[string][]stage
	stops   []func()
	// passed holds where each request was passed on to, by ID.
	passed map[string]*passedRequest
	// badParts holds the parts of prompts that crash engines, by ID.
	badParts map[string]*BadPart
	// ending is how the next response to a request ends.
	ending Ending
	// closed is closed by Close, which waits for restarts.
	closed   chan struct{}
	restarts sync.WaitGroup
}

// Start serves the object API on a free port.
func (p *Platform) Start() error {
	address, stop, err := serve(&p.Store)
	if err != nil {
		return err
	}
	p.address = address
	p.stops = append(p.stops, stop)
	return nil
}

// Address returns the address of the object API.
func (p *Platform) Address() string { return p.address }

// Close crashes all servers and stops the object API.
func (p *Platform) Close() {
	close(p.closing())
	p.restarts.Wait()
	p.mu.Lock()
	servers := make([]*Server, 0, len(p.servers))
	for _, s := range p.servers {
		servers = append(servers, s)
	}
	p.mu.Unlock()
	for _, s := range servers {
		s.Crash()
	}
	for _, stop := range p.stops {
		stop()
	}
}

// AddServer starts a server and registers it in the store.
func (p *Platform) AddServer(s *Server) error { return p.startServer(s, firstStart) }

// startServer is AddServer with the start time of the server in Unix milliseconds.
func (p *Platform) startServer(s *Server, bornMs int64) error {
	s.platform = p
	s.bornMs = bornMs
	address, stop, err := serveAt(cmp.Or(s.listen, anyAddress), s)
	if err != nil {
		return err
	}
	s.listen = address
	if s.Proxy != nil {
		if address, err = s.Proxy(address); err != nil {
			stop()
			return err
		}
	}
	s.address, s.stop = address, stop
	p.mu.Lock()
	if p.servers == nil {
		p.servers = map[string]*Server{}
	}
	p.servers[address] = s
	p.mu.Unlock()
	return s.register()
}

// firstStart is the start time of servers that have not been restarted, in Unix
// milliseconds.
const firstStart = 1_700_000_000_000

// excused is Excused, or false if that is nil.
func (p *Platform) excused(s *Server, h Host, since time.Time) bool {
	return p.Excused != nil && p.Excused(s, h, since)
}

// RegisterServers writes the entries of all live servers again, and removes those of the
// others, as heartbeats do within some seconds of a restore.
func (p *Platform) RegisterServers() error {
	p.mu.Lock()
	servers := slices.Collect(maps.Values(p.servers))
	p.mu.Unlock()
	var errs []error
	for _, s := range servers {
		if s.Crashed() {
			p.Store.Delete("servers", s.ID)
			continue
		}
		errs = append(errs, s.Register())
	}
	return errors.Join(errs...)
}

// Executions returns the executions so far, in order.
func (p *Platform) Executions() []Execution {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.executions)
}

// Violations returns errors of the entry hosts that must never occur: chains that
// omit or repeat layers, assignments that exceed a server's memory, and requests beyond
// the rate limit that a server names, in a pause that it asked for, or after it said that
// it leaves.
func (p *Platform) Violations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.violations)
}

// setStream sets the stages of a stream; nil ends it.
func (p *Platform) setStream(key string, stages []stage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.streams == nil {
		p.streams = map[string][]stage{}
	}
	p.streams[key] = stages
	if stages == nil {
		delete(p.streams, key)
	}
}

// newStages returns the stages that a stream does not have yet.
func (p *Platform) newStages(key string, stages []stage) []stage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(stages), func(st stage) bool { return slices.Contains(p.streams[key], st) })
}

// passes reports whether a stream passes through layers of a server other than
// [first, end).
func (p *Platform) passes(address string, first, end int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, stages := range p.streams {
		for _, st := range stages {
			if st.address == address && (st.first < first || st.end > end) {
				return true
			}
		}
	}
	return false
}

func (p *Platform) recordExecution(e Execution) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.executions = append(p.executions, e)
}

func (p *Platform) recordViolation(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.violations = append(p.violations, fmt.Sprintf(format, args...))
}

// liveServer returns the server with an address, or nil if there is none or it
// has crashed.
func (p *Platform) liveServer(address string) *Server {
	p.mu.Lock()
	s := p.servers[address]
	p.mu.Unlock()
	if s == nil || s.Crashed() {
		return nil
	}
	return s
}

// anyAddress is a free port of loopback.
const anyAddress = "127.0.0.1:0"

// serve listens on a free port of loopback.
func serve(h http.Handler) (address string, stop func(), err error) { return serveAt(anyAddress, h) }

// serveAt listens on an address.
func serveAt(listen string, h http.Handler) (address string, stop func(), err error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	go func() {
		// Serve returns once the server is closed.
		_ = server.Serve(listener)
	}()
	return listener.Addr().String(), func() { _ = server.Close() }, nil
}
