package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	wire "fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/wait"
	"fuchsiashelf.dev/stand/token"
)

// maxIdle is the most idle connections kept to one server.
const maxIdle = 256

var stepClient = &http.Client{Transport: &http.Transport{
	DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	MaxIdleConnsPerHost: maxIdle,
}}

// step is the state of one token as it passes through a chain. Each stage sends it
// to the next, and the last one returns it.
type step struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
	Index   int    `json:"index"`
	Prompt  string `json:"prompt"`
	// Priority is the priority of the request.
	Priority int `json:"priority,omitempty"`
	// Read is the number of words and tokens to prefill before this token.
	Read  int          `json:"read"`
	State token.State  `json:"state"`
	Rest  []wire.Stage `json:"rest"`
	Spans []wire.Span  `json:"spans"`
}

// stepFailure is an error of one server of a chain, in the response of /v1/steps.
type stepFailure struct {
	Server  string `json:"server"`
	Message string `json:"what"`
	Refused bool   `json:"refused"`
}

func (f *stepFailure) Error() string {
	return f.Server + ": " + f.Message
}

// asFailure returns the stepFailure in an error, or wraps the error in one of this
// server.
func (e *Engine) asFailure(err error) *stepFailure {
	var failure *stepFailure
	if errors.As(err, &failure) {
		return failure
	}
	return &stepFailure{Server: e.Name, Message: err.Error()}
}

// admit accepts the chain of a step. It fails for a new chain if the fault Refuse
// triggers.
func (e *Engine) admit(s *step) error {
	key := chainKey{s.Request, s.Attempt}
	now := time.Now()
	if e.accepted.touch(key, now) {
		return nil
	}
	if _, active := e.Faults.Trigger(Refuse); active {
		e.counts.refused.Add(1)
		return &stepFailure{e.Name, wire.Leaving, true}
	}
	e.accepted.add(key, now)
	e.counts.countChain(s.Prompt)
	return nil
}

// run waits for a batch step, applies the engine's layers to the state and forwards
// the step to the rest of the chain.
func (e *Engine) run(ctx context.Context, s step) (step, error) {
	stage := s.Rest[0]
	if stage.First < e.First || stage.End > e.End {
		return s, &stepFailure{Server: e.Name, Message: fmt.Sprintf("holds layers %d to %d", e.First, e.End)}
	}
	if err := e.applyFaults(ctx, &s); err != nil {
		return s, err
	}
	queuedAt := time.Now()
	startedAt, err := e.batch.run(ctx, e.Capacity, &batchItem{
		prefillTime: time.Duration(s.Read) * e.PrefillTime, priority: s.Priority,
	}, e.tokenTime)
	if err != nil {
		return s, err
	}
	if err := e.waitUnfrozen(ctx); err != nil {
		return s, err
	}
	e.counts.runs.Add(1)
	first, end := stage.First, stage.End
	if _, active := e.Faults.Trigger(OmitLastLayer); active {
		end--
	}
	s.State = s.State.Apply(first, end)
	s.Rest = s.Rest[1:]
	s.Spans = append(s.Spans, wire.Span{
		Server: e.Name, First: first, End: end,
		RunUs: time.Since(startedAt).Microseconds(), WaitUs: startedAt.Sub(queuedAt).Microseconds(),
	})
	if len(s.Rest) == 0 {
		return s, nil
	}
	return e.forward(ctx, s)
}

// forward sends a step over the link to the next server and returns the response.
func (e *Engine) forward(ctx context.Context, s step) (step, error) {
	next := s.Rest[0]
	delay := e.links.delay(next.Server, e.LinkDelay)
	if delay == linkDownDelay {
		// A link that is down drops the step without an error.
		<-ctx.Done()
		return s, ctx.Err()
	}
	s.Spans[len(s.Spans)-1].LinkUs = delay.Microseconds()
	wait.For(ctx, delay)
	body, err := json.Marshal(s)
	if err != nil {
		return s, err
	}
	url := "http://" + next.Address + "/v1/steps"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return s, err
	}
	resp, err := stepClient.Do(req)
	if err != nil {
		return s, &stepFailure{Server: next.Server, Message: err.Error()}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		failure := &stepFailure{}
		if json.NewDecoder(resp.Body).Decode(failure) != nil {
			failure = &stepFailure{Server: next.Server, Message: resp.Status}
		}
		return s, failure
	}
	var out step
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return s, &stepFailure{Server: next.Server, Message: err.Error()}
	}
	return out, nil
}
