package unary

import (
	"context"
	"errors"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/fleet"
)

// Cause is why an attempt or a request ended without a response.
type Cause string

// The causes.
const (
	// Silent means that this host ended an attempt whose server sent nothing for too long, after
	// another server had responded.
	Silent Cause = "silent"
	// Exited means that the process of the server has ended.
	Exited Cause = "exited"
	// Refused means that the last server refused the request.
	Refused Cause = "refused"
	// Broken means that the server, or the connection to it, broke off.
	Broken Cause = "broken"
	// Deadline means that the time of the caller or of the route was up.
	Deadline Cause = "deadline"
)

// logReplaced logs that this host ends an attempt because another one has a response.
func (r *request) logReplaced(t, used *flight) {
	r.logEnd("calls: attempt ended", t, Silent, "host", "used", used.server.ID)
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
		r.logEnd("calls: ended without a response", t, Deadline, "host", "error", e)
	case errors.Is(e, errProcessEnded):
		r.logEnd("calls: ended without a response", t, Exited, "server", "error", e)
	case t.outcome.refused():
		r.logEnd("calls: ended without a response", t, Refused, "server", "error", e)
	default:
		r.logEnd("calls: ended without a response", t, Broken, "server", "error", e)
	}
}

// logEnd logs and counts the end of an attempt or of a request, and what it is based on.
func (r *request) logEnd(message string, t *flight, cause Cause, by string, attrs ...any) {
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
