package owner

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// maxAge is the age from which the result of a probe is a hint: the owner may have stalled.
	maxAge = time.Second
	// answerFor is how long an answer is sent to other hosts, and contradicts results.
	answerFor = 2 * time.Second
	// minNewer is how much newer a result must be to replace that of the same owner. The time that
	// messages take makes results look newer than they are, which must not renew them.
	minNewer = 200 * time.Millisecond
	// orderMargin is the difference in time below which the order of a result and an answer is not
	// certain. Messages are in transit for up to the 500 ms that an exchange may take, which makes
	// what they say look newer than it is.
	orderMargin = 500 * time.Millisecond
	// failedFor is how long a request that failed is a reason to probe a server.
	failedFor = time.Second
	// keepFor is how long what is known about a server is kept.
	keepFor = 2 * ResultFor
	// MaxResults is the largest number of results in a message.
	MaxResults = 64
)

// Result is the result of a probe.
type Result struct {
	Server string
	// By is the host that probed the server; empty if it is not known.
	By string
	// At is when the probe ended.
	At time.Time
	// Exited says that the process has ended.
	Exited bool
}

// Verdict is what a host makes of a result of another one.
type Verdict uint8

// The verdicts.
const (
	// Ignored means that the result is not newer than what is known.
	Ignored Verdict = iota
	// Hint means that the result is only a hint. Decide says what follows.
	Hint
	// Renewed means that the result confirms what is known.
	Renewed
	// Accepted means that the result changes what is known.
	Accepted
)

// Stats counts what a host has done since its start.
type Stats struct {
	// Probes is the number of probes, and Avoided that of probes that were not sent because the
	// host relied on owners.
	Probes, Avoided int64
	// Accepted is the number of accepted results, and Hints that of hints.
	Accepted, Hints int64
}

// Tracker holds what a host knows about suspected servers from its own probes and from those of
// others. Set Hosts.Self before use. In a domain in which every host owns every server, each host
// probes for itself, and the results of others are only hints. It is safe for concurrent use.
type Tracker struct {
	// Hosts are the hosts of this failure domain that are alive and reach servers.
	Hosts Set

	mu      sync.Mutex
	servers map[string]*record
	stats   Stats
}

// record is what is known about a server.
type record struct {
	// probed is when the last probe of this host ended that was not answered, and exited its
	// finding. answered is when a probe of this host was last answered.
	probed, answered time.Time
	exited           bool
	// failed is when a request of this host last failed there.
	failed time.Time
	// hinted is when the first hint arrived since something else was known.
	hinted time.Time
	// refuted says that another owner has reported the server to this host, which owns it too, and
	// doubt that a result of an owner contradicts an answer.
	refuted, doubt bool
	// results holds the newest accepted result of each owner.
	results []Result
	// answer is the newest answer that an owner has reported.
	answer Result
	// asked says that another host has got an answer since the last probe, and askedFor which.
	asked    bool
	askedFor time.Time
	// avoided is when a probe was last avoided.
	avoided time.Time
	// owners are the owners of the server among hosts.
	owners []string
	hosts  *[]host
}

// ownersOf returns the owners of a server. The mutex is held.
func (t *Tracker) ownersOf(server string, r *record) []string {
	if hosts := t.Hosts.hosts.Load(); hosts == nil || hosts != r.hosts {
		r.owners, r.hosts = t.Hosts.Owners(server), hosts
	}
	return r.owners
}

// reset forgets all that was known against the server.
func (r *record) reset() {
	*r = record{answered: r.answered, answer: r.answer, failed: r.failed, askedFor: r.askedFor, owners: r.owners, hosts: r.hosts}
}

func (t *Tracker) record(server string) *record {
	if t.servers == nil {
		t.servers = map[string]*record{}
	}
	r := t.servers[server]
	if r == nil {
		r = &record{}
		t.servers[server] = r
	}
	return r
}

// CountProbe counts a probe of this host.
func (t *Tracker) CountProbe() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Probes++
}

// RecordRequest records that a request of this host failed at a server.
func (t *Tracker) RecordRequest(server string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(server).failed = now
}

// RecordFailed records that a probe of this host was not answered.
func (t *Tracker) RecordFailed(server string, exited bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(server)
	r.probed, r.exited, r.asked, r.doubt = now, exited, false, false
	r.hinted, r.answered, r.answer = time.Time{}, time.Time{}, Result{}
}

// RecordAnswered records that a probe of this host was answered. It reports whether to send this
// to others at once, because hosts of the domain rely on a result that says otherwise.
func (t *Tracker) RecordAnswered(server string, now time.Time) (broadcast bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(server)
	reported := !r.probed.IsZero() || len(r.results) > 0 || r.refuted
	if t.Hosts.Shared() && slices.Contains(t.ownersOf(server, r), t.Hosts.Self) && (reported || !r.hinted.IsZero()) {
		r.answer = Result{Server: server, By: t.Hosts.Self, At: now}
		broadcast = reported
	}
	r.reset()
	r.answered, r.failed = now, time.Time{}
	return broadcast
}

// Local is what this host knows about a server from elsewhere.
type Local struct {
	// Reason reports whether streams pass through the server; nil means no. It must not call the
	// Tracker.
	Reason func() bool
	// Suspected says that the host suspects the server.
	Suspected bool
}

// Take takes the result of a probe of another host that was not answered.
func (t *Tracker) Take(res Result, local Local, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	if res.By == t.Hosts.Self && res.By != "" {
		return Ignored
	}
	r := t.record(res.Server)
	if r.has(res, now) {
		return Ignored
	}
	owners := t.ownersOf(res.Server, r)
	owned := slices.Contains(owners, t.Hosts.Self)
	byOwner := t.Hosts.Shared() && slices.Contains(owners, res.By)
	if res.By != "" && (!r.answer.At.Before(res.At) || !r.answered.Before(res.At)) {
		// The server has answered since. Hosts that rely on the other owner do not know unless
		// this one says so.
		if byOwner && owned && r.answered.After(res.At) && r.answered.After(r.answer.At) {
			r.answer = Result{Server: res.Server, By: t.Hosts.Self, At: r.answered}
		}
		return Ignored
	}
	contradicted := now.Sub(r.answer.At) < answerFor && (r.answer.By != res.By || res.At.Sub(r.answer.At) < orderMargin) || now.Sub(r.answered) < answerFor
	own := owned || now.Sub(r.failed) < failedFor
	relies := r.newest(&t.Hosts, now)
	switch {
	case !byOwner || own || contradicted || local.Reason != nil && local.Reason() || relies.IsZero() && now.Sub(res.At) > maxAge:
		if local.Suspected && !(owned && t.Hosts.Shared()) || !byOwner && r.answeredOther(t.Hosts.Self, now) {
			return Ignored
		}
		t.stats.Hints++
		r.refuted = r.refuted || byOwner && owned
		r.doubt = r.doubt || byOwner && contradicted
		if r.hinted.IsZero() {
			r.hinted = now
		}
		return Hint
	case now.Sub(res.At) >= ResultFor:
		return Ignored
	}
	r.results = append(slices.DeleteFunc(r.results, func(old Result) bool { return old.By == res.By }), res)
	r.hinted = time.Time{}
	t.stats.Accepted++
	if relies.IsZero() && now.Sub(r.probed) >= ResultFor {
		return Accepted
	}
	return Renewed
}

// answeredOther reports whether an owner other than this host has lately got an answer.
func (r *record) answeredOther(self string, now time.Time) bool {
	return now.Sub(r.answer.At) < answeredFor && r.answer.By != self
}

// has reports whether a result is not newer than one of the same host that was accepted.
func (r *record) has(res Result, now time.Time) bool {
	return slices.ContainsFunc(r.results, func(old Result) bool {
		return old.By == res.By && now.Sub(old.At) < ResultFor && res.At.Sub(old.At) < minNewer
	})
}

// newest returns the end of the newest probe among the results of hosts that are alive; zero if
// there is none that counts.
func (r *record) newest(hosts *Set, now time.Time) (at time.Time) {
	for _, res := range r.results {
		if now.Sub(res.At) < ResultFor && res.At.After(at) && hosts.Has(res.By) {
			at = res.At
		}
	}
	return at
}

// TakeAnswer takes the news that a server has answered another host. If it is accepted, the
// suspicion of the server has ended.
func (t *Tracker) TakeAnswer(res Result, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	if res.By == t.Hosts.Self || !t.Hosts.Shared() || now.Sub(res.At) >= answerFor {
		return Ignored
	}
	r := t.record(res.Server)
	owners := t.ownersOf(res.Server, r)
	byOwner := slices.Contains(owners, res.By)
	known := r.newest(&t.Hosts, now)
	uncertain := !res.At.After(known) && known.Sub(res.At) < orderMargin
	if r.probed.After(known) {
		known = r.probed
	}
	if !res.At.After(r.probed) || !res.At.After(known) && !uncertain || res.At.Sub(r.answer.At) < minNewer {
		return Ignored
	}
	suspected := !known.IsZero()
	switch {
	case suspected && (uncertain || !byOwner || slices.Contains(owners, t.Hosts.Self)):
		// An owner, and a host of another domain, may reach what others do not.
		if res.At.Sub(r.askedFor) < minNewer {
			return Ignored
		}
		r.asked, r.askedFor = true, res.At
		return Hint
	case !byOwner:
		return Ignored
	}
	r.reset()
	r.answer = res
	if !suspected {
		return Renewed
	}
	t.stats.Accepted++
	return Accepted
}

// Decide returns what this host does about a server. own says that streams of this host pass through
// the server, need that requests wait for its service, and interval how long after the
// last probe the next one is due.
func (t *Tracker) Decide(server string, own, need bool, interval time.Duration, now time.Time) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.servers[server]
	if r == nil {
		return Decision{}
	}
	result := r.newest(&t.Hosts, now)
	d := Decide(Facts{
		Owns: slices.Contains(t.ownersOf(server, r), t.Hosts.Self), Failed: own || now.Sub(r.failed) < failedFor, Need: need,
		Doubt: r.doubt, Asked: r.asked, Probed: r.probed, Interval: interval, Result: result, Lapsed: result.IsZero() && len(r.results) > 0, Hinted: r.hinted,
	}, now)
	if d.Action == Rely && now.Sub(r.avoided) >= interval {
		r.avoided = now
		t.stats.Avoided++
	}
	return d
}

// Known returns the servers about which something is known.
func (t *Tracker) Known() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.servers))
}

// Down reports whether a server is down according to an owner, or has exited.
func (t *Tracker) Down(server string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.servers[server]
	return r != nil && (r.exited || !r.newest(&t.Hosts, now).IsZero())
}

// Results returns the results to send to other hosts, at most MaxResults together, the newest
// first: probes that were not answered, and answers.
func (t *Tracker) Results(now time.Time) (failed, answered []Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for server, r := range t.servers {
		if res, known := t.failure(server, r, now); known {
			failed = append(failed, res)
		}
		if now.Sub(r.answer.At) < answerFor {
			answered = append(answered, r.answer)
		}
	}
	newestFirst(failed)
	newestFirst(answered)
	for len(failed)+len(answered) > MaxResults {
		if len(answered) == 0 || len(failed) > 0 && failed[len(failed)-1].At.Before(answered[len(answered)-1].At) {
			failed = failed[:len(failed)-1]
			continue
		}
		answered = answered[:len(answered)-1]
	}
	return failed, answered
}

func newestFirst(list []Result) {
	slices.SortFunc(list, func(a, b Result) int { return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Server, b.Server)) })
}

// failure returns the result to send of a server: the newest one of an owner, or else that of this
// host. The mutex is held.
func (t *Tracker) failure(server string, r *record, now time.Time) (res Result, known bool) {
	if now.Sub(r.probed) < ResultFor {
		res, known = Result{Server: server, By: t.Hosts.Self, At: r.probed, Exited: r.exited}, true
	}
	owned := known && slices.Contains(t.ownersOf(server, r), t.Hosts.Self)
	for _, other := range r.results {
		if now.Sub(other.At) < ResultFor && t.Hosts.Has(other.By) && (!owned || other.At.After(res.At)) {
			res, known, owned = other, true, true
		}
	}
	return res, known
}

// Forget drops what is known about a server.
func (t *Tracker) Forget(server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.servers, server)
}

// Sweep drops what is too old to matter.
func (t *Tracker) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.servers, func(_ string, r *record) bool {
		for _, res := range r.results {
			if now.Sub(res.At) < keepFor {
				return false
			}
		}
		for _, at := range []time.Time{r.probed, r.answered, r.failed, r.hinted, r.answer.At} {
			if now.Sub(at) < keepFor {
				return false
			}
		}
		return true
	})
}

// Stats returns the counts.
func (t *Tracker) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stats
}
