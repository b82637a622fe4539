// Package pass hands calls through to plain services, and back.
package pass

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/pick"
	"fuchsiashelf.dev/parts/pool"
	"fuchsiashelf.dev/parts/rule"
	"fuchsiashelf.dev/parts/store"
	"fuchsiashelf.dev/parts/trace"
	"fuchsiashelf.dev/parts/view"
)

// Pass hands calls through. Set the exported fields before first use.
type Pass struct {
	View  *view.Holder
	Store store.API
	Trace *trace.Line
	Log   *slog.Logger
}

// Call is a call of a caller.
type Call struct {
	Request string
	Team    string
	// ID is the caller's own id of the call, from Idempotency-Key.
	ID      string
	Service rule.Service
	Pool    pool.Pool
	Method  string
	// URI is the path and query.
	URI      string
	Header   http.Header
	Body     []byte
	Deadline time.Time
}

// Reply is the answer of a backend server.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// maxReply bounds the body of an answer, in bytes.
const maxReply = 16 << 20

// maxAttempts bounds the servers that a repeatable call is sent to.
const maxAttempts = 3

// IDHeader carries the caller's id of a call.
const IDHeader = "Idempotency-Key"

var client = &http.Client{
	Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 64,
		DisableCompression:  true,
	},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// Run hands a call through and returns the answer, or the error that the
// caller is to see.
func (p *Pass) Run(ctx context.Context, call *Call) (*Reply, *fault.Error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	if !call.Service.Repeat && call.ID == "" && !call.Service.FreeID {
		return nil, &fault.Error{
			Code: fault.IDNeeded, Verdict: fault.NotRun, Field: IDHeader,
			Message: "calls of service " + call.Service.Name + " need an id",
		}
	}
	verdict := fault.NotRun
	var last *fault.Error
	for range maxAttempts {
		reply, e := p.attempt(ctx, call)
		if e == nil {
			return reply, nil
		}
		verdict = verdict.Weaken(e.Verdict)
		last = e
		if !call.Service.Repeat && verdict != fault.NotRun || e.Code == fault.NoServer {
			break
		}
	}
	last.Verdict = verdict
	return nil, last
}

func (p *Pass) attempt(ctx context.Context, call *Call) (*Reply, *fault.Error) {
	snap := p.View.Load()
	var usable []host.Host
	for _, name := range call.Pool.Servers {
		h, listed := snap.Hosts[name]
		_, out := snap.Out[name]
		if listed && !out {
			usable = append(usable, h)
		}
	}
	if len(usable) == 0 {
		return nil, &fault.Error{
			Code: fault.NoServer, Verdict: fault.NotRun, RetryAfter: time.Second,
			Message: "no server of pool " + call.Pool.Name + " takes calls",
		}
	}
	picker := &pick.Picker{
		Meters: snap.Meters,
		Rand:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	to := picker.One(usable)
	if !p.View.Enter(to.Name) {
		return nil, &fault.Error{Code: fault.ServerRefused, Verdict: fault.NotRun, Message: "the server is leaving"}
	}
	defer p.View.Leave(to.Name)
	return send(ctx, call, to)
}

// once is a body that cannot be read twice. With it net/http never resends a
// call by itself, which it otherwise does for one without a body that carries
// an Idempotency-Key when a pooled connection turns out closed.
type once struct{ io.Reader }

func send(ctx context.Context, call *Call, to host.Host) (*Reply, *fault.Error) {
	body := once{bytes.NewReader(call.Body)}
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+to.Address+call.URI, body)
	if err != nil {
		return nil, &fault.Error{Code: fault.BadRequest, Verdict: fault.NotRun, Cause: err}
	}
	req.ContentLength = int64(len(call.Body))
	req.Header = call.Header
	resp, err := client.Do(req)
	if err != nil {
		return nil, &fault.Error{Code: fault.ServerFailed, Verdict: sendVerdict(err), Server: to.Name, Cause: err}
	}
	defer resp.Body.Close()
	if why := resp.Header.Get(engine.NotRunHeader); why != "" && resp.StatusCode == http.StatusServiceUnavailable {
		return nil, &fault.Error{Code: fault.ServerRefused, Verdict: fault.NotRun, Server: to.Name, Message: why}
	}
	value, err := io.ReadAll(io.LimitReader(resp.Body, maxReply+1))
	if err != nil || len(value) > maxReply {
		return nil, &fault.Error{Code: fault.BrokenAnswer, Server: to.Name, Message: "half an answer came", Cause: err}
	}
	return &Reply{Status: resp.StatusCode, Header: resp.Header, Body: value}, nil
}

// sendVerdict is NotRun only if no connection was ever made.
func sendVerdict(err error) fault.Verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fault.NotRun
	}
	return fault.MayHaveRun
}
