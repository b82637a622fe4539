package stream

import (
	"cmp"
	"time"

	"fuchsiashelf.dev/parts/route"
)

// What a stream's route says decides how long is waited for anything. Times that
// suit one deployment are wrong by chance on another: a pause of 200 ms is late
// on one and usual on the next.
const (
	// silentShare of the longest pause that is on time is the silence after which
	// the servers of a stream are asked whether they live. The question, another
	// chain and reading the prompt there must fit into the rest.
	silentShare = 0.4
	// startShare is the same of the time to the first event.
	startShare = 0.4
	// notableShare of the time to the first event is the wait at a server from which
	// on other entry hosts are told at once.
	notableShare = 0.2
	// roomShare of the time to the first event is how long a request waits for
	// room. The rest is enough to read its prompt.
	roomShare = 0.8
	// linkShare of the longest pause is how long the transfers of one entry host
	// may wait for each other on the link between failure domains.
	linkShare = 0.4
	// insistShare of the silence that callers bear is how long another chain is
	// looked for in the midst of an answer: its first event takes the rest.
	insistShare = 0.8
	// hopelessShare of it is the silence after which a stream is begun anew even
	// if its first server claims to be well.
	hopelessShare = 0.65
)

// What counts for routes without objectives.
const (
	usualTarget  = 500 * time.Millisecond
	usualGap     = 250 * time.Millisecond
	usualSilence = 2 * time.Second
)

func share(of, otherwise time.Duration, part float64) time.Duration {
	return time.Duration(part * float64(cmp.Or(of, otherwise)))
}

func firstTarget(r *route.Route) time.Duration { return cmp.Or(r.Target, usualTarget) }

func notableWait(r *route.Route) time.Duration { return share(r.Target, usualTarget, notableShare) }

func silentEvent(r *route.Route) time.Duration { return share(r.Gap, usualGap, silentShare) }

func silentStart(r *route.Route) time.Duration { return share(r.Target, usualTarget, startShare) }

func longestWait(r *route.Route) time.Duration { return share(r.Target, usualTarget, roomShare) }

func linkWait(r *route.Route) time.Duration { return share(r.Gap, usualGap, linkShare) }

func insistFor(r *route.Route) time.Duration { return share(r.Silence, usualSilence, insistShare) }

func hopeless(r *route.Route) time.Duration { return share(r.Silence, usualSilence, hopelessShare) }
