package subset

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// order holds the hashes from which the order of the hosts of a failure domain at each
// server follows.
type order struct {
	// self is the hash of one host, and others are those of the others.
	self   uint64
	others []uint64
}

// newOrder returns the order of the hosts of the failure domain of self.
func newOrder(self Host, hosts []Host) *order {
	o := &order{self: xxhash.Sum64String(self.Name)}
	for _, h := range hosts {
		if h.Domain == self.Domain && h.Name != self.Name {
			o.others = append(o.others, xxhash.Sum64String(h.Name))
		}
	}
	return o
}

// hosts returns the number of hosts.
func (o *order) hosts() int { return 1 + len(o.others) }

// place returns the place of self among the hosts at a server, as a share of all hosts. The
// result may be any place from end on if it is not below end.
func (o *order) place(id string, end float64) float64 {
	server := xxhash.Sum64String(id)
	self := pair(o.self, server)
	// The low bits, on which the order of the hosts hardly depends, order the servers where
	// a host has the same place.
	place := fraction(self)
	hosts := float64(o.hosts())
	for _, other := range o.others {
		if place >= end*hosts {
			break
		}
		if pair(other, server) > self {
			place++
		}
	}
	return place / hosts
}

// first returns the given number of servers with the highest scores by the hash of self
// alone. So few servers of each host are about even over the hosts without their order,
// which takes a hundred times longer to compute.
func (o *order) first(servers []*Server, n int) []*Server {
	type scored struct {
		*Server
		score float64
	}
	list := make([]scored, len(servers))
	for i, s := range servers {
		list[i] = scored{s, score(s.Weight, 1-fraction(pair(o.self, xxhash.Sum64String(s.ID))))}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), strings.Compare(a.ID, b.ID))
	})
	first := make([]*Server, 0, n)
	for _, s := range list[:min(n, len(list))] {
		first = append(first, s.Server)
	}
	return first
}

// score returns the score of a server with a weight in weighted rendezvous hashing; h is
// between 0 and 1.
func score(weight, h float64) float64 {
	return -weight / math.Log(h)
}

// fraction returns the low half of a hash as a number between 0 and 1.
func fraction(hash uint64) float64 {
	return (float64(uint32(hash)) + 0.5) / (1 << 32)
}

// pair returns the hash of a host and a server.
func pair(host, server uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], host)
	binary.LittleEndian.PutUint64(b[8:], server)
	return xxhash.Sum64(b[:])
}
