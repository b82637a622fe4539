// Package subset chooses the backend servers to which an entry host keeps connections.
//
// Where there are more servers than a host has requests within the idle time of a
// connection, each request would need a new connection. So the host prefers a subset of
// the servers, which is as large as its requests can keep in use. It uses the other
// servers when those of its subset are loaded or suspected.
//
// Each host chooses its subset by itself, by rendezvous hashing weighted by the capacity
// of the servers. The order of the hosts at a server takes the place of a random number,
// so a server is in the subsets of about as many hosts as its weight demands, which
// independent random numbers would give only on average.
package subset

import (
	"math"

	"fuchsiashelf.dev/parts/domain"
)

const (
	// hostsPerServer is the number of hosts of a failure domain in whose subsets a server
	// of that domain of average weight is at least. With 8, the highest load was over 1.3
	// times the mean in a trial with weights of 1 to 4.
	hostsPerServer = 10
	// minServers is the number of servers from which subsets are used. The required ones of
	// fewer servers are about all of them.
	minServers = 16
	// minLocal is the least number of servers of the host's own failure domain, and
	// minRemote that of each other one.
	minLocal  = 2
	minRemote = 1
	// limitSteps is the number of bisections in the search for a limit of scores, whose error
	// is then far below one server.
	limitSteps = 30
)

// Host is an entry host.
type Host struct {
	Name   string
	Domain domain.Name
}

// Server is a backend server to which hosts connect.
type Server struct {
	ID     string
	Domain domain.Name
	// Weight is the capacity relative to other servers.
	Weight float64
	// Excluded servers are in no subset. They count in the size of the deployment, so that a
	// partition between failure domains does not make it a small one.
	Excluded bool
}

// Set is a subset of servers. It is immutable. A nil Set contains all servers.
type Set struct {
	ids map[string]struct{}
}

// Has reports whether the set contains the server with the ID.
func (s *Set) Has(id string) bool {
	if s == nil {
		return true
	}
	_, has := s.ids[id]
	return has
}

// Size returns the number of servers of a set that is not nil.
func (s *Set) Size() int { return len(s.ids) }

// Large reports whether a deployment has so many hosts in one failure domain, and so many
// servers, that subsets may be used.
func Large(hosts, servers int) bool {
	return hosts > hostsPerServer && servers >= minServers
}

// Of returns the subset of servers that a host prefers. The hosts are those of all failure
// domains, including self or not. The host sends the given number of requests within the
// idle time of a connection. The result is nil, which stands for all servers, if the
// deployment is small or the requests can keep connections to all servers in use.
func Of(self Host, hosts []Host, servers []Server, requests float64) *Set {
	order := newOrder(self, hosts)
	if !Large(order.hosts(), len(servers)) || requests >= float64(len(servers)) {
		return nil
	}
	byDomain := map[domain.Name][]*Server{}
	usable := 0
	for i, s := range servers {
		if !s.Excluded {
			usable++
			byDomain[s.Domain] = append(byDomain[s.Domain], &servers[i])
		}
	}
	own, others := float64(len(byDomain[self.Domain])), float64(len(byDomain))
	if own > 0 {
		others--
	}
	s := &Set{ids: map[string]struct{}{}}
	for name, list := range byDomain {
		if name == self.Domain {
			s.add(order, list, minLocal, max(requests, hostsPerServer*own/float64(order.hosts())))
		} else {
			s.add(order, list, minRemote, (requests-own)/others)
		}
	}
	if len(s.ids) == usable {
		return nil
	}
	return s
}

// add adds the servers of one failure domain whose scores exceed the limit at which the
// expected number of servers is size, but at least the given number. A fixed number
// instead would make the number of hosts by server less even.
func (s *Set) add(o *order, servers []*Server, least int, size float64) {
	limit := limit(servers, size)
	added := 0
	for _, server := range servers {
		// The score exceeds the limit below this place.
		end := -math.Expm1(-server.Weight / limit)
		if o.place(server.ID, end) < end {
			s.ids[server.ID] = struct{}{}
			added++
		}
	}
	if added < least {
		for _, server := range o.first(servers, least) {
			s.ids[server.ID] = struct{}{}
		}
	}
}

// limit returns the score that each of the servers exceeds with a probability with which
// the expected number of those that do is size.
func limit(servers []*Server, size float64) float64 {
	if size <= 0 {
		return math.Inf(1)
	}
	if size >= float64(len(servers)) {
		return 0
	}
	byWeight := map[float64]float64{}
	for _, r := range servers {
		byWeight[r.Weight]++
	}
	expected := func(limit float64) (n float64) {
		for weight, count := range byWeight {
			n += count * -math.Expm1(-weight/limit)
		}
		return n
	}
	// The expected number decreases with the limit.
	low, high := 0.0, 1.0
	for expected(high) > size {
		low, high = high, 2*high
	}
	for range limitSteps {
		if middle := (low + high) / 2; expected(middle) > size {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}
