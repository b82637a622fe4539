package invoke

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/health"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/httpd"
	"fuchsiashelf.dev/parts/pick"
	"fuchsiashelf.dev/parts/pool"
	"fuchsiashelf.dev/parts/retry"
	"fuchsiashelf.dev/parts/server"
	"fuchsiashelf.dev/parts/view"
)

// maxAttempts is the maximum number of servers that a call is sent to.
const maxAttempts = 3

// responseDeposit is what a successful call adds to the retry budget of its pool,
// in tokens: ten responses pay for one retry.
const responseDeposit = 5

// callRetryable sends a retryable call, to another server when one fails. A retry
// of a call that may have run withdraws from the pool's budget. A retry of a call
// that did not run is free, since it adds almost no load.
func (f *Forwarder) callRetryable(ctx context.Context, call *Call) (*Response, *fault.Error) {
	budget := f.budget(call.Pool.Name)
	response, e := f.sendWithRetries(ctx, call, func() bool { return !httpd.ClientLeft(ctx) }, func(e *fault.Error) bool {
		return ctx.Err() == nil && (e.Verdict == fault.NotRun || budget.Withdraw())
	})
	if e == nil {
		budget.Deposit(responseDeposit, 0)
	}
	return response, e
}

// budget returns the retry budget of a pool.
func (f *Forwarder) budget(pool string) *retry.Budget {
	if known, ok := f.budgets.Load(pool); ok {
		return known.(*retry.Budget)
	}
	stored, _ := f.budgets.LoadOrStore(pool, retry.NewBudget())
	return stored.(*retry.Budget)
}

// callOnce sends a call that must run at most once. It goes to another server
// only if none of the earlier ones ran it.
func (f *Forwarder) callOnce(ctx context.Context, call *Call, canSend func() bool) (*Response, *fault.Error) {
	return f.sendWithRetries(ctx, call, canSend, func(e *fault.Error) bool {
		return e.Verdict == fault.NotRun && ctx.Err() == nil
	})
}

// sendWithRetries sends a call to one server after another, as long as
// shouldRetry allows it after the last error. The verdict of the returned error
// covers all attempts.
func (f *Forwarder) sendWithRetries(ctx context.Context, call *Call, canSend func() bool, shouldRetry func(*fault.Error) bool) (*Response, *fault.Error) {
	verdict := fault.NotRun
	tried := map[string]bool{}
	var lastErr *fault.Error
	for {
		response, e := f.sendToNext(ctx, call, tried, canSend)
		if e == nil {
			return response, nil
		}
		verdict = verdict.Weaken(e.Verdict)
		noneLeft := e.Code == fault.NoServer
		// The last server's error is more useful than the lack of another
		// server.
		if noneLeft && lastErr != nil {
			e = lastErr
		}
		if noneLeft || len(tried) >= maxAttempts || !shouldRetry(e) {
			e.Verdict = verdict
			return nil, e
		}
		lastErr = e
		f.Trace.Record("pass", call.RequestID, "retry after: "+e.Error())
		increment("pass.retries")
	}
}

// sendToNext sends a call to a server that was not tried yet.
func (f *Forwarder) sendToNext(ctx context.Context, call *Call, tried map[string]bool, canSend func() bool) (*Response, *fault.Error) {
	snap := f.View.Load()
	usable := usableServers(snap, call.Pool, tried)
	if len(usable) == 0 {
		return nil, noServerError(call.Pool)
	}
	now := time.Now()
	picker := &pick.ServerPicker{
		Meters: snap.Meters,
		Avoid:  func(name string) bool { return now.Before(snap.SuspectedServers[name]) },
		Rand:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	to := picker.Pick(usable)
	tried[to.Name] = true
	if !f.View.Acquire(to.Name) {
		return nil, &fault.Error{
			Code: fault.ServerRefused, Verdict: fault.NotRun, Server: to.Name,
			Message: "the server is leaving", RetryAfter: time.Second,
		}
	}
	defer f.View.Release(to.Name)
	increment("pass.attempts")
	response, e := send(ctx, f.httpClient(), call, to, canSend)
	f.recordResult(snap.Meters[to.Name], to.Name, e)
	return response, e
}

// recordResult marks a server as suspected after a failure or a refusal, for
// longer with each consecutive failure. A dead server has nothing in flight and so
// looks the least loaded: without the mark every second call would try it first
// and wait for the connection to fail. A suspected server is still used if there
// is no other.
func (f *Forwarder) recordResult(meter *server.Meter, name string, e *fault.Error) {
	if meter == nil {
		return
	}
	if e == nil {
		meter.Failures.Store(0)
		return
	}
	switch e.Code {
	case fault.ServerFailed, fault.ServerRefused, fault.InvalidResponse:
		now := time.Now()
		// All calls on a server fail with it at once; they count as one
		// failure.
		if now.Before(f.View.Load().SuspectedServers[name]) {
			return
		}
		until := now.Add(health.SuspectFor(meter.Failures.Add(1)))
		f.View.Update(func(s *view.Snapshot) { s.Suspect(name, until, now) })
		f.Log.Warn("pass: server suspected", "server", name, "err", e)
	}
}

// usableServers returns the servers of a pool that take new work and were not
// tried yet.
func usableServers(snap *view.Snapshot, p pool.Pool, tried map[string]bool) []host.Host {
	var usable []host.Host
	for _, name := range p.Servers {
		h, listed := snap.Hosts[name]
		_, cordoned := snap.Cordoned[name]
		if listed && !cordoned && !tried[name] {
			usable = append(usable, h)
		}
	}
	return usable
}

func noServerError(p pool.Pool) *fault.Error {
	return &fault.Error{
		Code: fault.NoServer, Verdict: fault.NotRun,
		Message: "no server of pool " + p.Name + " takes calls", RetryAfter: time.Second,
	}
}

func increment(name string) {
	metrics.GetOrRegisterCounter(name, nil).Inc(1)
}
