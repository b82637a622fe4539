// Package owner shares health checks of suspected servers among the entry hosts of a failure
// domain.
//
// Each server has [PerDomain] owners in each domain, chosen by rendezvous hashing ([Set]). Owners
// probe the suspected servers that they own, and the other hosts of their domain rely on the
// results ([Tracker]), unless they have a reason of their own to probe ([Decide]). A result of any
// other host is only a hint: that host may be on the other side of a partition.
//
// The decisions are pure: times are arguments.
package owner

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// PerDomain is the number of owners of a server in each failure domain. With one, its loss would
// leave the server without probes until the others notice.
const PerDomain = 2

// Set chooses the owners of servers among the entry hosts of one failure domain. Set Self before
// use; it is empty for another domain than that of this host. The zero value has one host, this
// one, which owns all servers. It is safe for concurrent use.
type Set struct {
	Self  string
	hosts atomic.Pointer[[]host]
}

// host is an entry host with the hash of its name.
type host struct {
	name string
	hash uint64
}

// Update replaces the hosts of the domain that are alive. This host counts whether it is listed or
// not.
func (s *Set) Update(hosts []string) {
	names := slices.Clone(hosts)
	if s.Self != "" {
		names = append(names, s.Self)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	if slices.EqualFunc(names, s.load(), func(name string, h host) bool { return name == h.name }) {
		return
	}
	list := make([]host, len(names))
	for i, name := range names {
		list[i] = host{name, xxhash.Sum64String(name)}
	}
	s.hosts.Store(&list)
}

func (s *Set) load() []host {
	if list := s.hosts.Load(); list != nil {
		return *list
	}
	return []host{{name: s.Self, hash: xxhash.Sum64String(s.Self)}}
}

// Owners returns the owners of a server, the first by hash first.
func (s *Set) Owners(server string) []string {
	top, n := s.top(server)
	names := make([]string, n)
	for i := range names {
		names[i] = top[i].name
	}
	return names
}

// Owns reports whether this host owns a server.
func (s *Set) Owns(server string) bool {
	top, n := s.top(server)
	return slices.ContainsFunc(top[:n], func(h host) bool { return h.name == s.Self })
}

// Has reports whether a host is alive.
func (s *Set) Has(name string) bool {
	_, found := slices.BinarySearchFunc(s.load(), name, func(h host, name string) int { return cmp.Compare(h.name, name) })
	return found
}

// Shared reports whether some hosts of the domain do not own every server.
func (s *Set) Shared() bool { return len(s.load()) > PerDomain }

// top returns the n hosts with the highest hashes of host and server.
func (s *Set) top(server string) (top [PerDomain]host, n int) {
	var weights [PerDomain]uint64
	var key [16]byte
	binary.LittleEndian.PutUint64(key[8:], xxhash.Sum64String(server))
	for _, h := range s.load() {
		binary.LittleEndian.PutUint64(key[:8], h.hash)
		weight := xxhash.Sum64(key[:])
		at := n
		for at > 0 && weight > weights[at-1] {
			at--
		}
		if at == PerDomain {
			continue
		}
		n = min(n+1, PerDomain)
		copy(top[at+1:n], top[at:n-1])
		copy(weights[at+1:n], weights[at:n-1])
		top[at], weights[at] = h, weight
	}
	return top, n
}
