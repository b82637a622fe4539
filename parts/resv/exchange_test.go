package resv_test

import (
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/parts/fair"
	"fuchsiashelf.dev/parts/resv"
)

// Guards against callers that return to another host and are taken for new there, although it has received
// a message, and against one promise that is used at several hosts.
func TestReturnToAnotherHost(t *testing.T) {
	a, b, unaware := &resv.Book{}, &resv.Book{}, &resv.Book{}
	due := start.Add(a.Promise("s", 1, time.Second, 5*time.Second, 0, start))
	b.Merge(a.Promises(at(0.4)), at(0.45))
	qt.Check(t, b.Arrive(1, at(0.5)), qt.Equals, fair.Early)
	qt.Check(t, b.Arrive(1, due), qt.Equals, fair.OnTime)
	qt.Check(t, unaware.Arrive(1, due), qt.Equals, fair.New)
	stale := a.Promises(due)
	for _, now := range []time.Time{due, due.Add(900 * time.Millisecond)} {
		b.Sweep(now)
		b.Merge(stale, now)
		qt.Check(t, b.Arrive(1, now), qt.Equals, fair.New)
	}
	a.Merge(b.Promises(due), due)
	qt.Check(t, a.Arrive(1, due), qt.Equals, fair.New)
	unaware.Merge(b.Promises(due), due)
	unaware.Merge(stale, due)
	qt.Check(t, unaware.Arrive(1, due), qt.Equals, fair.New)
	a.Sweep(due.Add(10 * time.Second))
	qt.Check(t, a.Stats(), qt.Equals, resv.Stats{Promised: 1})
}

// Guards against a host that restarts and treats those whom it refused before as new, or whose new promises
// are taken for its old ones.
func TestHostRestarts(t *testing.T) {
	before, other := &resv.Book{}, &resv.Book{}
	due := start.Add(before.Promise("s", 1, time.Second, 5*time.Second, 0, start))
	other.Merge(before.Promises(start), start)
	after := &resv.Book{}
	after.Merge(other.Promises(at(0.5)), at(0.5))
	after.Promise("s", 2, time.Second, 5*time.Second, 0, at(0.6))
	after.Promise("s", 1, time.Second, 5*time.Second, 0, at(0.6))
	other.Merge(after.Promises(at(0.7)), at(0.7))
	for _, b := range []*resv.Book{after, other} {
		qt.Check(t, b.Arrive(1, due), qt.Equals, fair.OnTime)
		qt.Check(t, b.Arrive(1, at(2)), qt.Equals, fair.OnTime)
		qt.Check(t, b.Arrive(2, at(2)), qt.Equals, fair.OnTime)
	}
}

// Guards against messages with invalid durations that fill the book or overflow a time.
func TestInvalidPromisesAreDropped(t *testing.T) {
	b := &resv.Book{}
	b.Merge([]resv.Promise{
		{Key: 1, Due: -time.Minute},
		{Key: 2, Due: math.MinInt64},
		{Key: 3, Due: time.Minute},
		{Key: 4, Due: math.MaxInt64},
		{Key: 5, Due: time.Second},
	}, start)
	list := b.Promises(start)
	qt.Assert(t, list, qt.HasLen, 1)
	qt.Check(t, list[0].Key, qt.Equals, uint64(5))
}

// blockingLog is a log handler that waits until the book can be used.
type blockingLog struct {
	slog.Handler
	book  *resv.Book
	lines []string
}

func (l *blockingLog) Handle(_ context.Context, r slog.Record) error {
	l.book.Stats()
	l.lines = append(l.lines, r.Message)
	return nil
}

// Guards against a log that blocks all requests, and against messages that hide each other or fill the log.
func TestLogDoesNotHoldTheBook(t *testing.T) {
	b := &resv.Book{}
	log := &blockingLog{Handler: slog.Default().Handler(), book: b}
	b.Log = slog.New(log)
	for key := range uint64(4100) {
		b.Promise("s", key, time.Second, 5*time.Second, 0, start)
	}
	b.Merge([]resv.Promise{{Key: 1, Due: time.Minute}}, start)
	b.Merge([]resv.Promise{{Key: 5000, Due: time.Second}}, at(2))
	dropped, invalid := "returns: too many promises, oldest dropped", "returns: invalid promises dropped"
	qt.Check(t, log.lines, qt.DeepEquals, []string{dropped, invalid, dropped})
}

// Guards against messages and memory that grow with the number of hosts.
func TestPromisesOfManyHosts(t *testing.T) {
	b := &resv.Book{}
	const hosts, perHost = 300, 200
	for host := range hosts {
		list := make([]resv.Promise, perHost)
		for i := range list {
			list[i] = resv.Promise{Key: uint64(host*perHost + i), Due: time.Second, ID: 1}
		}
		b.Merge(list, start)
	}
	list := b.Promises(start)
	qt.Assert(t, list, qt.HasLen, 128)
	qt.Check(t, list[0].Key, qt.Equals, uint64((hosts-1)*perHost))
	known := 0
	for key := range uint64(hosts * perHost) {
		if b.Arrive(key, start) != fair.New {
			known++
		}
	}
	qt.Check(t, known, qt.Equals, 4096)
}

// Guards against messages that are full of promises that were kept, so that those that count are not sent.
func TestKeptPromisesLeaveRoom(t *testing.T) {
	b := &resv.Book{}
	for key := range uint64(400) {
		b.Promise("s", key, time.Second, 2*time.Second, 0, start)
	}
	for key := range uint64(200) {
		qt.Assert(t, b.Arrive(key, at(2)), qt.Equals, fair.OnTime)
	}
	valid, kept := 0, 0
	for _, p := range b.Promises(at(2)) {
		if p.Kept {
			kept++
		} else {
			valid++
		}
	}
	qt.Check(t, []int{valid, kept}, qt.DeepEquals, []int{112, 16})
}

// Guards against one request that many callers repeat and that drops the promises of all others.
func TestPromisesForOneKeyAreBounded(t *testing.T) {
	b := &resv.Book{}
	b.Promise("s", 1, time.Second, 5*time.Second, 0, start)
	for range 5000 {
		b.Promise("s", 2, time.Second, 5*time.Second, 0, start)
	}
	qt.Check(t, b.Arrive(1, at(2)), qt.Equals, fair.OnTime)
}

// message is a message on its way to a host.
type message struct {
	to      *resv.Book
	list    []resv.Promise
	arrives time.Time
}

// Guards against promises that live for ever, or are due later and later, because hosts pass them back and
// forth in messages that take as long as the timeout of an exchange allows.
func TestPromisesPassedBackAndForthEnd(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	hosts := make([]*resv.Book, 20)
	for i := range hosts {
		hosts[i] = &resv.Book{}
	}
	due := hosts[0].Promise("s", 1, time.Second, 5*time.Second, 0, start)
	var sent []message
	for now := start; now.Before(at(9)); now = now.Add(10 * time.Millisecond) {
		for _, m := range sent {
			if m.arrives.Equal(now) {
				m.to.Merge(m.list, now)
			}
		}
		for _, b := range hosts {
			if random.IntN(20) == 0 {
				delay := time.Duration(1+random.IntN(50)) * 10 * time.Millisecond
				sent = append(sent, message{hosts[random.IntN(len(hosts))], b.Promises(now), now.Add(delay)})
			}
			b.Sweep(now)
			for _, p := range b.Promises(now) {
				qt.Assert(t, now.Add(p.Due).Before(start.Add(due+1500*time.Millisecond)), qt.IsTrue, qt.Commentf("due %v", p.Due))
			}
		}
	}
	for _, b := range hosts {
		qt.Check(t, b.Promises(at(9)), qt.HasLen, 0)
		qt.Check(t, b.Arrive(1, at(9)), qt.Equals, fair.New)
	}
}
