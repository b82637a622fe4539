package gossip

import (
	"math"
	"time"

	"fuchsiashelf.dev/parts/news"
)

// facts limits what a message reports about servers after many of them have changed.
type facts struct {
	suspects, slows, assignments, departures news.Queue
}

// choose returns the facts of one kind to tell in a message out of those that hold. A new
// host gets all of them.
func choose[T any](q *news.Queue, toNew bool, held []T, fact func(T) news.Fact) []T {
	if toNew {
		return held
	}
	list := make([]news.Fact, len(held))
	for i, f := range held {
		list[i] = fact(f)
	}
	chosen := make([]T, 0, min(len(held), news.MaxFacts))
	for _, i := range q.Choose(list) {
		chosen = append(chosen, held[i])
	}
	return chosen
}

// add adds the facts to a message to another host.
func (f *facts) add(m *Message, p *Peer, toNew bool) {
	m.Suspects = choose(&f.suspects, toNew, p.Suspects(), func(s Suspect) news.Fact { return news.Fact{ID: s.ID} })
	m.Slows = choose(&f.slows, toNew, p.SlowServers(), SlowServer.fact)
	m.Orders = choose(&f.assignments, toNew, p.Assignments(), Assignment.fact)
	m.Departures = choose(&f.departures, toNew, p.Departures(), Departure.fact)
}

// fact returns a fact that changes when the server is found to be slow again.
func (s SlowServer) fact() news.Fact {
	return news.Fact{ID: s.ID, Stamp: math.Float64bits(s.Times) ^ uint64(time.Now().Add(s.Left).Unix())}
}

func (a Assignment) fact() news.Fact {
	stamp := uint64(a.First)<<32 | uint64(a.End)<<1
	if a.Done {
		stamp |= 1
	}
	return news.Fact{ID: a.ID, Stamp: stamp}
}

func (d Departure) fact() news.Fact {
	stamp := uint64(d.StartedAt) << 1
	if d.Announced {
		stamp |= 1
	}
	return news.Fact{ID: d.ID, Stamp: stamp}
}
