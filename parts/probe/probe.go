// Package probe decides which backend servers are asked whether they live when
// streams fall silent, and what follows from their answers.
//
// A stream passes through several servers, and when one of them dies only
// silence tells. The first server reports whom it waits for, but a report is
// some 200 ms old, which is as long as a pause may be before a caller notices
// it. So the servers of a silent stream are asked themselves, as soon as the
// pause is longer than usual: a process that is gone refuses the connection
// within a millisecond, one that is cut off or frozen leaves a short question
// unanswered. Asked first are the servers of which the largest share of
// streams is silent: all streams of a dead server are, while one that is
// merely slow or shares a chain with it passes others on.
//
// One stream alone must be silent for some of its usual pauses before that says
// anything. The streams of one server together say it sooner: while it lives,
// one of twenty has an event every few milliseconds, so when even the freshest
// is later than usual, all wait for the same thing.
//
// A [Book] is a pure state machine: times are arguments.
package probe

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Every is the time until a server that has not answered is asked again, and
	// Later until one of which it is known whether it lives is. Asked as often,
	// a few servers that live would leave no question for one that died.
	Every = 20 * time.Millisecond
	Later = 300 * time.Millisecond
	// PerSecond bounds the questions of one entry host. Where everything is
	// slow, all streams are silent at times; a death needs questions to the chain
	// of one stream only.
	PerSecond = 60
	// Burst is how many may be asked at once.
	Burst = 24
	// MissesUntilDead is how many questions in a row without an answer mean
	// that a server does not live. One alone may be a lost packet.
	MissesUntilDead = 2
	// forget is how long after its last question a server's misses count.
	forget = time.Second
	// leastTogether is from how many streams on their silence together counts.
	leastTogether = 3
	// leastPause is the shortest silence of all streams of a server that counts:
	// an entry host that is held up for a moment sees nothing of any stream.
	leastPause = 40 * time.Millisecond
)

// Stream is a stream under way.
type Stream struct {
	// Servers are the addresses of its chain.
	Servers []string
	// Silent says that its pause alone is longer than usual.
	Silent bool
	// Pause is the time since its last event, and Usual the time that usually
	// lies between two; it is zero until there were two.
	Pause, Usual time.Duration
}

// Finding is what is believed of a server that was asked.
type Finding uint8

// The findings, from the best to the worst.
const (
	// Alive means that it answered.
	Alive Finding = iota
	// Doubtful means that it left one question unanswered. Streams that are
	// silent had better pass it by; nothing else follows.
	Doubtful
	// Unreachable means that it left several unanswered: it is cut off from
	// this entry host, frozen or without power. Streams that still come through
	// it show that its peers reach it.
	Unreachable
	// Gone means that its process has ended: the address refuses connections.
	Gone
)

// String returns the name of the finding.
func (f Finding) String() string {
	switch f {
	case Alive:
		return "alive"
	case Doubtful:
		return "doubtful"
	case Unreachable:
		return "unreachable"
	case Gone:
		return "gone"
	}
	return "unknown"
}

// Dead reports whether a new run must not begin at the server.
func (f Finding) Dead() bool {
	return f == Unreachable || f == Gone
}

// Book holds what is known of the servers that were asked. The zero value is
// ready. It is not safe for concurrent use.
type Book struct {
	asked map[string]*entry
	// left is the number of questions that may be asked now, as of filled.
	left   float64
	filled time.Time
}

type entry struct {
	last   time.Time
	under  bool
	misses int
	found  Finding
}

// Ask returns the addresses to be asked now, and notes that they are. Each
// must be followed by one call of Answer.
func (b *Book) Ask(streams []Stream, now time.Time) []string {
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

// Answer notes the outcome of a question: whether the server answered, and if
// not, whether its address refuses connections.
func (b *Book) Answer(address string, answered, refused bool) Finding {
	e := b.entry(address)
	e.under = false
	switch {
	case answered:
		e.misses, e.found = 0, Alive
	case refused:
		e.misses, e.found = e.misses+1, Gone
	case e.misses+1 < MissesUntilDead:
		e.misses, e.found = e.misses+1, Doubtful
	default:
		e.misses, e.found = e.misses+1, Unreachable
	}
	return e.found
}

// Void ends a question from which nothing follows.
func (b *Book) Void(address string) {
	b.entry(address).under = false
}

// fill adds the questions that time has earned, and forgets old ones.
func (b *Book) fill(now time.Time) {
	if b.filled.IsZero() {
		b.left, b.filled = Burst, now
	}
	b.left = min(Burst, b.left+PerSecond*now.Sub(b.filled).Seconds())
	b.filled = now
	for address, e := range b.asked {
		if !e.under && now.Sub(e.last) > forget {
			delete(b.asked, address)
		}
	}
}

func (b *Book) due(address string, now time.Time) bool {
	e := b.entry(address)
	every := Later
	if e.found == Doubtful {
		every = Every
	}
	return !e.under && now.Sub(e.last) >= every
}

func (b *Book) entry(address string) *entry {
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
	if s.Usual <= 0 {
		return
	}
	if c.paced == 0 || s.Pause < c.freshest {
		c.freshest = s.Pause
	}
	c.paced++
	c.usual += s.Usual
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
func (b *Book) candidates(streams []Stream) []candidate {
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
		if e := b.asked[c.address]; e != nil && e.found != Doubtful {
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
