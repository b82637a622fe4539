// Package poison decides what becomes of a request that ran on a backend
// server when it died, so that one request that crashes each server that runs
// it takes down two of them at most, and others none of their callers'
// answers.
//
// A [Fingerprint] names a request over all its copies and resends. The death
// of a server makes every request that ran on it a suspect. One that had got
// tokens from the dead server only counts the death and goes on at once; one
// that had not is restricted: it is tried again alone, which means that no
// other restricted request is on any server of its chain meanwhile. A token
// beyond the step at which the server died clears the request. A second death
// before that convicts it.
//
// A [Tracker] holds the cases of one pool, for all entry hosts that ask it. It is
// a pure state machine: times are arguments, and it is not safe for
// concurrent use.
package poison

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"
)

// Fingerprint names a request: its team and the digest of its body.
type Fingerprint string

// fingerprintBytes is enough to tell the requests of a few minutes apart.
const fingerprintBytes = 8

// NewFingerprint returns the fingerprint of a request. The digest is cryptographic, since
// a caller could otherwise make another team's request look guilty.
func NewFingerprint(team string, body ...string) Fingerprint {
	h := sha256.New()
	h.Write([]byte(team))
	for _, part := range body {
		h.Write([]byte{0})
		h.Write([]byte(part))
	}
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

// The times and bounds of a book.
const (
	// MaxCrashes is how many servers a request may take down.
	MaxCrashes = 2
	// BlockFor is how long a convicted request is refused. A mended engine
	// or a changed prompt is the way out, and neither comes in seconds.
	BlockFor = 10 * time.Minute
	// suspectFor is how long a suspicion lasts without anything new.
	suspectFor = time.Minute
	// trialFor bounds a trial whose entry host is never heard of again.
	trialFor = 10 * time.Second
	// explainFor is how long the death of a server is laid to the request
	// that was convicted by it. Others that ran on it report it late.
	explainFor = time.Minute
	// maxCases bounds the book; the oldest cases go first.
	maxCases = 4096
)

// Outcome is the answer of a book.
type Outcome uint8

// The outcomes.
const (
	// Allowed: nothing speaks against the request; it may run.
	Allowed Outcome = iota
	// Isolated: the request may run on the servers named, which are kept free
	// of other restricted requests until it is cleared or convicted.
	Isolated
	// Wait: a trial of this request, or one on these servers, is under way.
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

// record is what is known against one request.
type record struct {
	// dead holds the servers that died under it.
	dead []string
	// restricted says that it may only run alone.
	restricted bool
	// until ends the suspicion or the conviction.
	until time.Time
	// holder has the trial, on servers, until trialEnd.
	holder   string
	servers  []string
	trialEnd time.Time
}

func (r *record) onTrial(now time.Time) bool {
	return r.holder != "" && now.Before(r.trialEnd)
}

// Tracker holds the cases of one pool. The zero value is empty.
type Tracker struct {
	cases map[Fingerprint]*record
	// explained holds servers whose death was laid to a request.
	explained map[string]time.Time
}

// RecordCrash notes that a server died under a request. Progressed says that the
// request had got a token from a chain with that server, so that the death is
// likely another's doing. The outcome is Convicted, Alone (it may only run
// alone from now on) or Free.
func (b *Tracker) RecordCrash(f Fingerprint, server string, progressed bool, now time.Time) Outcome {
	b.sweep(now)
	r := b.cases[f]
	if r != nil && len(r.dead) >= MaxCrashes {
		return Blocked
	}
	if r != nil && slices.Contains(r.dead, server) {
		return r.outcome()
	}
	if b.laidToAnother(f, server, now) {
		if r == nil {
			return Allowed
		}
		return r.outcome()
	}
	if r == nil {
		r = b.open(f)
	}
	r.dead = append(r.dead, server)
	r.until = now.Add(suspectFor)
	r.restricted = r.restricted || !progressed
	r.holder = ""
	if len(r.dead) >= MaxCrashes {
		r.until = now.Add(BlockFor)
		b.explain(server, now)
	}
	return r.outcome()
}

func (r *record) outcome() Outcome {
	switch {
	case len(r.dead) >= MaxCrashes:
		return Blocked
	case r.restricted:
		return Isolated
	}
	return Allowed
}

// laidToAnother reports whether the death of a server is another request's
// doing: one that was tried on it alone, or was convicted by it.
func (b *Tracker) laidToAnother(f Fingerprint, server string, now time.Time) bool {
	if now.Before(b.explained[server]) {
		return true
	}
	for other, r := range b.cases {
		if other != f && r.onTrial(now) && slices.Contains(r.servers, server) {
			return true
		}
	}
	return false
}

func (b *Tracker) explain(server string, now time.Time) {
	if b.explained == nil {
		b.explained = map[string]time.Time{}
	}
	b.explained[server] = now.Add(explainFor)
}

func (b *Tracker) open(f Fingerprint) *record {
	if b.cases == nil {
		b.cases = map[Fingerprint]*record{}
	}
	if len(b.cases) >= maxCases {
		b.evict()
	}
	r := &record{}
	b.cases[f] = r
	return r
}

func (b *Tracker) evict() {
	var first Fingerprint
	for f, r := range b.cases {
		if first == "" || r.until.Before(b.cases[first].until) {
			first = f
		}
	}
	delete(b.cases, first)
}

// Acquire asks whether a request may run now on the given servers. The holder
// names the copy of the request that asks; with Alone, it has the trial.
func (b *Tracker) Acquire(f Fingerprint, holder string, servers []string, now time.Time) Outcome {
	b.sweep(now)
	r := b.cases[f]
	if r == nil {
		return Allowed
	}
	if o := r.outcome(); o != Isolated {
		return o
	}
	if r.onTrial(now) && r.holder != holder {
		return Wait
	}
	for other, o := range b.cases {
		if other != f && o.onTrial(now) && overlap(o.servers, servers) {
			return Wait
		}
	}
	r.holder, r.servers, r.trialEnd = holder, slices.Clone(servers), now.Add(trialFor)
	return Isolated
}

// Merge takes the deaths that an entry host knows of. A book that has just
// begun, since the one that kept it before is gone, learns them so that no
// death is forgotten.
func (b *Tracker) Merge(f Fingerprint, dead []string, now time.Time) {
	if len(dead) == 0 {
		return
	}
	r := b.cases[f]
	if r == nil {
		r = b.open(f)
		r.restricted = true
		r.until = now.Add(suspectFor)
	}
	for _, server := range dead {
		if len(r.dead) < MaxCrashes && !slices.Contains(r.dead, server) {
			r.dead = append(r.dead, server)
		}
	}
	if len(r.dead) >= MaxCrashes {
		r.until = now.Add(BlockFor)
	}
}

// Clear clears a request that got a token beyond the step at which a server
// had died under it. A conviction stays.
func (b *Tracker) Clear(f Fingerprint) {
	if r := b.cases[f]; r != nil && len(r.dead) < MaxCrashes {
		delete(b.cases, f)
	}
}

// Release ends the trial of a holder that did not come to a result, for example
// since its caller went away.
func (b *Tracker) Release(f Fingerprint, holder string) {
	if r := b.cases[f]; r != nil && r.holder == holder {
		r.holder = ""
	}
}

// Crashes returns how many deaths are laid to a request.
func (b *Tracker) Crashes(f Fingerprint) int {
	if r := b.cases[f]; r != nil {
		return len(r.dead)
	}
	return 0
}

func (b *Tracker) sweep(now time.Time) {
	for f, r := range b.cases {
		if !now.Before(r.until) && !r.onTrial(now) {
			delete(b.cases, f)
		}
	}
	for server, until := range b.explained {
		if !now.Before(until) {
			delete(b.explained, server)
		}
	}
}

func overlap(a, b []string) bool {
	for _, name := range a {
		if slices.Contains(b, name) {
			return true
		}
	}
	return false
}
