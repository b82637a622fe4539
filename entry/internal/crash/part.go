package crash

import (
	"context"
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/peer"
	"fuchsiashelf.dev/parts/poison"
	"fuchsiashelf.dev/parts/wire"
)

// partDetector finds out which parts of prompts crash the servers of a pool. The tracker of the
// pool consults it. The mutex of the guard guards it.
type partDetector struct {
	*poison.Detector
	// crashes counts the crashes of each server, and lastCrash holds when the last one was first
	// reported.
	crashes   map[string]int
	lastCrash map[string]time.Time
}

// partsOf returns the detector of a pool. The mutex is held.
func (g *Guard) partsOf(pool string) *partDetector {
	if g.parts == nil {
		g.parts = map[string]*partDetector{}
	}
	d := g.parts[pool]
	if d == nil {
		d = &partDetector{Detector: &poison.Detector{Log: g.Log}, crashes: map[string]int{}, lastCrash: map[string]time.Time{}}
		g.parts[pool] = d
	}
	return d
}

// process identifies the process of a server that crashed.
func (d *partDetector) process(server string, now time.Time) string {
	if now.Sub(d.lastCrash[server]) > deadTTL {
		d.crashes[server]++
		d.lastCrash[server] = now
	}
	return fmt.Sprintf("%s@%d", server, d.crashes[server])
}

// handleParts records what a query says of the parts of a prompt, and sets in the reply the cause
// for which the request is refused, if it is.
func (g *Guard) handleParts(ask *wire.PoisonAsk, reply *wire.PoisonReply, now time.Time) {
	causes := make([]poison.Cause, len(ask.Causes))
	for i, cause := range ask.Causes {
		causes[i] = poison.Cause(cause)
	}
	if len(causes) == 0 {
		return
	}
	d := g.partsOf(ask.Pool)
	d.Sweep(now)
	admitted := true
	switch step(ask.Step) {
	case stepCrashed:
		if ask.Progressed {
			return
		}
		victim := poison.Victim{Causes: causes, Sent: now.Add(-time.Duration(ask.AgeMs) * time.Millisecond), Answers: make([]int, len(ask.Answers))}
		for i, n := range ask.Answers {
			victim.Answers[i] = int(n)
		}
		d.RecordCrash(d.process(ask.Server, now), []poison.Victim{victim}, now, now)
		cause, _ := d.Blocked(causes, now)
		admitted = cause == ""
	case stepAcquire:
		admitted, _ = d.Admit(causes, ask.Holder, now)
	case stepClear:
		d.RecordAnswer(causes, ask.Holder, now)
		d.Close(causes, ask.Holder)
	case stepRelease:
		d.Close(causes, ask.Holder)
	}
	if admitted {
		return
	}
	cause, retryAfter := d.Blocked(causes, now)
	reply.Cause, reply.RetryAfterMs = string(cause), uint64(retryAfter.Milliseconds())
}

// blockPart tells the other entry hosts to query the tracker for requests with a cause, and returns
// the error of one that is refused for it.
func (g *Guard) blockPart(requestID string, reply *wire.PoisonReply, v fault.Verdict) *fault.Error {
	metrics.GetOrRegisterCounter("guard.partrefused", nil).Inc(1)
	g.Trace.Record("guard", requestID, "request refused: servers crash under "+reply.Cause)
	if g.markPart(reply.Cause) {
		ctx, cancel := context.WithTimeout(context.Background(), broadcastTimeout)
		defer cancel()
		g.Mesh.Broadcast(ctx, peer.Mark{Kind: peer.PoisonRequest, Name: reply.Cause, Until: time.Now().Add(poison.BlockFor), Count: 1})
	}
	e := poisonedError(time.Now().Add(time.Duration(reply.RetryAfterMs)*time.Millisecond), v)
	e.Field = reply.Cause
	return e
}

// markInterval is how often the mark of a blocked cause is broadcast again while requests with it
// come.
const markInterval = time.Minute

// markPart reports whether the mark of a cause is to be broadcast.
func (g *Guard) markPart(cause string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.marked == nil {
		g.marked = map[string]time.Time{}
	}
	now := time.Now()
	if now.Sub(g.marked[cause]) < markInterval {
		return false
	}
	g.marked[cause] = now
	for other, at := range g.marked {
		if now.Sub(at) > poison.BlockFor {
			delete(g.marked, other)
		}
	}
	return true
}

// recordAnswered records that a request was answered, which speaks for the parts of its prompt.
func (g *Guard) recordAnswered(causes []poison.Cause) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, cause := range causes {
		g.answers.Add(cause, now)
	}
}

// countAnswered returns how many requests with each cause were answered here lately.
func (g *Guard) countAnswered(causes []poison.Cause) []uint32 {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	counts := make([]uint32, len(causes))
	for i, cause := range causes {
		counts[i] = uint32(g.answers.Count(cause, now))
	}
	return counts
}
