package stream

import (
	"context"
	"errors"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/probe"
)

// endings are the endings of attempts that this entry host ended, by their causes.
var endings = map[error]call.Ending{errExited: call.EndedExited, errNoChain: call.EndedNoChain}

// endingOf returns how an attempt ended.
func endingOf(ctx context.Context, e *fault.Error) call.Ending {
	if call.CallerGone(ctx) || e.Code == fault.Cancelled {
		return call.EndedCaller
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return call.EndedDeadline
	}
	for cause, ending := range endings {
		if errors.Is(e, cause) {
			return ending
		}
	}
	if e.Verdict == fault.NotRun {
		return call.EndedRefused
	}
	return call.EndedBroken
}

// recordEnding records how the last attempt ended, if a server may have run it.
func (r *request) recordEnding(ctx context.Context, e *fault.Error) {
	ending := endingOf(ctx, e)
	if e.Verdict != fault.NotRun || ending == call.EndedDeadline && len(r.mayHaveRun) > 0 {
		r.out.Ending = ending
	}
}

// logEndedServer logs whether the server of a response that this host ended still answers.
func (r *request) logEndedServer() {
	if r.out.Ending.ByHost() && r.out.Ending != call.EndedDeadline && len(r.mayHaveRun) > 0 {
		go r.Monitor.logServerOf(r.job.ID, r.mayHaveRun[len(r.mayHaveRun)-1])
	}
}

// endedServerTimeout is how long a server of an ended response may take to show that it lives.
const endedServerTimeout = 3 * time.Second

// logServerOf asks a server whether it is alive and logs the answer for a request that this
// entry host has ended there. It does nothing for the request, and ends after endedServerTimeout.
func (m *Monitor) logServerOf(request string, s *fleet.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), endedServerTimeout)
	defer cancel()
	start := time.Now()
	_, err := m.Engine.Report(ctx, s.Address)
	m.Log.Info("stream: server of an ended response", "request", request, "server", s.ID,
		"answers", isAlive(err), "exited", probeResult(err) == probe.Refused, "took", time.Since(start))
}
