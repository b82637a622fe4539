// Package poison detects requests that crash the backend servers that run
// them. It limits the damage of such a request to two servers, and keeps it
// from costing the callers of other requests their responses.
//
// A [Fingerprint] identifies a request across all its copies and retries. When
// a server crashes, every request that ran on it becomes suspected. If the
// request had received tokens from the server, the crash is only counted and
// the request continues at once. Otherwise it is isolated: it is retried
// alone, which means that no other isolated request uses any server of its
// chain meanwhile. A token beyond the step at which the server crashed clears
// the request. A second crash before that blocks it.
//
// A [Tracker] holds the suspected requests of one pool, for all entry hosts
// that consult it. It is a pure state machine: times are arguments, and it is
// not safe for concurrent use.
//
// A [Detector] also finds parts of prompts that crash servers, under requests of which
// no two are alike. A request holds several [Cause]s: itself, and the parts of its prompt.
// Entry hosts exchange [Evidence]: the crashes that they observed with all possible causes,
// and answers, which speak for the causes of their requests.
package poison

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"
)

// Fingerprint identifies a request by its team and the digest of its body.
type Fingerprint string

// fingerprintBytes is the length of a fingerprint. It is enough to distinguish
// the requests of a few minutes.
const fingerprintBytes = 8

// NewFingerprint returns the fingerprint of a request. The digest is
// cryptographic; otherwise a caller could forge the fingerprint of another
// team's request and have that request blocked.
func NewFingerprint(team string, body ...string) Fingerprint {
	h := sha256.New()
	h.Write([]byte(team))
	for _, part := range body {
		h.Write([]byte{0})
		h.Write([]byte(part))
	}
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

// The limits of a tracker.
const (
	// MaxCrashes is the number of servers that a request may crash before it is
	// blocked.
	MaxCrashes = 2
	// BlockFor is how long a blocked request is refused. Only a fixed engine
	// or a changed prompt helps, and neither comes within seconds.
	BlockFor = 10 * time.Minute
	// suspectTTL is how long a request stays suspected without another crash.
	suspectTTL = time.Minute
	// isolatedRunTimeout ends an isolated run whose entry host has disappeared.
	isolatedRunTimeout = 10 * time.Second
	// attributionTTL is how long the crash of a server stays attributed to the
	// request that was blocked for it. Reports of the same crash from other
	// requests may arrive late.
	attributionTTL = time.Minute
	// maxRequests limits the size of a tracker; the requests that expire first
	// are evicted.
	maxRequests = 4096
)

// Outcome is a decision of a tracker.
type Outcome uint8

// The outcomes.
const (
	// Allowed: the request is not suspected; it may run.
	Allowed Outcome = iota
	// Isolated: the request may run on the given servers, which no other
	// isolated request may use until it is cleared or blocked.
	Isolated
	// Wait: an isolated run of this request, or one on these servers, is in
	// progress.
	Wait
	// Blocked: the request must not run.
	Blocked
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	switch o {
	case Allowed:
		return "free"
	case Isolated:
		return "alone"
	case Wait:
		return "wait"
	case Blocked:
		return "convicted"
	}
	return "unknown"
}

// requestState is the state of one suspected or blocked request.
type requestState struct {
	// crashed holds the servers that crashed while they ran the request.
	crashed []string
	// isolated reports that the request may only run alone.
	isolated bool
	// expiry is when the suspicion or the block ends.
	expiry time.Time
	// holder is the copy of the request that has the isolated run, on servers,
	// until runEnd.
	holder  string
	servers []string
	runEnd  time.Time
}

// running reports whether an isolated run of the request is in progress.
func (r *requestState) running(now time.Time) bool {
	return r.holder != "" && now.Before(r.runEnd)
}

// Tracker holds the suspected and blocked requests of one pool. The zero value
// is empty and ready to use.
type Tracker struct {
	requests map[Fingerprint]*requestState
	// attributed holds servers whose crash is attributed to a blocked request,
	// with the time until which it is.
	attributed map[string]time.Time
}

// RecordCrash records that a server crashed while it ran a request. Progressed
// reports that the request had received a token from a chain with that server,
// which makes another request the likely cause. The outcome is Blocked,
// Isolated (from now on the request may only run alone) or Allowed.
func (t *Tracker) RecordCrash(f Fingerprint, server string, progressed bool, now time.Time) Outcome {
	t.expire(now)
	r := t.requests[f]
	if r != nil && len(r.crashed) >= MaxCrashes {
		return Blocked
	}
	if r != nil && slices.Contains(r.crashed, server) {
		return r.outcome()
	}
	if t.causedByOther(f, server, now) {
		if r == nil {
			return Allowed
		}
		return r.outcome()
	}
	if r == nil {
		r = t.add(f)
	}
	r.crashed = append(r.crashed, server)
	r.expiry = now.Add(suspectTTL)
	r.isolated = r.isolated || !progressed
	r.holder = ""
	if len(r.crashed) >= MaxCrashes {
		r.expiry = now.Add(BlockFor)
		t.attribute(server, now)
	}
	return r.outcome()
}

// outcome returns the decision that follows from the crashes so far.
func (r *requestState) outcome() Outcome {
	switch {
	case len(r.crashed) >= MaxCrashes:
		return Blocked
	case r.isolated:
		return Isolated
	}
	return Allowed
}

// causedByOther reports whether the crash of a server is attributed to another
// request: one that was running isolated on it, or one that was blocked for
// it.
func (t *Tracker) causedByOther(f Fingerprint, server string, now time.Time) bool {
	if now.Before(t.attributed[server]) {
		return true
	}
	for other, r := range t.requests {
		if other != f && r.running(now) && slices.Contains(r.servers, server) {
			return true
		}
	}
	return false
}

// attribute attributes the crash of a server to a request that is now blocked.
func (t *Tracker) attribute(server string, now time.Time) {
	if t.attributed == nil {
		t.attributed = map[string]time.Time{}
	}
	t.attributed[server] = now.Add(attributionTTL)
}

// add adds a request, evicting the one that expires first if the tracker is
// full.
func (t *Tracker) add(f Fingerprint) *requestState {
	if t.requests == nil {
		t.requests = map[Fingerprint]*requestState{}
	}
	if len(t.requests) >= maxRequests {
		t.evictOldest()
	}
	r := &requestState{}
	t.requests[f] = r
	return r
}

// evictOldest removes the request that expires first.
func (t *Tracker) evictOldest() {
	var oldest Fingerprint
	for f, r := range t.requests {
		if oldest == "" || r.expiry.Before(t.requests[oldest].expiry) {
			oldest = f
		}
	}
	delete(t.requests, oldest)
}

// Acquire decides whether a request may run now on the given servers. The
// holder identifies the copy of the request that asks; if the outcome is
// Isolated, that copy holds the isolated run.
func (t *Tracker) Acquire(f Fingerprint, holder string, servers []string, now time.Time) Outcome {
	t.expire(now)
	r := t.requests[f]
	if r == nil {
		return Allowed
	}
	if o := r.outcome(); o != Isolated {
		return o
	}
	if r.running(now) && r.holder != holder {
		return Wait
	}
	for other, otherState := range t.requests {
		if other != f && otherState.running(now) && overlap(otherState.servers, servers) {
			return Wait
		}
	}
	r.holder, r.servers, r.runEnd = holder, slices.Clone(servers), now.Add(isolatedRunTimeout)
	return Isolated
}

// Merge adds the crashes of a request that an entry host knows of, so that
// none is lost when a new tracker replaces one whose entry host is gone.
func (t *Tracker) Merge(f Fingerprint, crashed []string, now time.Time) {
	if len(crashed) == 0 {
		return
	}
	r := t.requests[f]
	if r == nil {
		r = t.add(f)
		r.isolated = true
		r.expiry = now.Add(suspectTTL)
	}
	for _, server := range crashed {
		if len(r.crashed) < MaxCrashes && !slices.Contains(r.crashed, server) {
			r.crashed = append(r.crashed, server)
		}
	}
	if len(r.crashed) >= MaxCrashes {
		r.expiry = now.Add(BlockFor)
	}
}

// Clear clears a request that received a token beyond the step at which a
// server crashed under it. A blocked request stays blocked.
func (t *Tracker) Clear(f Fingerprint) {
	if r := t.requests[f]; r != nil && len(r.crashed) < MaxCrashes {
		delete(t.requests, f)
	}
}

// Release ends the isolated run of a holder that reached no result, for example
// because its caller disconnected.
func (t *Tracker) Release(f Fingerprint, holder string) {
	if r := t.requests[f]; r != nil && r.holder == holder {
		r.holder = ""
	}
}

// Crashes returns the number of crashes that are attributed to a request.
func (t *Tracker) Crashes(f Fingerprint) int {
	if r := t.requests[f]; r != nil {
		return len(r.crashed)
	}
	return 0
}

// expire removes expired requests and attributions.
func (t *Tracker) expire(now time.Time) {
	for f, r := range t.requests {
		if !now.Before(r.expiry) && !r.running(now) {
			delete(t.requests, f)
		}
	}
	for server, until := range t.attributed {
		if !now.Before(until) {
			delete(t.attributed, server)
		}
	}
}

// overlap reports whether two lists share a name.
func overlap(a, b []string) bool {
	for _, name := range a {
		if slices.Contains(b, name) {
			return true
		}
	}
	return false
}
