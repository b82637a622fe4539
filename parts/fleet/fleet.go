// Package fleet holds what is believed of the backend servers: which there
// are, which layers each holds, which are leaving, and which are suspected of
// having failed.
//
// A [View] is immutable; a request reads one from start to end.
package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"fuchsiashelf.dev/parts/domain"
)

// Server is one run of a backend server.
type Server struct {
	// ID names the run; it changes with most restarts.
	ID string
	// Service and Address say what it serves and where.
	Service string
	Address string
	Domain  domain.Name
	// Accelerator is the kind of its accelerator, if it has one.
	Accelerator string
	// Slots is how many requests it works on at once.
	Slots int
	// First and End bound the layers that it holds; both zero means none.
	First, End int
	// MemoryLayers is how many layers take its memory: those that it holds, gives up
	// and loads.
	MemoryLayers int
	// SlowdownFactor is how many times as long as usual its work takes; zero means as
	// usual.
	SlowdownFactor float64
	// AwaitsReload says that it is to load layers that it does not hold yet, and can
	// only do so once the requests have ended that pass through those it gives up.
	AwaitsReload bool
	// StartedAt is the time of its start; a run under an old ID is a new one if it
	// was born later.
	StartedAt time.Time
	// Leaving servers get no new requests.
	Leaving bool
	// Suspected servers have just failed requests and get none unless there is
	// no other.
	Suspected bool
}

// LayerCount returns the number of layers that the server holds.
func (s *Server) LayerCount() int {
	return s.End - s.First
}

// View is what is believed at one moment.
type View struct {
	// Servers are all known servers, ordered by service and ID. They are immutable:
	// views share those that did not change.
	Servers []*Server

	index *index
}

// index finds servers by their position. Views of the same servers share one.
type index struct {
	byID, byAddress map[string]int
	// byService holds the first position of a service's servers and the one behind
	// its last.
	byService map[string][2]int
}

// New returns a view of the servers. A server whose address a younger one has
// is left out: it has ended, whatever its entry says.
func New(servers []*Server) *View {
	servers = youngest(servers)
	slices.SortFunc(servers, func(a, b *Server) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.ID, b.ID))
	})
	x := &index{
		byID: make(map[string]int, len(servers)), byAddress: make(map[string]int, len(servers)), byService: map[string][2]int{},
	}
	for i, s := range servers {
		x.byID[s.ID], x.byAddress[s.Address] = i, i
		at, known := x.byService[s.Service]
		if !known {
			at[0] = i
		}
		x.byService[s.Service] = [2]int{at[0], i + 1}
	}
	return &View{Servers: servers, index: x}
}

// WithStates returns a view of the same servers in other states: each must have the
// position, ID, service and address that it has here. It costs far less than New.
func (v *View) WithStates(servers []*Server) *View {
	return &View{Servers: servers, index: v.index}
}

// youngest returns the servers without those whose address a younger one has.
func youngest(servers []*Server) []*Server {
	born := make(map[string]time.Time, len(servers))
	for _, s := range servers {
		if at, known := born[s.Address]; !known || at.Before(s.StartedAt) {
			born[s.Address] = s.StartedAt
		}
	}
	return slices.DeleteFunc(servers, func(s *Server) bool { return s.StartedAt.Before(born[s.Address]) })
}

// Service returns the servers of a service.
func (v *View) Service(name string) []*Server {
	at := v.index.byService[name]
	return v.Servers[at[0]:at[1]:at[1]]
}

// ByAddress returns the server with the address, or nil.
func (v *View) ByAddress(address string) *Server {
	return v.find(v.index.byAddress, address)
}

// ByID returns the server with the ID, or nil.
func (v *View) ByID(id string) *Server {
	return v.find(v.index.byID, id)
}

func (v *View) find(by map[string]int, key string) *Server {
	i, known := by[key]
	if !known {
		return nil
	}
	return v.Servers[i]
}

// Index returns where in Servers the server with the ID stands.
func (v *View) Index(id string) (i int, known bool) {
	i, known = v.index.byID[id]
	return i, known
}
