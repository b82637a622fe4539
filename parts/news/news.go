// Package news chooses which facts a message contains.
//
// A host passes on what it and others have found: suspected servers, ranges of layers that
// were ordered, servers that leave. While there are few such facts, each message holds all of
// them until they expire, which costs little. After a start of the whole fleet, or the loss of
// a failure domain, there are thousands, and messages that hold all of them cost hosts x facts
// each round. Then a host sends a fact a few times after it received it: if each host
// passes it on to that many others, hardly any host misses it.
//
// A [Queue] chooses; it does no I/O.
package news

import "sync"

const (
	// AlwaysTold is the number of facts up to which each message holds all of them.
	AlwaysTold = 64
	// MaxFacts is the number of facts in one message.
	MaxFacts = 256
	// maxTold is the number of messages that contain a fact if there are more than
	// AlwaysTold: of a thousand hosts about two miss it.
	maxTold = 6
)

// Fact is one fact. ID says what it is about, and Stamp is another number after each change
// that others need to know.
type Fact struct {
	ID    string
	Stamp uint64
}

// Queue chooses the facts of one kind. The zero value is ready. It is safe for concurrent use.
type Queue struct {
	mu   sync.Mutex
	told map[string]told
	// round is incremented in each call of Choose.
	round uint64
}

// told says how often a fact was told.
type told struct {
	stamp uint64
	times int
	// round is when the fact was last known.
	round uint64
}

// Choose returns the positions of the facts to tell in the next message, out of all those
// that hold now, and counts them as told.
func (q *Queue) Choose(facts []Fact) []int {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.round++
	if q.told == nil {
		q.told = map[string]told{}
	}
	byTimes := make([][]int, maxTold+1)
	for i, f := range facts {
		known := q.told[f.ID]
		if known.stamp != f.Stamp {
			known = told{stamp: f.Stamp}
		}
		known.round = q.round
		q.told[f.ID] = known
		byTimes[known.times] = append(byTimes[known.times], i)
	}
	q.forget(len(facts))
	var chosen []int
	for times, list := range byTimes {
		if times == maxTold && len(facts) > AlwaysTold {
			break
		}
		chosen = append(chosen, list[:min(len(list), MaxFacts-len(chosen))]...)
	}
	for _, i := range chosen {
		known := q.told[facts[i].ID]
		known.times = min(known.times+1, maxTold)
		q.told[facts[i].ID] = known
	}
	return chosen
}

// forget drops the facts that do not hold any more, given the number of those that do.
func (q *Queue) forget(held int) {
	if len(q.told) <= held {
		return
	}
	for id, known := range q.told {
		if known.round != q.round {
			delete(q.told, id)
		}
	}
}
