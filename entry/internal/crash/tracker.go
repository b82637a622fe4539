package crash

import (
	"context"
	"errors"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiashelf.dev/entry/dialer"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/peer"
	"fuchsiashelf.dev/parts/poison"
	"fuchsiashelf.dev/parts/wait"
	"fuchsiashelf.dev/parts/wire"
)

// RequestTracker tracks the crashes of servers under one copy of a request. It is safe
// for concurrent use.
type RequestTracker struct {
	guard *Guard
	// mu guards the fields below. It is not held while a request waits for permission.
	mu        sync.Mutex
	requestID string
	team      string
	pool      string
	body      []string

	cachedFingerprint poison.Fingerprint
	// parts holds the causes of the request but the request itself. answered says that a token
	// has spoken for them.
	parts    []poison.Cause
	answered bool
	// crashed holds the servers that crashed under this copy.
	crashed []string
	// restricted means that each attempt needs permission from the poison
	// tracker.
	restricted bool
	// suspected means that the poison tracker has an entry for the request,
	// which the next token clears.
	suspected bool
	// attemptStart is when the current attempt began.
	attemptStart time.Time
}

// Track returns the tracker of a request, which is identified by its team, model and
// prompt. It returns an error if the request is blocked. With a nil Guard the
// tracker does nothing.
func (g *Guard) Track(requestID, team, pool, model, prompt string) (*RequestTracker, *fault.Error) {
	t := &RequestTracker{guard: g, requestID: requestID, team: team, pool: pool, body: []string{model, prompt}}
	if g == nil {
		return t, nil
	}
	t.parts = poison.PartCauses(poison.NewParts(prompt))
	snap := g.View.Load()
	if len(snap.PoisonedRequests)+len(snap.SuspectedRequests) == 0 {
		return t, nil
	}
	now := time.Now()
	f := string(t.fingerprint())
	if until := snap.PoisonedRequests[f]; now.Before(until) {
		metrics.GetOrRegisterCounter("guard.refused", nil).Inc(1)
		g.Trace.Record("guard", requestID, "request refused: it crashed two servers")
		return nil, poisonedError(until, fault.NotRun)
	}
	t.restricted = now.Before(snap.SuspectedRequests[f])
	for _, part := range t.parts {
		t.restricted = t.restricted || now.Before(snap.SuspectedRequests[string(part)])
	}
	return t, nil
}

// fingerprint returns the fingerprint of the request, which it computes once.
func (t *RequestTracker) fingerprint() poison.Fingerprint {
	if t.cachedFingerprint == "" {
		t.cachedFingerprint = poison.NewFingerprint(t.team, t.body...)
	}
	return t.cachedFingerprint
}

const (
	// permissionTimeout bounds how long a suspected request waits for permission
	// to run in isolation.
	permissionTimeout = 2 * time.Second
	// permissionInterval is the delay between two queries for that permission.
	permissionInterval = 10 * time.Millisecond
	// suspectRetryAfter is the retry delay of a suspected request that got no
	// permission in time.
	suspectRetryAfter = 2 * time.Second
)

// Admit calls choose until the request may run on the servers that it returned
// last. A request that is not restricted runs on the first ones.
func (t *RequestTracker) Admit(ctx context.Context, choose func() ([]string, *fault.Error)) *fault.Error {
	end := time.Now().Add(permissionTimeout)
	for {
		if admitted, e := t.tryAdmit(ctx, choose); admitted || e != nil {
			return e
		}
		if ctx.Err() != nil || time.Now().After(end) {
			e := poisonedError(time.Now().Add(suspectRetryAfter), fault.NotRun)
			e.Message = "this request is suspected of crashing backend servers, and could not be tried alone in time"
			return e
		}
		wait.For(ctx, permissionInterval)
	}
}

// tryAdmit calls choose, and reports whether the request may run on the servers that it
// returned.
func (t *RequestTracker) tryAdmit(ctx context.Context, choose func() ([]string, *fault.Error)) (bool, *fault.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attemptStart = time.Now()
	servers, e := choose()
	if e != nil || !t.restricted {
		return true, e
	}
	reply := t.query(ctx, &wire.PoisonAsk{Step: uint32(stepAcquire), Servers: servers})
	if reply.Cause != "" {
		return false, t.guard.blockPart(t.requestID, reply, fault.NotRun)
	}
	// A token speaks for parts that are suspected.
	t.suspected = true
	switch poison.Outcome(reply.Outcome) {
	case poison.Allowed:
		t.restricted = false
		return true, nil
	case poison.Isolated:
		t.guard.Trace.Record("guard", t.requestID, "suspect tried alone")
		return true, nil
	case poison.Blocked:
		return false, t.guard.block(t.requestID, t.fingerprint())
	case poison.Wait:
	}
	return false, nil
}

// AttemptFailed records that an attempt failed at a server, if that server has
// crashed. Progressed says that the attempt had received a token. A non-nil error
// is final: the request must not be retried.
func (t *RequestTracker) AttemptFailed(ctx context.Context, server, address string, startedAt time.Time, progressed bool) *fault.Error {
	if t.guard == nil || address == "" || !t.guard.isDead(ctx, address) {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	// Another attempt may have begun since.
	t.attemptStart = startedAt
	if t.guard.foundDeadBefore(server, t.attemptStart) {
		return nil
	}
	reply := t.query(ctx, &wire.PoisonAsk{Step: uint32(stepCrashed), Server: server, Progressed: progressed})
	outcome := poison.Outcome(reply.Outcome)
	t.guard.Trace.Record("guard", t.requestID, "server "+server+" died under the request: "+outcome.String())
	if int(reply.Count) > len(t.crashed) {
		// The poison tracker attributed the crash to this request. Only such
		// crashes are reported to an entry host that takes over the tracker.
		t.crashed = append(t.crashed, server)
	}
	t.restricted = outcome == poison.Isolated
	t.suspected = true
	if reply.Cause != "" {
		return t.guard.blockPart(t.requestID, reply, fault.MayHaveRun)
	}
	switch outcome {
	case poison.Blocked:
		return t.guard.block(t.requestID, t.fingerprint())
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
func (t *RequestTracker) Progressed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.guard != nil && !t.answered && len(t.parts) > 0 {
		t.guard.recordAnswered(t.parts)
	}
	t.answered = true
	if !t.suspected {
		return
	}
	t.suspected, t.restricted, t.crashed = false, false, nil
	t.query(context.Background(), &wire.PoisonAsk{Step: uint32(stepClear)})
	t.guard.Trace.Record("guard", t.requestID, "suspicion cleared by a token")
}

// Close ends the tracking. If a run in isolation ended without a result, it
// allows the next one.
func (t *RequestTracker) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.suspected && t.restricted {
		t.query(context.Background(), &wire.PoisonAsk{Step: uint32(stepRelease)})
	}
}

// query sends a query about the request to its poison tracker.
func (t *RequestTracker) query(ctx context.Context, ask *wire.PoisonAsk) *wire.PoisonReply {
	ask.Pool, ask.Fingerprint = t.pool, string(t.fingerprint())
	ask.Holder = t.guard.View.Load().Self + "/" + t.requestID
	ask.Dead = t.crashed
	if len(t.parts) > 0 {
		causes := append([]poison.Cause{poison.RequestCause(t.fingerprint())}, t.parts...)
		for _, cause := range causes {
			ask.Causes = append(ask.Causes, string(cause))
		}
		ask.Answers = t.guard.countAnswered(causes)
		ask.AgeMs = uint64(time.Since(t.attemptStart).Milliseconds())
	}
	return t.guard.query(ctx, ask)
}

// foundDeadBefore reports whether a server was found dead before a time, and
// records that it is dead now. A chain may include a server that is already dead,
// and a request sent there did not crash it.
func (g *Guard) foundDeadBefore(server string, start time.Time) bool {
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

// A server that reset a connection is asked again after resetRetryDelay, up to maxResetRetries
// times: a link that is cut may reset all connections.
const (
	resetRetryDelay = 5 * time.Millisecond
	maxResetRetries = 10
)

// isDead reports whether the process of a server is gone. A server that answers is alive
// even if the request failed there. A timeout, or a refused connection to a server that
// others reach, proves nothing, since the link may be cut or the process paused. A process
// that is ending resets connections at first, and then its host refuses them.
func (g *Guard) isDead(ctx context.Context, address string) bool {
	ctx, cancel := g.Clock.WithIdleTimeout(ctx, probeTimeout, nil)
	defer cancel()
	for range maxResetRetries {
		_, err := g.Engine.Status(ctx, address)
		if !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, io.EOF) || ctx.Err() != nil {
			return errors.Is(err, dialer.ErrExited)
		}
		wait.For(ctx, resetRetryDelay)
	}
	return false
}
