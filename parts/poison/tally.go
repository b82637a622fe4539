package poison

import (
	"slices"
	"sync"
	"time"
)

// Mark is what is known against a request: the servers that died under it.
type Mark struct {
	Print   Fingerprint
	Servers []string
	// Left is how long the mark lasts.
	Left time.Duration
}

// The bounds of a tally.
const (
	// TallyDeaths is how many servers must have died under a request before it
	// is refused. One that is hit by two deaths within a minute by chance is
	// not rare on a bad day; one hit by three has caused them.
	TallyDeaths = 3
	// tallyFor is how long a death is remembered. A request that crashes
	// servers comes again within seconds.
	tallyFor = time.Minute
	// maxTally bounds the requests that are remembered. The death of one server
	// marks some hundred.
	maxTally = 4096
)

// Tally counts the servers that died under requests, where entry hosts only
// tell each other and no one keeps a [Book]. The zero value is ready.
type Tally struct {
	mu    sync.Mutex
	marks map[Fingerprint]*tallied
	// cleared holds requests that were served lately, until when that counts.
	cleared map[Fingerprint]time.Time
}

type tallied struct {
	servers []string
	until   time.Time
}

// Died notes that a server died while it ran a request.
func (t *Tally) Died(print Fingerprint, server string, now time.Time) {
	t.Take(Mark{Print: print, Servers: []string{server}, Left: tallyFor}, now)
}

// Served notes that a request was served: it crashes nothing. Many callers may
// send the same one, and servers die under any of them on a bad day; without
// this, all would be refused for a minute.
func (t *Tally) Served(print Fingerprint, now time.Time) {
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

// Take takes over what another entry host knows.
func (t *Tally) Take(m Mark, now time.Time) {
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
func (t *Tally) forget(now time.Time) {
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

// Convicted reports whether a request must not run any more.
func (t *Tally) Convicted(print Fingerprint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.marks[print]
	return known != nil && !now.After(known.until) && len(known.servers) >= TallyDeaths
}

// Marks returns the marks to tell others: those of requests under which two
// servers died at least. One death marks too many to tell.
func (t *Tally) Marks(now time.Time) []Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Mark
	for print, known := range t.marks {
		if len(known.servers) > 1 && known.until.After(now) {
			list = append(list, Mark{Print: print, Servers: slices.Clone(known.servers), Left: known.until.Sub(now)})
		}
	}
	return list
}
