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

// maxIdle bounds the idle connections kept to one server.
const maxIdle = 256

var handOn = &http.Client{Transport: &http.Transport{
	DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	MaxIdleConnsPerHost: maxIdle,
}}

// step is what one server hands on to the next for one token.
type step struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
	Index   int    `json:"index"`
	Prompt  string `json:"prompt"`
	// Priority is that of the request.
	Priority int `json:"priority,omitempty"`
	// Read is how many words and tokens are read before this token.
	Read  int          `json:"read"`
	State token.State  `json:"state"`
	Rest  []wire.Stage `json:"rest"`
	Spans []wire.Span  `json:"spans"`
}

// failure is an error of a server of the chain.
type failure struct {
	Server  string `json:"server"`
	What    string `json:"what"`
	Refused bool   `json:"refused"`
}

func (f *failure) Error() string {
	return f.Server + ": " + f.What
}

// blame returns the failure that an error is, or makes one of this server.
func (e *Engine) blame(err error) *failure {
	var f *failure
	if errors.As(err, &f) {
		return f
	}
	return &failure{Server: e.Name, What: err.Error()}
}

// admit takes the chain of a step, or refuses it.
func (e *Engine) admit(s *step) error {
	key := chainKey{s.Request, s.Attempt}
	now := time.Now()
	if e.known.has(key, now) {
		return nil
	}
	if _, on := e.Faults.Trigger(Refuse); on {
		e.count.refused.Add(1)
		return &failure{e.Name, wire.Leaving, true}
	}
	e.known.add(key, now)
	e.count.took(s.Prompt)
	return nil
}

// run spends the time of one token, folds the engine's layers into the state
// and hands on to the rest of the chain.
func (e *Engine) run(ctx context.Context, s step) (step, error) {
	stage := s.Rest[0]
	if stage.First < e.First || stage.End > e.End {
		return s, &failure{Server: e.Name, What: fmt.Sprintf("holds layers %d to %d", e.First, e.End)}
	}
	if err := e.strike(ctx, &s); err != nil {
		return s, err
	}
	arrived := time.Now()
	began, err := e.batch.run(ctx, e.Capacity, &turn{
		extra: time.Duration(s.Read) * e.PrefillTime, priority: s.Priority,
	}, e.tokenTime)
	if err != nil {
		return s, err
	}
	if err := e.thawed(ctx); err != nil {
		return s, err
	}
	e.count.runs.Add(1)
	first, end := stage.First, stage.End
	if _, on := e.Faults.Trigger(OmitLastLayer); on {
		end--
	}
	s.State = s.State.Apply(first, end)
	s.Rest = s.Rest[1:]
	s.Spans = append(s.Spans, wire.Span{
		Server: e.Name, First: first, End: end,
		RunUs: time.Since(began).Microseconds(), WaitUs: began.Sub(arrived).Microseconds(),
	})
	if len(s.Rest) == 0 {
		return s, nil
	}
	return e.next(ctx, s)
}

// next hands a step on over the link to the next server.
func (e *Engine) next(ctx context.Context, s step) (step, error) {
	to := s.Rest[0]
	delay := e.links.delay(to.Server, e.LinkDelay)
	if delay == cut {
		// A cut link swallows what is sent; nobody is told.
		<-ctx.Done()
		return s, ctx.Err()
	}
	s.Spans[len(s.Spans)-1].LinkUs = delay.Microseconds()
	wait.For(ctx, delay)
	body, err := json.Marshal(s)
	if err != nil {
		return s, err
	}
	url := "http://" + to.Address + "/v1/steps"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return s, err
	}
	resp, err := handOn.Do(req)
	if err != nil {
		return s, &failure{Server: to.Server, What: err.Error()}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		f := &failure{}
		if json.NewDecoder(resp.Body).Decode(f) != nil {
			f = &failure{Server: to.Server, What: resp.Status}
		}
		return s, f
	}
	var out step
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return s, &failure{Server: to.Server, What: err.Error()}
	}
	return out, nil
}
