package invoke

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/host"
)

// Headers that the router adds to calls to backend servers. Headers of callers
// with the prefix are dropped.
const (
	HeaderPrefix   = "Fuchsia-"
	TeamHeader     = "Fuchsia-Team"
	RequestHeader  = "Fuchsia-Request"
	DeadlineHeader = "Fuchsia-Deadline"
)

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 16 << 20

// maxHead bounds the head of a response.
const maxHead = 64 << 10

// maxIdle bounds the idle connections per backend server.
const maxIdle = 64

// DialFunc connects to a backend server.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// newClient returns a client whose connections are guarded.
func newClient(dial DialFunc) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dial(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &guardedConn{Conn: conn}, nil
			},
			MaxIdleConnsPerHost: maxIdle,
			DisableCompression:  true,
			// A server in trouble may send bytes without end.
			MaxResponseHeaderBytes: maxHead,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// sendGuard decides whether the first byte of a call may be written. It is the
// only place where the verdict of a call weakens from NotRun.
type sendGuard struct {
	// canSend reports whether the call may still be sent.
	canSend func() bool
	sent    atomic.Bool
}

// errTooLate is the write error of a connection whose call may no longer be sent.
var errTooLate = errors.New("pass: the call was not sent in time")

// allow reports whether bytes of the call may be written, and records that they
// are.
func (s *sendGuard) allow() bool {
	if s.sent.Load() {
		return true
	}
	if !s.canSend() {
		return false
	}
	s.sent.Store(true)
	return true
}

// verdict returns MayHaveRun once a byte of the call may have been written.
func (s *sendGuard) verdict() fault.Verdict {
	if s.sent.Load() {
		return fault.MayHaveRun
	}
	return fault.NotRun
}

// guardedConn is a connection that writes nothing unless its sendGuard allows it.
// An entry host that is paused between the check of its claim and the write would
// otherwise send a call whose claim has expired. Here the check comes directly
// before the write.
type guardedConn struct {
	net.Conn
	guard atomic.Pointer[sendGuard]
}

// Write writes b if the guard of the current call allows it.
func (c *guardedConn) Write(b []byte) (int, error) {
	if s := c.guard.Load(); s == nil || !s.allow() {
		return 0, errTooLate
	}
	return c.Conn.Write(b)
}

// oneShotBody is a body that cannot be read twice, so that net/http never resends
// a call. Otherwise it resends a call without a body that carries an
// Idempotency-Key if a pooled connection turns out to be closed.
type oneShotBody struct{ io.Reader }

// send sends a call to a backend server once, if canSend still allows it.
func send(ctx context.Context, client *http.Client, call *Call, to host.Host, canSend func() bool) (*Response, *fault.Error) {
	s := &sendGuard{canSend: canSend}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { info.Conn.(*guardedConn).guard.Store(s) },
	})
	req, err := newRequest(ctx, call, to)
	if err != nil {
		return nil, &fault.Error{Code: fault.BadRequest, Verdict: fault.NotRun, Cause: err}
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, sendError(ctx, s.verdict(), to, err)
	}
	defer resp.Body.Close()
	if !fault.IsFinalStatus(resp.StatusCode) {
		return nil, &fault.Error{Code: fault.InvalidResponse, Verdict: fault.MayHaveRun, Server: to.Name, Message: fmt.Sprintf("no answer has the status %03d", resp.StatusCode)}
	}
	if reason := resp.Header.Get(engine.NotRunHeader); reason != "" && resp.StatusCode == http.StatusServiceUnavailable {
		return nil, &fault.Error{
			Code: fault.ServerRefused, Verdict: fault.NotRun, Server: to.Name, Message: reason,
			RetryAfter: time.Second,
		}
	}
	responseBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil || len(responseBody) > maxResponseBytes {
		return nil, &fault.Error{Code: fault.InvalidResponse, Server: to.Name, Message: "half an answer came", Cause: err}
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: responseBody}, nil
}

// newRequest returns the HTTP request of a call to a backend server.
func newRequest(ctx context.Context, call *Call, to host.Host) (*http.Request, error) {
	body := oneShotBody{bytes.NewReader(call.Body)}
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+to.Address+call.URI, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(call.Body))
	req.Header = call.Header.Clone()
	req.Header.Set(TeamHeader, call.Team)
	req.Header.Set(RequestHeader, call.RequestID)
	req.Header.Set(DeadlineHeader, strconv.FormatInt(call.Deadline.UnixMilli(), 10))
	return req, nil
}

// sendError returns the error of a call without a response.
func sendError(ctx context.Context, v fault.Verdict, to host.Host, err error) *fault.Error {
	code := fault.ServerFailed
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded), errors.Is(err, errTooLate):
		code = fault.Deadline
	case errors.Is(ctx.Err(), context.Canceled):
		code = fault.Cancelled
	}
	e := &fault.Error{Code: code, Verdict: v, Server: to.Name, Message: "the backend server gave no answer", Cause: err}
	if v == fault.NotRun {
		e.Message, e.RetryAfter = "the call was not sent to a backend server", time.Second
	}
	return e
}
