package unary

import (
	"context"
	"errors"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/fleet"
)

// logReplaced logs that this host ends an attempt because another one has a response.
func (r *request) logReplaced(t, used *flight) {
	r.logEnd("calls: attempt ended", t, call.EndedSilent, "host", "used", used.server.ID)
}

// logFailure logs that a request which may have run ends without a response of a server, while its
// caller waits.
func (r *request) logFailure(ctx context.Context) {
	t := r.last
	if t == nil || r.verdict == fault.NotRun || call.CallerGone(ctx) {
		return
	}
	e := t.outcome.err
	switch {
	case ctx.Err() != nil:
		r.logEnd("calls: ended without a response", t, call.EndedDeadline, "host", "error", e)
	case errors.Is(e, errProcessEnded):
		r.logEnd("calls: ended without a response", t, call.EndedExited, "server", "error", e)
	case t.outcome.refused():
		r.logEnd("calls: ended without a response", t, call.EndedRefused, "server", "error", e)
	default:
		r.logEnd("calls: ended without a response", t, call.EndedBroken, "server", "error", e)
	}
}

// logEnd logs and counts the end of an attempt or of a request, and what it is based on.
func (r *request) logEnd(message string, t *flight, cause call.Ending, by string, attrs ...any) {
	if r.Ended != nil {
		r.Ended(cause)
	}
	if r.Log == nil {
		return
	}
	suspected := false
	if s := r.State.View().ByAddress(t.server.Address); s != nil && s.ID == t.server.ID {
		suspected = s.Suspected
	}
	tried := make([]string, 0, len(r.tried))
	for address := range r.tried {
		tried = append(tried, address)
	}
	r.Log.Warn(message, append([]any{
		"request", r.job.ID, "route", r.job.Route.Name, "cause", cause, "by", by, "server", t.server.ID, "sent", time.Since(t.sentAt),
		"silent", t.silence(), "answered", t.answered.Load(), "suspected", suspected, "tried", tried, "refused", ids(r.refused),
	}, attrs...)...)
}

// ids returns the IDs of servers.
func ids(servers []*fleet.Server) []string {
	list := make([]string, 0, len(servers))
	for _, s := range servers {
		list = append(list, s.ID)
	}
	return list
}
