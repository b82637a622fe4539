package crash

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/peer"
	"fuchsiashelf.dev/parts/poison"
	"fuchsiashelf.dev/parts/wait"
	"fuchsiashelf.dev/parts/wire"
)

// Tracker tracks the crashes of servers under one copy of a request. Only the
// goroutine that runs the request may use it.
type Tracker struct {
	guard   *Guard
	request string
	team    string
	pool    string
	body    []string

	cachedFingerprint poison.Fingerprint
	// crashed holds the servers that crashed under this copy.
	crashed []string
	// restricted means that each attempt needs the permission of the poison
	// tracker.
	restricted bool
	// suspected means that the poison tracker has an entry for the request,
	// which the next token clears.
	suspected bool
	// attemptStart is when the current attempt began.
	attemptStart time.Time
}

// Track returns the tracker of a request, which is identified by its team and
// body. It returns an error if the request is blocked. With a nil Guard the
// tracker does nothing.
func (g *Guard) Track(request, team, pool string, body ...string) (*Tracker, *fault.Error) {
	t := &Tracker{guard: g, request: request, team: team, pool: pool, body: body}
	if g == nil {
		return t, nil
	}
	snap := g.View.Load()
	if len(snap.PoisonedRequests)+len(snap.SuspectedRequests) == 0 {
		return t, nil
	}
	now := time.Now()
	f := string(t.fingerprint())
	if until := snap.PoisonedRequests[f]; now.Before(until) {
		metrics.GetOrRegisterCounter("guard.refused", nil).Inc(1)
		g.Trace.Record("guard", request, "request refused: it crashed two servers")
		return nil, poisonedError(until, fault.NotRun)
	}
	t.restricted = now.Before(snap.SuspectedRequests[f])
	return t, nil
}

// fingerprint returns the fingerprint of the request, which it computes once.
func (t *Tracker) fingerprint() poison.Fingerprint {
	if t.cachedFingerprint == "" {
		t.cachedFingerprint = poison.NewFingerprint(t.team, t.body...)
	}
	return t.cachedFingerprint
}

const (
	// trialTimeout bounds how long a suspected request waits for permission to
	// run in isolation.
	trialTimeout = 2 * time.Second
	// trialInterval is the delay between two queries for that permission.
	trialInterval = 10 * time.Millisecond
	// suspectRetryAfter is the retry delay of a suspected request that got no
	// permission in time.
	suspectRetryAfter = 2 * time.Second
)

// Admit calls choose until the request may run on the servers that it returned
// last. A request that is not restricted runs on the first ones.
func (t *Tracker) Admit(ctx context.Context, choose func() ([]string, *fault.Error)) *fault.Error {
	end := time.Now().Add(trialTimeout)
	for {
		t.attemptStart = time.Now()
		servers, e := choose()
		if e != nil || !t.restricted {
			return e
		}
		reply := t.query(ctx, &wire.PoisonAsk{Step: uint32(stepAcquire), Servers: servers})
		switch poison.Outcome(reply.Outcome) {
		case poison.Allowed:
			t.restricted = false
			return nil
		case poison.Isolated:
			t.suspected = true
			t.guard.Trace.Record("guard", t.request, "suspect tried alone")
			return nil
		case poison.Blocked:
			return t.guard.block(t.request, t.fingerprint())
		case poison.Wait:
		}
		if ctx.Err() != nil || time.Now().After(end) {
			e := poisonedError(time.Now().Add(suspectRetryAfter), fault.NotRun)
			e.Message = "this request is suspected of crashing backend servers, and could not be tried alone in time"
			return e
		}
		wait.For(ctx, trialInterval)
	}
}

// AttemptFailed records that an attempt failed at a server, if that server has
// crashed. Progressed says that the attempt had received a token. A non-nil error
// is the final answer: the request must not be tried again.
func (t *Tracker) AttemptFailed(ctx context.Context, server, address string, progressed bool) *fault.Error {
	if t.guard == nil || address == "" || !t.guard.isDead(ctx, address) {
		return nil
	}
	if t.guard.diedBefore(server, t.attemptStart) {
		return nil
	}
	reply := t.query(ctx, &wire.PoisonAsk{Step: uint32(stepCrashed), Server: server, Progressed: progressed})
	outcome := poison.Outcome(reply.Outcome)
	t.guard.Trace.Record("guard", t.request, "server "+server+" died under the request: "+outcome.String())
	if int(reply.Count) > len(t.crashed) {
		// Only a crash attributed to this request is passed on to the next
		// entry host that tracks the pool.
		t.crashed = append(t.crashed, server)
	}
	t.restricted = outcome == poison.Isolated
	t.suspected = true
	switch outcome {
	case poison.Blocked:
		return t.guard.block(t.request, t.fingerprint())
	case poison.Isolated:
		t.guard.Mesh.Mark(peer.Mark{
			Kind: peer.PoisonRequest, Name: string(t.fingerprint()),
			Until: time.Now().Add(suspectTTL), Count: 1,
		})
	}
	return nil
}

// Progressed records that the request received a token, which clears it of
// suspicion.
func (t *Tracker) Progressed() {
	if !t.suspected {
		return
	}
	t.suspected, t.restricted, t.crashed = false, false, nil
	t.query(context.Background(), &wire.PoisonAsk{Step: uint32(stepClear)})
	t.guard.Trace.Record("guard", t.request, "suspicion cleared by a token")
}

// Close ends the tracking. If a run in isolation ended without a result, it
// allows the next one.
func (t *Tracker) Close() {
	if t.suspected && t.restricted {
		t.query(context.Background(), &wire.PoisonAsk{Step: uint32(stepRelease)})
	}
}

// query sends a query about the request to its poison tracker.
func (t *Tracker) query(ctx context.Context, ask *wire.PoisonAsk) *wire.PoisonReply {
	ask.Pool, ask.Fingerprint = t.pool, string(t.fingerprint())
	ask.Holder = t.guard.View.Load().Self + "/" + t.request
	ask.Dead = t.crashed
	return t.guard.query(ctx, ask)
}

// diedBefore reports whether a server was found dead before a time, and records
// that it is dead now. A chain may include a server that is already dead; a
// request sent there did not crash it.
func (g *Guard) diedBefore(server string, start time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	since, known := g.deadSince[server]
	if known && now.Sub(since) < deadTTL {
		return since.Before(start)
	}
	if g.deadSince == nil {
		g.deadSince = map[string]time.Time{}
	}
	g.deadSince[server] = now
	return false
}

// isDead reports whether the process of a server is gone: its host refuses or
// resets connections. A server that answers is alive, whatever happened to the
// request. A timeout proves nothing, since the link may be cut or the process
// paused.
func (g *Guard) isDead(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := g.Engine.Status(ctx, address)
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}
