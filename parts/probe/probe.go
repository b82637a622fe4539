// Package probe decides which backend servers are asked whether they live when
// streams fall silent, and what follows from their answers.
//
// A stream passes through several servers, and a dead one shows by silence only.
// The first server reports which server it waits for, but its reports are too
// old. So the servers of a silent stream are probed as soon as the pause is longer
// than usual: a process that is gone refuses the connection, one that is cut off
// or frozen does not answer a short probe. Servers with the largest share of
// silent streams are probed first.
//
// A single stream must be silent for several of its usual pauses. All streams of
// a server being silent at the same time is a much earlier sign.
//
// A [Scheduler] is a pure state machine: times are arguments.
package probe

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Interval is the interval between probes of a server that has not answered, and
	// Later of one whose state is known.
	Interval        = 20 * time.Millisecond
	RecheckInterval = 300 * time.Millisecond
	// MaxPerSecond bounds the probes of one entry host: where everything is slow, all
	// streams are silent at times.
	MaxPerSecond = 60
	// Burst is how many probes may be sent at once.
	Burst = 24
	// FailureThreshold is how many unanswered probes in a row mean that a server is
	// dead. A single one may be a lost packet.
	FailureThreshold = 2
	// forget is how long after its last probe a server's misses count.
	forget = time.Second
	// leastTogether is from how many streams on their silence together counts.
	leastTogether = 3
	// leastPause is the shortest common silence that counts: a stall of the entry
	// host itself silences all streams for a moment.
	leastPause = 40 * time.Millisecond
)

// Stream is a stream under way.
type Stream struct {
	// Servers are the addresses of its chain.
	Servers []string
	// Silent says that its pause alone is longer than usual.
	Silent bool
	// Pause is the time since its last event, and TypicalGap the time that usually
	// lies between two; it is zero until there were two.
	Pause, TypicalGap time.Duration
}

// State is what is believed of a server that was asked.
type State uint8

// The findings, from the best to the worst.
const (
	// Alive means that it answered.
	Alive State = iota
	// Suspected means that one probe was not answered. Silent streams avoid it.
	Suspected
	// Unreachable means that several were not answered: it is cut off from this
	// entry host, frozen or without power. Its peers may still reach it.
	Unreachable
	// Gone means that its process has ended: the address refuses connections.
	Gone
)

// String returns the name of the finding.
func (f State) String() string {
	switch f {
	case Alive:
		return "alive"
	case Suspected:
		return "doubtful"
	case Unreachable:
		return "unreachable"
	case Gone:
		return "gone"
	}
	return "unknown"
}

// Dead reports whether a new run must not begin at the server.
func (f State) Dead() bool {
	return f == Unreachable || f == Gone
}

// Scheduler holds what is known of the servers that were asked. The zero value is
// ready. It is not safe for concurrent use.
type Scheduler struct {
	asked map[string]*entry
	// left is the number of questions that may be asked now, as of filled.
	left   float64
	filled time.Time
}

type entry struct {
	last   time.Time
	under  bool
	misses int
	found  State
}

// Next returns the addresses to be asked now, and notes that they are. Each
// must be followed by one call of Answer.
func (b *Scheduler) Next(streams []Stream, now time.Time) []string {
	b.fill(now)
	var list []string
	for _, c := range b.candidates(streams) {
		if b.left < 1 {
			break
		}
		if b.due(c.address, now) {
			b.asked[c.address].last = now
			b.asked[c.address].under = true
			b.left--
			list = append(list, c.address)
		}
	}
	return list
}

// Record notes the outcome of a question: whether the server answered, and if
// not, whether its address refuses connections.
func (b *Scheduler) Record(address string, answered, refused bool) State {
	e := b.entry(address)
	e.under = false
	switch {
	case answered:
		e.misses, e.found = 0, Alive
	case refused:
		e.misses, e.found = e.misses+1, Gone
	case e.misses+1 < FailureThreshold:
		e.misses, e.found = e.misses+1, Suspected
	default:
		e.misses, e.found = e.misses+1, Unreachable
	}
	return e.found
}

// Discard ends a question from which nothing follows.
func (b *Scheduler) Discard(address string) {
	b.entry(address).under = false
}

// fill adds the questions that time has earned, and forgets old ones.
func (b *Scheduler) fill(now time.Time) {
	if b.filled.IsZero() {
		b.left, b.filled = Burst, now
	}
	b.left = min(Burst, b.left+MaxPerSecond*now.Sub(b.filled).Seconds())
	b.filled = now
	for address, e := range b.asked {
		if !e.under && now.Sub(e.last) > forget {
			delete(b.asked, address)
		}
	}
}

func (b *Scheduler) due(address string, now time.Time) bool {
	e := b.entry(address)
	every := RecheckInterval
	if e.found == Suspected {
		every = Interval
	}
	return !e.under && now.Sub(e.last) >= every
}

func (b *Scheduler) entry(address string) *entry {
	if b.asked == nil {
		b.asked = map[string]*entry{}
	}
	e := b.asked[address]
	if e == nil {
		e = &entry{}
		b.asked[address] = e
	}
	return e
}

// candidate is a server through which streams pass.
type candidate struct {
	address     string
	silent, all int
	// rank orders candidates: those of whom nothing is known first, and of these
	// those whose streams are silent together.
	rank int
	// paced counts the streams whose usual pause is known. Usual is the sum of
	// these pauses, and freshest the shortest time since an event of any.
	paced    int
	usual    time.Duration
	freshest time.Duration
}

func (c *candidate) add(s Stream) {
	c.all++
	if s.Silent {
		c.silent++
	}
	if s.TypicalGap <= 0 {
		return
	}
	if c.paced == 0 || s.Pause < c.freshest {
		c.freshest = s.Pause
	}
	c.paced++
	c.usual += s.TypicalGap
}

// together reports whether the streams of the server are silent together: the
// freshest is later than all of them usually are, by the more the fewer they are.
func (c *candidate) together() bool {
	if c.paced < leastTogether {
		return false
	}
	mean := c.usual / time.Duration(c.paced)
	return c.freshest > max(leastPause, mean+mean/time.Duration(c.paced))
}

// candidates lists the servers of silent streams: first those of which nothing
// is known yet, and of these the most suspicious.
func (b *Scheduler) candidates(streams []Stream) []candidate {
	counts := map[string]*candidate{}
	for _, s := range streams {
		for _, address := range s.Servers {
			c := counts[address]
			if c == nil {
				c = &candidate{address: address}
				counts[address] = c
			}
			c.add(s)
		}
	}
	var list []candidate
	for _, c := range counts {
		if c.silent == 0 && !c.together() {
			continue
		}
		if e := b.asked[c.address]; e != nil && e.found != Suspected {
			c.rank += 2
		}
		if !c.together() {
			c.rank++
		}
		list = append(list, *c)
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.rank, b.rank),
			-cmp.Compare(a.silent*b.all, b.silent*a.all),
			-cmp.Compare(a.silent, b.silent),
			cmp.Compare(a.address, b.address),
		)
	})
	return list
}
