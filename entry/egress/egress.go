// Package egress sends requests to backend servers, and applies what the header of a
// response says of the server itself: a pause that it requests, a rate limit that it
// names, and that it leaves.
//
// All requests of an entry host to backend servers pass through a [Client]: first and
// later attempts of callers' requests, requests for reports, and orders. A request to a
// server that has requested a pause fails before anything is written, whatever chose the
// server. The parts that choose servers leave out paused ones themselves; the check here
// covers requests that were on their way when the pause began.
package egress

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/caller"
	"fuchsiashelf.dev/entry/conns"
	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/limit"
	"fuchsiashelf.dev/parts/pause"
	"fuchsiashelf.dev/parts/subset"
)

// Client sends requests to backend servers. Set the exported fields before use.
type Client struct {
	Codec  call.Codec
	Pool   *conns.Pool
	State  *state.Local
	Limits *limit.Tracker
	Pauses *pause.Tracker
	// Broadcast sends it to other entry hosts that a server leaves.
	Broadcast func()
	// Subsets counts the requests of callers; nil means that they are not counted.
	Subsets *subset.Tracker
}

// Options holds the options of one request.
type Options struct {
	// RequestID is the ID that responses to the request bear. It is empty for requests
	// for reports and for orders, whose responses bear none.
	RequestID string
	// MaxIdle, NewConn and DialTimeout are those of conns.Options.
	MaxIdle     time.Duration
	NewConn     bool
	DialTimeout time.Duration
	// OnConn, if not nil, is called when a connection is available, directly or through
	// another entry host.
	OnConn func(direct bool)
	// Caller watches the caller of the request; nil if there is none.
	Caller *caller.Watch
}

// PausedError is the cause of the error of a request that was not sent, because its
// server has requested a pause.
type PausedError struct {
	Address string
	// Remaining is the time until the pause ends.
	Remaining time.Duration
}

// Error implements error.
func (e *PausedError) Error() string {
	return fmt.Sprintf("server %s has requested a pause, which ends in %s", e.Address, e.Remaining.Round(time.Millisecond))
}

// errCallerLeft returns the error of a request that was not sent, because its caller has left.
func errCallerLeft(s *fleet.Server) *fault.Error {
	return &fault.Error{Code: fault.Cancelled, Verdict: fault.NotRun, Message: "not sent: the caller has left", Server: s.ID}
}

// WasNotSent reports whether nothing was sent, because the server has requested a pause or the
// caller has left.
func WasNotSent(err error) bool {
	return IsPaused(err) || fault.As(err).Code == fault.Cancelled && fault.As(err).Verdict == fault.NotRun
}

// IsPaused reports whether a request was not sent because its server has requested a
// pause.
func IsPaused(err error) bool {
	var paused *PausedError
	return errors.As(err, &paused)
}

// Do sends a request to a server and reads the header of the response. An error is a
// *fault.Error, whose verdict is NotRun if nothing was written.
func (c *Client) Do(ctx context.Context, server *fleet.Server, req *http.Request, o Options) (*conns.Response, call.Reply, error) {
	if o.Caller.Left() {
		return nil, call.Reply{}, errCallerLeft(server)
	}
	if err := c.admit(server); err != nil {
		return nil, call.Reply{}, err
	}
	if c.Subsets != nil && o.RequestID != "" {
		c.Subsets.Record(server, time.Now())
	}
	var reply call.Reply
	var sentAt time.Time
	resp, err := c.Pool.Do(ctx, server.Address, req, conns.Options{
		MaxIdle: o.MaxIdle, NewConn: o.NewConn, DialTimeout: o.DialTimeout,
		BeforeWrite: func(direct bool) error {
			sentAt = time.Now()
			if o.OnConn != nil {
				o.OnConn(direct)
			}
			if err := c.admit(server); err != nil {
				return err
			}
			if !o.Caller.MaySend(server.ID) {
				return errCallerLeft(server)
			}
			return nil
		},
		Inspect: func(r *http.Response) conns.ResponseInfo {
			reply = c.Codec.ParseReply(r)
			return conns.ResponseInfo{OtherRequest: reply.ID != "" && reply.ID != o.RequestID, Close: reply.Closing, IdleTimeout: reply.IdleTimeout}
		},
	})
	if err != nil {
		return nil, reply, err
	}
	c.apply(server, &reply, o.RequestID == "", sentAt)
	return resp, reply, nil
}

// Server returns the server with the given address, of which only that is known if it has
// no entry.
func (c *Client) Server(address string) *fleet.Server {
	if s := c.State.View().ByAddress(address); s != nil {
		return s
	}
	return &fleet.Server{Address: address}
}

// admit returns an error if a server has requested a pause that has not ended.
func (c *Client) admit(s *fleet.Server) error {
	remaining := c.Paused(s, time.Now())
	if remaining == 0 {
		return nil
	}
	return &fault.Error{
		Code: fault.Overloaded, Verdict: fault.NotRun, Message: "not sent", Server: s.ID, RetryAfter: remaining,
		Cause: &PausedError{Address: s.Address, Remaining: remaining},
	}
}

// Paused returns the remaining time of the pause that a server has requested; zero if
// there is none.
func (c *Client) Paused(s *fleet.Server, now time.Time) time.Duration {
	return c.Pauses.Remaining(process(s), now)
}

func process(s *fleet.Server) pause.Process {
	return pause.Process{Address: s.Address, StartedAt: s.StartedAt}
}

// Connect checks whether a server accepts connections, without sending a request.
func (c *Client) Connect(ctx context.Context, address string) error {
	return c.Pool.Connect(ctx, address)
}

// apply applies what a response says of its server. control says that it responds to an
// order or to a request for a report.
func (c *Client) apply(s *fleet.Server, reply *call.Reply, control bool, sentAt time.Time) {
	if reply.RetryAfter > 0 {
		c.requestPause(s, reply, sentAt)
	}
	if reply.Misdirected {
		// Another server may have responded, about which nothing is known.
		return
	}
	if reply.Leaving && s.ID != "" && c.State.RecordLeaving(s.ID, s.StartedAt, time.Now()) {
		c.Broadcast()
	}
	// Responses that name no limit do not end one if they are not to callers' requests:
	// a server need not name it there.
	if s.ID != "" && (!control || reply.RateLimited) {
		c.Limits.Observe(s.ID, reply.LimitResponse(sentAt))
	}
}

// requestPause records the pause that a response requests. If the server names another
// server of the chain as the one at fault, both are paused.
func (c *Client) requestPause(s *fleet.Server, reply *call.Reply, sentAt time.Time) {
	now := time.Now()
	c.Pauses.Add(process(s), reply.RetryAfter, sentAt, now)
	if reply.RefusedBy != "" && reply.RefusedBy != s.Address {
		c.Pauses.Add(process(c.Server(reply.RefusedBy)), reply.RetryAfter, sentAt, now)
	}
}
