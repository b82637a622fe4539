package state

import "time"

const (
	// minSilence and maxSilence bound the time for which a silent server counts as holding
	// its layers. Between them it is the time that a load of these layers takes: if it ends
	// sooner, a load would have ended later. Where loads are short, the requests that an
	// order displaces cost more than the load; where they are long, callers are refused
	// meanwhile.
	minSilence = 1500 * time.Millisecond
	maxSilence = 3 * time.Second
	// silenceMemory is how long a silence is remembered after the last evidence of it. It is
	// longer than the interval between probes of a server of another failure domain, whose
	// suspicion may expire in between.
	silenceMemory = 2 * SuspectFor
)

// suspicion is what is known of a server that has failed probes or requests.
type suspicion struct {
	until time.Time
	// silentUntil is until when the server counts as silent rather than lost; zero if the
	// evidence is of another kind. silent is what the view shows.
	silentUntil time.Time
	silent      bool
}

// stale reports whether the view shows another state.
func (s suspicion) stale(now time.Time) bool {
	return !now.Before(s.until) || s.silent && !now.Before(s.silentUntil)
}

// silence is the time in which a server accepted connections and did not answer.
type silence struct {
	// since is when it began to fail probes, and seen the time of the last one.
	since, seen time.Time
}

// over reports whether the silence is forgotten.
func (s silence) over(now time.Time) bool {
	return now.Sub(s.seen) > silenceMemory
}

// suspected reports whether a server is suspected, and whether it is only silent. It drops
// a suspicion that has expired. The mutex is held.
func (s *Local) suspected(id string, now time.Time) (suspected, silent bool) {
	suspect, known := s.suspects[id]
	if !known {
		return false, false
	}
	if !now.Before(suspect.until) {
		delete(s.suspects, id)
		return false, false
	}
	silent = now.Before(suspect.silentUntil)
	if suspect.silent && !silent {
		s.Log.Warn("servers: silent for longer than a load of its layers", "server", id, "silence", now.Sub(s.silences[id].since))
	}
	suspect.silent = silent
	s.suspects[id] = suspect
	return true, silent
}

// Suspect marks a server as suspected until the given time, because it cannot be reached,
// has ended or has failed a request. It counts as lost at once. It reports whether that is
// new.
func (s *Local) Suspect(id string, until, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.silences, id)
	return s.setSuspicion(id, suspicion{until: until}, now)
}

// SuspectSilent is like Suspect for a server that accepts connections but does not answer.
// It counts as lost once its silence has lasted for the time that a load of its layers
// takes, however often that is reported, or at once if it counts as lost already.
func (s *Local) SuspectSilent(id string, until, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	suspect := suspicion{until: until}
	if old, known := s.suspects[id]; !known || !now.Before(old.until) || !old.silentUntil.IsZero() {
		suspect.silentUntil = s.silenceOf(id, now).Add(s.maxSilence(id))
	}
	return s.setSuspicion(id, suspect, now)
}

// silenceOf records evidence of the silence of a server and returns when it began. The
// mutex is held.
func (s *Local) silenceOf(id string, now time.Time) time.Time {
	if s.silences == nil {
		s.silences = map[string]silence{}
	}
	current, known := s.silences[id]
	if !known || current.over(now) {
		current.since = now
	}
	current.seen = now
	s.silences[id] = current
	return current.since
}

// maxSilence returns for how long a silent server counts as holding its layers. The mutex
// is held.
func (s *Local) maxSilence(id string) time.Duration {
	server, known := s.entry(id)
	table := s.table.Load()
	if !known || table == nil {
		return minSilence
	}
	engine := table.Services[server.Service].Engine
	if engine == nil {
		return minSilence
	}
	return min(max(minSilence, engine.MaxLoadDuration(server.LayerCount())), maxSilence)
}

// setSuspicion replaces the suspicion of a server, without shortening it. It reports whether
// the state of the server changed. The mutex is held.
func (s *Local) setSuspicion(id string, suspect suspicion, now time.Time) (changed bool) {
	if s.suspects == nil {
		s.suspects = map[string]suspicion{}
	}
	old, known := s.suspects[id]
	active := known && now.Before(old.until)
	if active && old.until.After(suspect.until) {
		suspect.until = old.until
	}
	// The view still shows the old state.
	suspect.silent = active && old.silent
	s.suspects[id] = suspect
	if active && old.silent == now.Before(suspect.silentUntil) {
		return false
	}
	s.update([]string{id}, false, now)
	return true
}

// ClearSuspicion ends the suspicion of a server that has just answered.
func (s *Local) ClearSuspicion(id string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.silences, id)
	if _, suspected := s.suspects[id]; suspected {
		delete(s.suspects, id)
		s.update([]string{id}, false, now)
	}
}

// Suspects returns the end of the suspicion of each suspected server.
func (s *Local) Suspects() map[string]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make(map[string]time.Time, len(s.suspects))
	for id, suspect := range s.suspects {
		list[id] = suspect.until
	}
	return list
}
