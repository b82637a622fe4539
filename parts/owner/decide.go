package owner

import "time"

const (
	// ResultFor is how long a suspicion lasts that was accepted from a result, from the end of
	// the probe.
	ResultFor = 2 * time.Second
	// relyFor is how long a host relies on a result, from the end of the probe. The rest of
	// ResultFor is enough for a probe of its own, which may take 300 ms, before the suspicion ends.
	relyFor = ResultFor - 400*time.Millisecond
	// needRelyFor is relyFor while requests wait at the host.
	needRelyFor = time.Second
	// HintAfter is how long a host that has received a hint waits for a result of an owner. While a
	// domain of 30 servers is cut off, results take longer, and a host that waited for them sent
	// its requests to servers that did not answer.
	HintAfter = 100 * time.Millisecond
	// answeredFor is how long an answer of another owner outweighs hints.
	answeredFor = time.Second
)

// Action is what a host does about a server.
type Action uint8

// The actions.
const (
	// Idle means that nothing is known against the server.
	Idle Action = iota
	// Probe means that the host probes the server itself.
	Probe
	// Rely means that the host relies on the results of owners.
	Rely
)

// Decision is an action and the time until it is due; for Rely, the time until the host probes the
// server unless there is a newer result.
type Decision struct {
	Action Action
	After  time.Duration
}

// Facts are what a host knows about a server.
type Facts struct {
	// Owns says that the host owns the server.
	Owns bool
	// Failed says that a request of the host failed there lately, or that one of its streams
	// passes through the server.
	Failed bool
	// Need says that requests wait at the host for the service of the server.
	Need bool
	// Doubt says that a result of an owner contradicts a recent answer of the server.
	Doubt bool
	// Asked says that another host has got an answer since this host last probed the server.
	Asked bool
	// Probed is when the last probe of the host, which was not answered, ended, and Interval how
	// long after it the next one is due. Zero if there is none.
	Probed   time.Time
	Interval time.Duration
	// Result is when the probe of the newest result of an owner that is alive ended; zero if
	// there is none.
	Result time.Time
	// Lapsed says that the host relied on results of which none counts any more.
	Lapsed bool
	// Hinted is when the first hint since then was received; zero if there is none.
	Hinted time.Time
}

// Decide returns what a host does about a server.
func Decide(f Facts, now time.Time) Decision {
	probe := func(at time.Time) Decision { return Decision{Probe, max(0, at.Sub(now))} }
	next := f.Probed.Add(f.Interval)
	switch {
	case f.Probed.IsZero() && f.Result.IsZero() && f.Hinted.IsZero() && !f.Lapsed:
		return Decision{}
	case f.Asked:
		return probe(now)
	case f.Owns || f.Failed || f.Doubt:
		return probe(next)
	case f.Need && now.Sub(f.Result) >= needRelyFor:
		// Owners that probe every 500 ms tell at once that the server is back. Without a
		// fresh result they may not.
		return probe(next)
	case now.Before(f.Result.Add(relyFor)):
		return Decision{Rely, f.Result.Add(relyFor).Sub(now)}
	case !f.Probed.IsZero() || !f.Result.IsZero() || f.Lapsed:
		return probe(next)
	}
	return probe(f.Hinted.Add(HintAfter))
}
