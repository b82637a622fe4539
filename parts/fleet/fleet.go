// Package fleet holds what is believed of the backend servers: which there
// are, which layers each holds, which are leaving, and which are suspected of
// having failed.
//
// A [View] is immutable; a request reads one from start to end.
package fleet

import (
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
	// Card is the kind of its accelerator, if it has one.
	Card string
	// Slots is how many requests it works on at once.
	Slots int
	// First and End bound the layers that it holds; both zero means none.
	First, End int
	// Takes is how many layers take its memory: those that it holds, gives up
	// and loads.
	Takes int
	// Slowness is how many times as long as usual its work takes; zero means as
	// usual.
	Slowness float64
	// Moves says that it is to load layers that it does not hold yet, and can
	// only do so once the requests have ended that pass through those it gives up.
	Moves bool
	// Born is the time of its start; a run under an old ID is a new one if it
	// was born later.
	Born time.Time
	// Leaving servers get no new requests.
	Leaving bool
	// Suspect servers have just failed requests and get none unless there is
	// no other.
	Suspect bool
}

// Holds returns the number of layers that the server holds.
func (s *Server) Holds() int {
	return s.End - s.First
}

// View is what is believed at one moment.
type View struct {
	// Servers are all known servers, ordered by service and ID.
	Servers []Server

	byService map[string][]*Server
	byAddress map[string]*Server
}

// New returns a view of the servers. A server whose address a younger one has
// is left out: it has ended, whatever its entry says.
func New(servers []Server) *View {
	v := &View{Servers: youngest(servers), byService: map[string][]*Server{}, byAddress: map[string]*Server{}}
	slices.SortFunc(v.Servers, func(a, b Server) int {
		if c := strings.Compare(a.Service, b.Service); c != 0 {
			return c
		}
		return strings.Compare(a.ID, b.ID)
	})
	for i := range v.Servers {
		s := &v.Servers[i]
		v.byService[s.Service] = append(v.byService[s.Service], s)
		v.byAddress[s.Address] = s
	}
	return v
}

// youngest returns the servers without those whose address a younger one has.
func youngest(servers []Server) []Server {
	born := make(map[string]time.Time, len(servers))
	for i := range servers {
		s := &servers[i]
		if at, known := born[s.Address]; !known || at.Before(s.Born) {
			born[s.Address] = s.Born
		}
	}
	return slices.DeleteFunc(servers, func(s Server) bool { return s.Born.Before(born[s.Address]) })
}

// Service returns the servers of a service.
func (v *View) Service(name string) []*Server {
	return v.byService[name]
}

// At returns the server with the address, or nil.
func (v *View) At(address string) *Server {
	return v.byAddress[address]
}
