package stream

import (
	"cmp"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/parts/route"
)

// Timeouts as fractions of the route's objectives and of its caller timeout.
const (
	// silentFraction is the time without an event after which the servers of a
	// stream are probed, as a fraction of the route's maximum gap. The probe, the
	// reroute and reading the prompt on the new chain must fit into the rest.
	silentFraction = 0.4
	// silentStartFraction is the same before the first event, as a fraction of the
	// target for the first event.
	silentStartFraction = 0.4
	// notableWaitFraction is the wait at a server above which the other entry hosts
	// are notified at once, as a fraction of the target for the first event.
	notableWaitFraction = 0.2
	// queueWaitFraction is the longest wait of a request for capacity, as a fraction
	// of the longest target for the first event of the routes of the service that are
	// as urgent or less. The rest is enough to read the prompt.
	queueWaitFraction = 0.8
	// linkWaitFraction bounds the time that the transfers of one entry host are
	// queued for the link between failure domains, as a fraction of the route's
	// maximum gap.
	linkWaitFraction = 0.4
	// restartSearchFraction bounds the search for another chain for a response that
	// broke off, as a fraction of the caller timeout. The rest is left for the first
	// event of the new chain.
	restartSearchFraction = 0.8
	// restartFraction is the time without an event after which another attempt is
	// sought regardless of the state of the servers, as a fraction of the caller timeout.
	restartFraction = 0.65
)

// Defaults for routes without objectives.
const (
	defaultTarget        = 500 * time.Millisecond
	defaultMaxGap        = 250 * time.Millisecond
	defaultCallerTimeout = 2 * time.Second
)

func fractionOf(value, fallback time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(cmp.Or(value, fallback)))
}

func firstEventTarget(r *route.Route) time.Duration { return cmp.Or(r.Target, defaultTarget) }

func notableWait(r *route.Route) time.Duration {
	return fractionOf(r.Target, defaultTarget, notableWaitFraction)
}

func silentTimeout(r *route.Route) time.Duration {
	return fractionOf(r.MaxGap, defaultMaxGap, silentFraction)
}

func silentStartTimeout(r *route.Route) time.Duration {
	return fractionOf(r.Target, defaultTarget, silentStartFraction)
}

// maxQueueWait returns the longest wait of a request for capacity: a more urgent one is not
// refused where a less urgent one for the service would wait.
func maxQueueWait(j *call.Job) time.Duration {
	target := max(firstEventTarget(j.Route), j.Service.LongestTarget(j.Priority, defaultTarget))
	return fractionOf(target, defaultTarget, queueWaitFraction)
}

func maxLinkWait(r *route.Route) time.Duration {
	return fractionOf(r.MaxGap, defaultMaxGap, linkWaitFraction)
}

func restartSearchWait(r *route.Route) time.Duration {
	return fractionOf(r.CallerTimeout, defaultCallerTimeout, restartSearchFraction)
}

func restartTimeout(r *route.Route) time.Duration {
	return fractionOf(r.CallerTimeout, defaultCallerTimeout, restartFraction)
}
