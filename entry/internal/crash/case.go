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

// Tracker is what the guard knows of one copy of a request. It is used by the
// one goroutine that carries the request.
type Tracker struct {
	guard   *Guard
	request string
	team    string
	pool    string
	body    []string

	mark poison.Fingerprint
	// dead holds the servers that died under this copy.
	dead []string
	// watched says that the book has to be asked before each attempt.
	watched bool
	// open says that the book has a case that a token would clear.
	open bool
	// began is when the attempt under way began.
	began time.Time
}

// Track opens the case of a request, which the body tells from others of its
// team. It refuses one that is convicted.
func (g *Guard) Track(request, team, pool string, body ...string) (*Tracker, *fault.Error) {
	c := &Tracker{guard: g, request: request, team: team, pool: pool, body: body}
	if g == nil {
		return c, nil
	}
	snap := g.View.Load()
	if len(snap.PoisonedRequests)+len(snap.SuspectedRequests) == 0 {
		return c, nil
	}
	now := time.Now()
	f := string(c.fingerprint())
	if until := snap.PoisonedRequests[f]; now.Before(until) {
		metrics.GetOrRegisterCounter("guard.refused", nil).Inc(1)
		g.Trace.Record("guard", request, "request refused: it crashed two servers")
		return nil, refusal(until, fault.NotRun)
	}
	c.watched = now.Before(snap.SuspectedRequests[f])
	return c, nil
}

func (c *Tracker) fingerprint() poison.Fingerprint {
	if c.mark == "" {
		c.mark = poison.NewFingerprint(c.team, c.body...)
	}
	return c.mark
}

const (
	// trialWait bounds how long a suspect waits for its turn.
	trialWait = 2 * time.Second
	// trialTick is the pause between two questions for the turn.
	trialTick = 10 * time.Millisecond
	// suspectAfter is when a suspect that found no turn may come back.
	suspectAfter = 2 * time.Second
)

// Admit calls choose until the request may run on the servers that it
// returned last. A request that is not suspected runs on the first ones.
func (c *Tracker) Admit(ctx context.Context, choose func() ([]string, *fault.Error)) *fault.Error {
	end := time.Now().Add(trialWait)
	for {
		c.began = time.Now()
		servers, e := choose()
		if e != nil || !c.watched {
			return e
		}
		reply := c.ask(ctx, &wire.PoisonAsk{Step: uint32(try), Servers: servers})
		switch poison.Outcome(reply.Outcome) {
		case poison.Allowed:
			c.watched = false
			return nil
		case poison.Isolated:
			c.open = true
			c.guard.Trace.Record("guard", c.request, "suspect tried alone")
			return nil
		case poison.Blocked:
			return c.guard.convict(c.request, c.fingerprint())
		case poison.Wait:
		}
		if ctx.Err() != nil || time.Now().After(end) {
			e := refusal(time.Now().Add(suspectAfter), fault.NotRun)
			e.Message = "this request is suspected of crashing backend servers, and could not be tried alone in time"
			return e
		}
		wait.For(ctx, trialTick)
	}
}

// AttemptFailed tells that an attempt failed at a server. Progressed says that the
// attempt had got a token. The error is the final answer, if the request must
// not go on.
func (c *Tracker) AttemptFailed(ctx context.Context, server, address string, progressed bool) *fault.Error {
	if c.guard == nil || address == "" || !c.guard.dead(ctx, address) {
		return nil
	}
	if c.guard.goneBefore(server, c.began) {
		return nil
	}
	reply := c.ask(ctx, &wire.PoisonAsk{Step: uint32(died), Server: server, Progressed: progressed})
	outcome := poison.Outcome(reply.Outcome)
	c.guard.Trace.Record("guard", c.request, "server "+server+" died under the request: "+outcome.String())
	if int(reply.Count) > len(c.dead) {
		// A death that is laid to another request is none of this one's, also
		// not for the next entry host that keeps the book.
		c.dead = append(c.dead, server)
	}
	c.watched = outcome == poison.Isolated
	c.open = true
	switch outcome {
	case poison.Blocked:
		return c.guard.convict(c.request, c.fingerprint())
	case poison.Isolated:
		c.guard.Mesh.Mark(peer.Mark{
			Kind: peer.PoisonRequest, Name: string(c.fingerprint()),
			Until: time.Now().Add(suspectMark), Count: 1,
		})
	}
	return nil
}

// Progressed tells that a token came: the request is cleared.
func (c *Tracker) Progressed() {
	if !c.open {
		return
	}
	c.open, c.watched, c.dead = false, false, nil
	c.ask(context.Background(), &wire.PoisonAsk{Step: uint32(passed)})
	c.guard.Trace.Record("guard", c.request, "suspicion cleared by a token")
}

// Close ends the case. A trial without a result makes way for the next.
func (c *Tracker) Close() {
	if c.open && c.watched {
		c.ask(context.Background(), &wire.PoisonAsk{Step: uint32(gave)})
	}
}

func (c *Tracker) ask(ctx context.Context, ask *wire.PoisonAsk) *wire.PoisonReply {
	ask.Pool, ask.Fingerprint = c.pool, string(c.fingerprint())
	ask.Holder = c.guard.View.Load().Self + "/" + c.request
	ask.Dead = c.dead
	return c.guard.ask(ctx, ask)
}

// goneBefore reports whether a server was found dead before a time, and notes
// that it is dead now. A chain may lead to a server that is dead already; what
// was sent there did not kill it.
func (g *Guard) goneBefore(server string, at time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	since, known := g.gone[server]
	if known && now.Sub(since) < goneFor {
		return since.Before(at)
	}
	if g.gone == nil {
		g.gone = map[string]time.Time{}
	}
	g.gone[server] = now
	return false
}

// dead reports whether the process of a server is gone: its host refuses or
// resets connections. One that answers lives, whatever became of the request;
// silence may as well be a cut link or a pause, and proves nothing.
func (g *Guard) dead(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeWait)
	defer cancel()
	_, err := g.Engine.Status(ctx, address)
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}
