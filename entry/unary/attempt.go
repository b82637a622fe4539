package unary

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/conns"
	"fuchsiashelf.dev/entry/egress"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/route"
)

// attempt is the outcome of one attempt of a request.
type attempt struct {
	server string
	// sentAt is when the attempt began.
	sentAt time.Time
	// from is the server that was asked.
	from   *fleet.Server
	reply  call.Reply
	header http.Header
	body   []byte
	// rest reads what follows the first maxBufferedBody bytes of a response body, and
	// release ends the attempt after that. They are nil for smaller responses.
	rest    *conns.Response
	release context.CancelFunc
	err     *fault.Error
}

// unsent reports whether nothing was sent, because the server has requested a pause or the caller
// has left.
func (a *attempt) unsent() bool { return a.err != nil && egress.WasNotSent(a.err) }

// refused reports whether the server responded that it did not run the request.
func (a *attempt) refused() bool { return a.err != nil && a.reply.NotRun }

// failed reports whether the server responded with an error.
func (a *attempt) failed() bool { return a.reply.Status >= http.StatusInternalServerError }

// exchange sends a request to one server and reads the response, up to maxBufferedBody. It runs in
// the goroutine of the attempt.
func (f *Forwarder) exchange(ctx context.Context, j *call.Job, t *flight) attempt {
	a := f.readResponse(ctx, j, t)
	a.server, a.sentAt = t.server.ID, t.sentAt
	if a.rest != nil {
		a.release = t.cancel
	}
	return a
}

// readResponse is exchange without what is known before.
func (f *Forwarder) readResponse(ctx context.Context, j *call.Job, t *flight) attempt {
	server := t.server
	o := egress.Options{RequestID: j.ID, DialTimeout: connectTimeout(j.Route), Caller: j.Caller}
	if j.Route.Kind == route.AtMostOnce {
		o.MaxIdle = maxIdleAtMostOnce
	}
	req := f.Codec.NewRequest(j.Request, call.SendOptions{Server: server, Timeout: j.Remaining(), Team: j.Team, Priority: j.Priority})
	resp, reply, err := f.Servers.Do(ctx, server, req, o)
	if err != nil {
		return attempt{err: fault.As(err)}
	}
	t.recordBytes()
	a := attempt{from: server, reply: reply, header: resp.Header}
	a.body, err = io.ReadAll(io.LimitReader(recordingReader{resp, t}, maxBufferedBody))
	whole := err == nil && len(a.body) < maxBufferedBody
	if whole && resp.EndsWithConn() && f.HasEnded(server) {
		err = errProcessEnded
	}
	if err != nil {
		resp.Close()
		a.err = &fault.Error{Code: fault.InvalidResponse, Verdict: fault.MayHaveRun, Message: "the answer broke off", Server: server.ID, Cause: err}
		return a
	}
	if len(a.body) == maxBufferedBody && !reply.NotRun {
		a.rest = resp
	} else {
		resp.Close()
	}
	if reply.NotRun {
		a.err = &fault.Error{Code: fault.ServerRefused, Verdict: fault.NotRun, Message: "the backend server refused", Server: server.ID}
		a.err.RetryAfter = f.retryAfter(f.State.View().Service(j.Service.Name))
	}
	return a
}

// connectTimeout returns the connect timeout for a route; zero means the default.
func connectTimeout(r *route.Route) time.Duration {
	if r.Target <= 0 {
		return 0
	}
	return max(minConnectTimeout, time.Duration(connectTimeoutShare*float64(r.Target)))
}

// errProcessEnded says that a response ended with its connection because the process did.
var errProcessEnded = errors.New("the server's process has ended")

// errSilent is why a server is probed that has sent nothing for a while.
var errSilent = errors.New("silent for too long")
