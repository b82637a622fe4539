// Package fleet holds the known state of the backend servers: which exist,
// which layers each holds, which are leaving, and which are suspected of having
// failed.
//
// A [View] is immutable; a request uses one from start to end.
package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"fuchsiashelf.dev/parts/domain"
)

// Server is one incarnation of a backend server.
type Server struct {
	// ID identifies the incarnation; it changes with most restarts.
	ID string
	// Service is the name of the service, and Address the address to connect
	// to.
	Service string
	Address string
	Domain  domain.Name
	// Accelerator is the kind of accelerator, if it has one.
	Accelerator string
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// First and End are the range [First, End) of the layers that it holds;
	// both are zero if it holds none.
	First, End int
	// MemoryLayers is the number of layers that occupy its memory: those that
	// it holds, unloads and loads.
	MemoryLayers int
	// SlowdownFactor is the ratio of its processing time to the usual one; zero
	// means the usual one.
	SlowdownFactor float64
	// AwaitsReload reports whether it is to load layers that it does not hold
	// yet and has to wait for requests that use the layers it unloads.
	AwaitsReload bool
	// StartedAt is its start time. A server with a known ID and a later start
	// time is a new incarnation.
	StartedAt time.Time
	// EntryWrites is the number of times that it has written its entry since its start.
	EntryWrites uint64
	// Leaving servers get no new requests.
	Leaving bool
	// Suspected servers have recently failed requests and get new ones only if
	// there is no other server.
	Suspected bool
	// Silent servers are suspected but accept connections, and have not answered for
	// less than the time that a load of their layers takes. Their processes may be
	// paused, and still hold their layers.
	Silent bool
}

// Lost reports whether the server counts as lost with the layers that it held.
func (s *Server) Lost() bool {
	return s.Suspected && !s.Silent
}

// LayerCount returns the number of layers that the server holds.
func (s *Server) LayerCount() int {
	return s.End - s.First
}

// View is the known state at one moment.
type View struct {
	// Servers holds all known servers, ordered by service and ID. They are
	// immutable: views share those that did not change.
	Servers []*Server

	index *index
}

// index maps keys to positions in View.Servers. Views of the same servers share
// one.
type index struct {
	byID, byAddress map[string]int
	// byService holds the half-open range of a service's servers.
	byService map[string][2]int
}

// New returns a view of the servers. A server whose address a newer one uses is
// left out: it has ended, even if its entry still exists.
func New(servers []*Server) *View {
	servers = newestPerAddress(servers)
	slices.SortFunc(servers, func(a, b *Server) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.ID, b.ID))
	})
	idx := &index{
		byID: make(map[string]int, len(servers)), byAddress: make(map[string]int, len(servers)), byService: map[string][2]int{},
	}
	for i, s := range servers {
		idx.byID[s.ID], idx.byAddress[s.Address] = i, i
		at, known := idx.byService[s.Service]
		if !known {
			at[0] = i
		}
		idx.byService[s.Service] = [2]int{at[0], i + 1}
	}
	return &View{Servers: servers, index: idx}
}

// WithStates returns a view of the same servers with other states: each must
// have the same position, ID, service and address as in v. It costs far less
// than New.
func (v *View) WithStates(servers []*Server) *View {
	return &View{Servers: servers, index: v.index}
}

// newestPerAddress returns the servers without those whose address a newer one
// uses.
func newestPerAddress(servers []*Server) []*Server {
	startedAt := make(map[string]time.Time, len(servers))
	for _, s := range servers {
		if at, known := startedAt[s.Address]; !known || at.Before(s.StartedAt) {
			startedAt[s.Address] = s.StartedAt
		}
	}
	return slices.DeleteFunc(servers, func(s *Server) bool { return s.StartedAt.Before(startedAt[s.Address]) })
}

// Service returns the servers of a service.
func (v *View) Service(name string) []*Server {
	at := v.index.byService[name]
	return v.Servers[at[0]:at[1]:at[1]]
}

// ByAddress returns the server with the address, or nil.
func (v *View) ByAddress(address string) *Server {
	return v.lookup(v.index.byAddress, address)
}

// ByID returns the server with the ID, or nil.
func (v *View) ByID(id string) *Server {
	return v.lookup(v.index.byID, id)
}

func (v *View) lookup(positions map[string]int, key string) *Server {
	i, known := positions[key]
	if !known {
		return nil
	}
	return v.Servers[i]
}

// Index returns the position in Servers of the server with the ID.
func (v *View) Index(id string) (i int, known bool) {
	i, known = v.index.byID[id]
	return i, known
}
