package resv_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"fuchsiashelf.dev/parts/fair"
	"fuchsiashelf.dev/parts/resv"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time after some seconds.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against callers that gain by ignoring Retry-After: neither a place before new requests nor a
// promise for each of their attempts.
func TestCallerThatIgnoresRetryAfter(t *testing.T) {
	b := &resv.Book{}
	due := b.Promise("s", 1, time.Second, 5*time.Second, 0, start)
	for now := 100 * time.Millisecond; now < due-50*time.Millisecond; now += 100 * time.Millisecond {
		qt.Assert(t, b.Arrive(1, start.Add(now)), qt.Equals, fair.Early)
		again := b.Promise("s", 1, 100*time.Millisecond, 5*time.Second, 0, start.Add(now))
		qt.Assert(t, now+again >= due && now+again < due+2*time.Second, qt.IsTrue, qt.Commentf("told %v at %v, due %v", again, now, due))
	}
	qt.Check(t, b.Arrive(1, start.Add(due)), qt.Equals, fair.OnTime)
	qt.Check(t, b.Arrive(1, start.Add(due)), qt.Equals, fair.New)
	stats := b.Stats()
	qt.Check(t, stats.Early > 8, qt.IsTrue)
	stats.Early = 0
	qt.Check(t, stats, qt.Equals, resv.Stats{Promised: 1, Kept: 1})
}

// Guards against bursts of callers whose requests are equal to one that was refused before them: they have
// no promise, and would all be told the time of that one.
func TestEarlyCallersAreSpread(t *testing.T) {
	b := &resv.Book{}
	b.Promise("s", 1, time.Second, 5*time.Second, 0, start)
	slots := map[time.Duration]int{}
	for range 50 {
		b.Arrive(1, at(0.5))
		slots[b.Promise("s", 1, 0, 4*time.Second, 0, at(0.5))/(100*time.Millisecond)]++
	}
	qt.Check(t, len(slots) >= 5, qt.IsTrue, qt.Commentf("%v", slots))
}

// Guards against a caller that is told to return after its deadline, since one with more time left was
// refused the same request before.
func TestEarlyCallerWithLessTime(t *testing.T) {
	b := &resv.Book{}
	due := start.Add(b.Promise("s", 1, 4*time.Second, 5*time.Second, 0, start))
	qt.Assert(t, b.Arrive(1, at(0.1)), qt.Equals, fair.Early)
	delay := b.Promise("s", 1, 100*time.Millisecond, time.Second, 0, at(0.1))
	qt.Assert(t, delay <= time.Second, qt.IsTrue, qt.Commentf("told %v", delay))
	qt.Check(t, b.Arrive(1, at(0.1).Add(delay)), qt.Equals, fair.OnTime)
	qt.Check(t, b.Arrive(1, due), qt.Equals, fair.OnTime)
}

// Guards against a caller that came early, waited in the queue until after its promise was due, and is told
// a time at which that has lapsed.
func TestEarlyCallerThatWaited(t *testing.T) {
	b := &resv.Book{}
	due := start.Add(b.Promise("s", 1, time.Second, 5*time.Second, 0, start))
	qt.Assert(t, b.Arrive(1, due.Add(-500*time.Millisecond)), qt.Equals, fair.Early)
	refused := due.Add(1500 * time.Millisecond)
	returned := refused.Add(b.Promise("s", 1, 700*time.Millisecond, 5*time.Second, 0, refused))
	qt.Check(t, b.Arrive(1, returned), qt.Equals, fair.OnTime)
}

// Guards against equal requests of several callers of which only one counts as on time, here or at another
// host, and against one caller that uses the promises of all.
func TestEqualRequestsOfSeveralCallers(t *testing.T) {
	b, other := &resv.Book{}, &resv.Book{}
	for range 3 {
		qt.Check(t, b.Arrive(1, start), qt.Equals, fair.New)
	}
	for range 3 {
		b.Promise("s", 1, 0, time.Second, 0, start)
	}
	other.Merge(b.Promises(at(0.1)), at(0.1))
	for _, book := range []*resv.Book{b, other} {
		for range 3 {
			qt.Check(t, book.Arrive(1, at(1.1)), qt.Equals, fair.OnTime)
		}
		qt.Check(t, book.Arrive(1, at(1.1)), qt.Equals, fair.New)
	}
}

// Guards against callers that are told the same time, or one beyond the horizon, when many more are refused
// than can be served until then.
func TestMoreRefusalsThanTheHorizonHolds(t *testing.T) {
	b := &resv.Book{}
	const quarter = 25 * time.Millisecond
	var quarters [200]int
	for key := range uint64(1000) {
		delay := b.Promise("s", key, 0, 5*time.Second, 0, start)
		qt.Assert(t, delay < 5*time.Second, qt.IsTrue, qt.Commentf("told %v", delay))
		quarters[delay/quarter]++
		if key < 25 {
			// Ten a second are assumed: half of them are one promise in two slots.
			qt.Assert(t, delay, qt.Equals, time.Duration(key)*8*quarter)
		}
	}
	for i, n := range quarters {
		qt.Check(t, n, qt.Equals, 5, qt.Commentf("quarter %d", i))
	}
}

// Guards against promises for times at which earlier requests still wait, and against a rate that is not
// the one measured.
func TestWaitOfThoseAhead(t *testing.T) {
	b := &resv.Book{}
	qt.Check(t, b.Promise("s", 1, 0, 5*time.Second, 20, start), qt.Equals, 2*time.Second)
	for i := range 500 {
		b.Served("s", at(float64(i)/100))
	}
	delay := b.Promise("s", 2, 0, 5*time.Second, 100, at(5))
	qt.Check(t, delay >= 900*time.Millisecond && delay <= 1100*time.Millisecond, qt.IsTrue, qt.Commentf("told %v", delay))
}

// Guards against callers of a service with little capacity that all return at once, since another service
// of the same host serves many.
func TestServicesHaveRatesOfTheirOwn(t *testing.T) {
	b := &resv.Book{}
	b.Served("small", start)
	for i := range 1000 {
		b.Served("large", at(float64(i)/100))
	}
	b.Served("small", at(9.5))
	slots := map[time.Duration]int{}
	for key := range uint64(10) {
		slots[b.Promise("small", key, 0, 5*time.Second, 0, at(10))/(200*time.Millisecond)]++
	}
	qt.Check(t, slots, qt.HasLen, 10, qt.Commentf("%v", slots))
	delay := b.Promise("small", 10, 0, 5*time.Second, 4, at(10))
	qt.Check(t, delay >= 3*time.Second, qt.IsTrue, qt.Commentf("told %v", delay))
}

// Guards against a Retry-After that is beyond the caller's time, or before servers have capacity.
func TestRetryAfterIsWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &resv.Book{}
		for key := range uint64(rapid.IntRange(1, 200).Draw(t, "refusals")) {
			now := start.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "now")))
			earliest := time.Duration(rapid.Int64Range(0, int64(4*time.Second)).Draw(t, "earliest"))
			latest := earliest + time.Duration(rapid.Int64Range(1, int64(3*time.Second)).Draw(t, "range"))
			delay := b.Promise("s", key, earliest, latest, rapid.IntRange(0, 100).Draw(t, "ahead"), now)
			if delay < earliest || delay > min(latest, 5*time.Second) {
				t.Fatalf("told %v, not within %v and %v", delay, earliest, latest)
			}
		}
	})
}

// Guards against a caller that is told to return before the servers have said that they have capacity, and
// against promises that are kept for as long as that.
func TestLongPauseOfServer(t *testing.T) {
	b := &resv.Book{}
	qt.Check(t, b.Promise("s", 1, 30*time.Second, 2*time.Second, 0, start), qt.Equals, 30*time.Second)
	qt.Check(t, b.Promises(start), qt.HasLen, 0)
	delay := b.Promise("s", 2, 3*time.Second, 2*time.Second, 0, start)
	qt.Check(t, delay >= 3*time.Second && delay <= 3100*time.Millisecond, qt.IsTrue, qt.Commentf("told %v", delay))
}

// Guards against promises that are never dropped.
func TestLapsedPromises(t *testing.T) {
	b := &resv.Book{}
	due := b.Promise("s", 1, time.Second, 5*time.Second, 0, start)
	b.Promise("s", 2, time.Second, 5*time.Second, 0, start)
	qt.Check(t, b.Arrive(1, start.Add(due+1900*time.Millisecond)), qt.Equals, fair.OnTime)
	qt.Check(t, b.Arrive(2, start.Add(due+2500*time.Millisecond)), qt.Equals, fair.New)
	b.Sweep(start.Add(due + 2500*time.Millisecond))
	qt.Check(t, b.Stats(), qt.Equals, resv.Stats{Promised: 2, Kept: 1, Lapsed: 1})
}

// Guards against requests of different teams, or with shifted parts, that are taken for the same.
func TestKeysDiffer(t *testing.T) {
	keys := map[uint64]bool{}
	for _, parts := range [][4]string{{"a", "GET", "h", "/p"}, {"b", "GET", "h", "/p"}, {"a", "GET", "h/", "p"}, {"a", "POST", "h", "/p"}} {
		keys[resv.NewKey(parts[0], parts[1], parts[2], parts[3], []byte("body"))] = true
	}
	keys[resv.NewKey("a", "GET", "h", "/p", []byte("other"))] = true
	qt.Check(t, keys, qt.HasLen, 5)
	qt.Check(t, keys[resv.NewKey("a", "GET", "h", "/p", []byte("body"))], qt.IsTrue)
}
