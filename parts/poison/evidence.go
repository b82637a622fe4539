package poison

import (
	"maps"
	"slices"
	"time"
)

const (
	// spreadFor is how long what a host has learned is passed on to others. By then it has
	// reached all hosts.
	spreadFor = 3 * time.Second
	// maxDelay is longer than evidence takes from one host to another. What is about to be
	// forgotten is not accepted any more, so that it does not go round.
	maxDelay = 5 * time.Second
	// maxSentCauses bounds the causes in one message.
	maxSentCauses = 2048
	// maxSentCrashes is how many crashes are sent for a cause that has been blocked for longer
	// than spreadFor, to hosts that start.
	maxSentCrashes = 6
)

// Evidence is what an entry host tells others of crashes. The names of the fields are part of the
// encoding.
type Evidence struct {
	Crashes []Crash
	// Answers holds the ages of answers to requests with each cause, by digests of their IDs, and
	// Earlier the number of those before the first crash.
	Answers map[Cause]map[uint32]time.Duration
	Earlier map[Cause]int
}

// Crash is the crash of a server.
type Crash struct {
	// Server identifies the process.
	Server string
	Age    time.Duration
	// Causes holds the possible causes, with their ranks.
	Causes map[Cause]uint8
	// Sequential holds the causes of requests that were sent to the server after another one had
	// crashed under a request with the cause.
	Sequential map[Cause]bool
}

// Evidence returns what other entry hosts may lack: what is new, and why causes are blocked.
func (d *Detector) Evidence(now time.Time) Evidence {
	d.mu.Lock()
	defer d.mu.Unlock()
	var e Evidence
	room := maxSentCauses
	lasting := d.lastingCrashes()
	for _, c := range slices.SortedFunc(maps.Values(d.crashes), func(a, b *crash) int { return b.at.Compare(a.at) }) {
		causes := lasting[c]
		if now.Sub(c.changed) <= spreadFor && len(c.causes) <= room {
			causes = maps.Clone(c.causes)
		}
		if len(causes) > 0 {
			sequential := maps.Clone(c.sequential)
			maps.DeleteFunc(sequential, func(cause Cause, _ bool) bool { return causes[cause] == 0 })
			e.Crashes = append(e.Crashes, Crash{Server: c.server, Age: now.Sub(c.at), Causes: causes, Sequential: sequential})
			room -= len(causes)
		}
	}
	e.Answers, e.Earlier = map[Cause]map[uint32]time.Duration{}, map[Cause]int{}
	for cause, s := range d.suspects {
		if !d.blocked[cause] && (now.Sub(s.changed) > spreadFor || len(e.Earlier)+len(e.Answers) >= maxSentCauses) {
			continue
		}
		if s.earlier > 0 {
			e.Earlier[cause] = s.earlier
		}
		if len(s.answers) == 0 {
			continue
		}
		ages := map[uint32]time.Duration{}
		for request, at := range s.answers {
			ages[request] = now.Sub(at)
		}
		e.Answers[cause] = ages
	}
	return e
}

// lastingCrashes returns the crashes for which causes are blocked, the newest of each. The mutex is
// held.
func (d *Detector) lastingCrashes() map[*crash]map[Cause]uint8 {
	list := map[*crash]map[Cause]uint8{}
	for cause := range d.blocked {
		s := d.suspects[cause]
		newest := slices.SortedFunc(slices.Values(s.crashes), func(a, b *crash) int { return b.at.Compare(a.at) })
		for _, c := range newest[:min(len(newest), maxSentCrashes)] {
			if list[c] == nil {
				list[c] = map[Cause]uint8{}
			}
			list[c][cause] = s.rank
		}
	}
	return list
}

// Merge adds the evidence of another entry host. It reports whether a cause was blocked or released,
// which the others are to be told at once.
func (d *Detector) Merge(e Evidence, from string, now time.Time) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	learned := false
	lasting := e.lasting()
	for _, c := range e.Crashes {
		known := d.crashes[c.Server] != nil
		added := false
		for cause, rank := range c.Causes {
			if c.Age < crashTTL-maxDelay || lasting[cause] {
				added = d.addCause(c.Server, cause, rank, now.Add(-c.Age), now) || added
			}
			record := d.crashes[c.Server]
			if record != nil && record.causes[cause] != 0 && c.Sequential[cause] && !record.sequential[cause] {
				record.setSequential(cause, now)
				added = true
			}
		}
		if added && !known {
			d.Log.Info("crashes: told of", "server", c.Server, "from", from, "age", c.Age)
		}
		learned = learned || added
	}
	for cause, ages := range e.Answers {
		for request, age := range ages {
			d.addAnswer(cause, request, now.Add(-age), now)
		}
	}
	for cause, n := range e.Earlier {
		if s := d.suspects[cause]; s != nil && n > s.earlier {
			s.earlier, s.changed = min(n, maxEarlierAnswers), now
			d.stale = true
		}
	}
	if !learned {
		return false
	}
	before := maps.Clone(d.blocked)
	d.update(now)
	return !maps.Equal(before, d.blocked)
}

// lasting returns the causes that are blocked by the evidence however old some of it is.
func (e Evidence) lasting() map[Cause]bool {
	crashes, last := map[Cause]int{}, map[Cause]time.Duration{}
	for _, c := range e.Crashes {
		for cause := range c.Causes {
			if crashes[cause] == 0 || c.Age < last[cause] {
				last[cause] = c.Age
			}
			crashes[cause]++
		}
	}
	list := map[Cause]bool{}
	for cause, n := range crashes {
		list[cause] = n >= MinCrashes && last[cause] < BlockFor-maxDelay
	}
	return list
}
