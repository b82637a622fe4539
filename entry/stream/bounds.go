package stream

import (
	"cmp"
	"time"

	"fuchsiashelf.dev/parts/route"
)

// Timeouts are fractions of the route's objectives.
const (
	// silentShare is the idle time after which the servers of a stream are checked,
	// as a fraction of the longest pause that is on time. The check, another chain and
	// reading the prompt there must fit into the rest.
	silentShare = 0.4
	// startShare is the same before the first event, as a fraction of its target.
	startShare = 0.4
	// notableShare is the wait at a server from which on other entry hosts are notified
	// at once, as a fraction of the target of the first event.
	notableShare = 0.2
	// roomShare is how long a request waits for room, as a fraction of the target of
	// the first event. The rest is enough to read its prompt.
	roomShare = 0.8
	// linkShare bounds the queue of one entry host's transfers on the link between
	// failure domains, as a fraction of the longest pause that is on time.
	linkShare = 0.4
	// rerouteShare bounds the search for another chain in the midst of an answer, as a
	// fraction of the idle time after which callers leave. Its first event takes the
	// rest.
	rerouteShare = 0.8
	// restartAfter is the idle time, as a fraction of the same, after which a stream
	// restarts on another chain regardless of its first server's health.
	restartAfter = 0.65
)

// Defaults for routes without objectives.
const (
	defaultTarget  = 500 * time.Millisecond
	defaultGap     = 250 * time.Millisecond
	defaultSilence = 2 * time.Second
)

func share(of, otherwise time.Duration, part float64) time.Duration {
	return time.Duration(part * float64(cmp.Or(of, otherwise)))
}

func firstTarget(r *route.Route) time.Duration { return cmp.Or(r.Target, defaultTarget) }

func notableWait(r *route.Route) time.Duration { return share(r.Target, defaultTarget, notableShare) }

func silentEvent(r *route.Route) time.Duration { return share(r.MaxGap, defaultGap, silentShare) }

func silentStart(r *route.Route) time.Duration { return share(r.Target, defaultTarget, startShare) }

func longestWait(r *route.Route) time.Duration { return share(r.Target, defaultTarget, roomShare) }

func linkWait(r *route.Route) time.Duration { return share(r.MaxGap, defaultGap, linkShare) }

func rerouteWait(r *route.Route) time.Duration {
	return share(r.CallerTimeout, defaultSilence, rerouteShare)
}

func restartWait(r *route.Route) time.Duration {
	return share(r.CallerTimeout, defaultSilence, restartAfter)
}
