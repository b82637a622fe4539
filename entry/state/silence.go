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
	// silent says that the server counts as silent rather than lost.
	silent bool
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

// suspicion returns the suspicion of a server and whether it has one. It drops one that has
// expired. The mutex is held.
func (s *Local) suspicion(id string, now time.Time) (suspicion, bool) {
	suspect, known := s.suspects[id]
	if known && !now.Before(suspect.until) {
		delete(s.suspects, id)
		return suspicion{}, false
	}
	return suspect, known
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

// SuspectSilent is like Suspect for a server that accepts connections but did not answer a
// probe. It counts as lost if it counts so already, or if its silence has lasted for the
// time that a load of its layers takes, which further probes do not extend.
func (s *Local) SuspectSilent(id string, until, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, suspected := s.suspicion(id, now)
	if suspected && !old.silent && s.silences[id].since.IsZero() {
		return s.setSuspicion(id, suspicion{until: until}, now)
	}
	if s.silences == nil {
		s.silences = map[string]silence{}
	}
	current, known := s.silences[id]
	if !known || current.over(now) {
		current.since = now
	}
	current.seen = now
	s.silences[id] = current
	silent := now.Before(current.since.Add(s.maxSilence(id)))
	if old.silent && !silent {
		s.Log.Warn("servers: silent for longer than a load of its layers", "server", id, "silence", now.Sub(current.since))
	}
	return s.setSuspicion(id, suspicion{until: until, silent: silent}, now)
}

// SilenceLimit returns when a silent server counts as lost if it does not answer then
// either; zero if it is not silent.
func (s *Local) SilenceLimit(id string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.suspects[id].silent {
		return time.Time{}
	}
	return s.silences[id].since.Add(s.maxSilence(id))
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
	old, suspected := s.suspicion(id, now)
	if suspected && old.until.After(suspect.until) {
		suspect.until = old.until
	}
	s.suspects[id] = suspect
	if suspected && old.silent == suspect.silent {
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
