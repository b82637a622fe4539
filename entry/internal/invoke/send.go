package invoke

import (
	"bytes"
	"context"
	"errors"
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

// The headers that a backend server gets from the system. A caller's own
// headers under the prefix are dropped.
const (
	HeaderPrefix   = "Fuchsia-"
	TeamHeader     = "Fuchsia-Team"
	RequestHeader  = "Fuchsia-Request"
	DeadlineHeader = "Fuchsia-Deadline"
)

// maxReply bounds the body of an answer, in bytes.
const maxReply = 16 << 20

// dialTimeout bounds the time to reach a backend server.
const dialTimeout = 2 * time.Second

var client = &http.Client{
	Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: 64,
		DisableCompression:  true,
	},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// departure is the moment at which the first byte of a call could leave. It
// is the one place where the verdict of a call weakens from NotRun.
type departure struct {
	// may says whether the call may still be sent.
	may  func() bool
	left atomic.Bool
}

// errLate is what a connection answers when a call may not leave any more.
var errLate = errors.New("pass: the call was not sent in time")

func (d *departure) leave() bool {
	if d.left.Load() {
		return true
	}
	if !d.may() {
		return false
	}
	d.left.Store(true)
	return true
}

func (d *departure) verdict() fault.Verdict {
	if d.left.Load() {
		return fault.MayHaveRun
	}
	return fault.NotRun
}

// gated is a connection that lets nothing out before its call may leave. An
// entry host that was paused between the last look at its claim and the
// write would otherwise send a call whose claim has expired; here the look
// is the last thing before the write.
type gated struct {
	net.Conn
	call atomic.Pointer[departure]
}

// Write implements net.Conn.
func (g *gated) Write(b []byte) (int, error) {
	if d := g.call.Load(); d == nil || !d.leave() {
		return 0, errLate
	}
	return g.Conn.Write(b)
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &gated{Conn: conn}, nil
}

// single is a body that cannot be read twice. With it net/http never resends
// a call by itself, which it otherwise does for one without a body that
// carries an Idempotency-Key when a pooled connection turns out closed.
type single struct{ io.Reader }

// send sends a call to a backend server once.
func send(ctx context.Context, call *Call, to host.Host, may func() bool) (*Reply, *fault.Error) {
	d := &departure{may: may}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { info.Conn.(*gated).call.Store(d) },
	})
	req, err := request(ctx, call, to)
	if err != nil {
		return nil, &fault.Error{Code: fault.BadRequest, Verdict: fault.NotRun, Cause: err}
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, failure(ctx, d.verdict(), to, err)
	}
	defer resp.Body.Close()
	if why := resp.Header.Get(engine.NotRunHeader); why != "" && resp.StatusCode == http.StatusServiceUnavailable {
		return nil, &fault.Error{
			Code: fault.ServerRefused, Verdict: fault.NotRun, Server: to.Name, Message: why,
			RetryAfter: time.Second,
		}
	}
	value, err := io.ReadAll(io.LimitReader(resp.Body, maxReply+1))
	if err != nil || len(value) > maxReply {
		return nil, &fault.Error{Code: fault.BrokenAnswer, Server: to.Name, Message: "half an answer came", Cause: err}
	}
	return &Reply{Status: resp.StatusCode, Header: resp.Header, Body: value}, nil
}

func request(ctx context.Context, call *Call, to host.Host) (*http.Request, error) {
	body := single{bytes.NewReader(call.Body)}
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+to.Address+call.URI, body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(call.Body))
	req.Header = call.Header.Clone()
	req.Header.Set(TeamHeader, call.Team)
	req.Header.Set(RequestHeader, call.Request)
	req.Header.Set(DeadlineHeader, strconv.FormatInt(call.Deadline.UnixMilli(), 10))
	return req, nil
}

func failure(ctx context.Context, v fault.Verdict, to host.Host, err error) *fault.Error {
	code := fault.ServerFailed
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded), errors.Is(err, errLate):
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
