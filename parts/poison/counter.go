package poison

import (
	"slices"
	"sync"
	"time"
)

// Suspect is what is known against a request: the servers that died under it.
type Suspect struct {
	Print   Fingerprint
	Servers []string
	// Left is how long the mark lasts.
	Left time.Duration
}

// The bounds of a tally.
const (
	// CounterMaxCrashes is how many servers must have died under a request before it
	// is refused. One that is hit by two deaths within a minute by chance is
	// not rare on a bad day; one hit by three has caused them.
	CounterMaxCrashes = 3
	// tallyFor is how long a death is remembered. A request that crashes
	// servers comes again within seconds.
	tallyFor = time.Minute
	// maxTally bounds the requests that are remembered. The death of one server
	// marks some hundred.
	maxTally = 4096
)

// Counter counts the servers that died under requests, where entry hosts only
// tell each other and no one keeps a [Tracker]. The zero value is ready.
type Counter struct {
	mu    sync.Mutex
	marks map[Fingerprint]*tallied
	// cleared holds requests that were served lately, until when that counts.
	cleared map[Fingerprint]time.Time
}

type tallied struct {
	servers []string
	until   time.Time
}

// RecordCrash notes that a server died while it ran a request.
func (t *Counter) RecordCrash(print Fingerprint, server string, now time.Time) {
	t.Merge(Suspect{Print: print, Servers: []string{server}, Left: tallyFor}, now)
}

// RecordSuccess notes that a request was served: it crashes nothing. Many callers may
// send the same one, and servers die under any of them on a bad day; without
// this, all would be refused for a minute.
func (t *Counter) RecordSuccess(print Fingerprint, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cleared == nil {
		t.cleared = map[Fingerprint]time.Time{}
	}
	if len(t.cleared) >= maxTally {
		t.forget(now)
	}
	if len(t.cleared) < maxTally {
		t.cleared[print] = now.Add(tallyFor)
	}
	delete(t.marks, print)
}

// Merge takes over what another entry host knows.
func (t *Counter) Merge(m Suspect, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.cleared[m.Print]) {
		return
	}
	if t.marks == nil {
		t.marks = map[Fingerprint]*tallied{}
	}
	t.forget(now)
	known := t.marks[m.Print]
	if known == nil {
		if len(t.marks) >= maxTally {
			return
		}
		known = &tallied{}
		t.marks[m.Print] = known
	}
	for _, server := range m.Servers {
		if !slices.Contains(known.servers, server) {
			known.servers = append(known.servers, server)
		}
	}
	if until := now.Add(min(m.Left, tallyFor)); until.After(known.until) {
		known.until = until
	}
}

// forget drops what is over. The mutex is held.
func (t *Counter) forget(now time.Time) {
	for print, known := range t.marks {
		if now.After(known.until) {
			delete(t.marks, print)
		}
	}
	for print, until := range t.cleared {
		if now.After(until) {
			delete(t.cleared, print)
		}
	}
}

// Blocked reports whether a request must not run any more.
func (t *Counter) Blocked(print Fingerprint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.marks[print]
	return known != nil && !now.After(known.until) && len(known.servers) >= CounterMaxCrashes
}

// Suspects returns the marks to tell others: those of requests under which two
// servers died at least. One death marks too many to tell.
func (t *Counter) Suspects(now time.Time) []Suspect {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Suspect
	for print, known := range t.marks {
		if len(known.servers) > 1 && known.until.After(now) {
			list = append(list, Suspect{Print: print, Servers: slices.Clone(known.servers), Left: known.until.Sub(now)})
		}
	}
	return list
}
