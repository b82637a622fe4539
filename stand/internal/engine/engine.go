// Package engine is a stand-in for a model engine that holds a range of
// layers. It runs no model: it spends the time that a model would take and
// derives its tokens with package token.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	wire "fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/stand/inject"
	"fuchsiashelf.dev/stand/token"
)

// Engine is one stand-in engine. Set the exported fields before its first
// request.
type Engine struct {
	Name  string
	Model string
	// First and End bound the layers that the engine holds.
	First, End int
	// Kind names the kind of accelerator.
	Kind string
	// TokenTime is the time for one token of one request.
	TokenTime time.Duration
	// Capacity is how many requests run at once; others wait.
	Capacity int
	// LinkDelay is the one-way delay of the links to other servers.
	LinkDelay time.Duration
	// Fencing says that the engine refuses an order whose number is older
	// than one it has seen.
	Fencing bool
	Faults  *inject.Set

	orders   orders
	once     sync.Once
	slots    chan struct{}
	inFlight atomic.Int64
	waiting  atomic.Int64
	runs     atomic.Int64
}

// The faults of an engine.
const (
	// Refuse: new requests are refused with Not-Run.
	Refuse inject.Kind = "refuse"
)

// maxIdle bounds the idle connections kept to one server.
const maxIdle = 256

var handOn = &http.Client{Transport: &http.Transport{
	DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	MaxIdleConnsPerHost: maxIdle,
}}

// step is what one server hands on to the next for one token.
type step struct {
	State token.State  `json:"state"`
	Rest  []wire.Stage `json:"rest"`
	Spans []wire.Span  `json:"spans"`
}

// failure is an error of a server of the chain.
type failure struct {
	Server string `json:"server"`
	What   string `json:"what"`
}

func (f *failure) Error() string {
	return f.Server + ": " + f.What
}

func (e *Engine) take(ctx context.Context) error {
	e.once.Do(func() { e.slots = make(chan struct{}, max(e.Capacity, 1)) })
	e.waiting.Add(1)
	defer e.waiting.Add(-1)
	select {
	case e.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *Engine) release() {
	<-e.slots
}

// run spends the time of one token, folds the engine's layers into the state
// and hands on to the rest of the chain.
func (e *Engine) run(ctx context.Context, s step) (step, error) {
	stage := s.Rest[0]
	if stage.First < e.First || stage.End > e.End {
		return s, &failure{e.Name, fmt.Sprintf("holds layers %d to %d", e.First, e.End)}
	}
	began := time.Now()
	if err := e.take(ctx); err != nil {
		return s, err
	}
	pause(ctx, e.TokenTime)
	e.release()
	e.runs.Add(1)
	s.State = s.State.Run(stage.First, stage.End)
	s.Rest = s.Rest[1:]
	span := wire.Span{
		Server: e.Name, First: stage.First, End: stage.End,
		RunUs: time.Since(began).Microseconds(),
	}
	if len(s.Rest) > 0 {
		span.LinkUs = e.LinkDelay.Microseconds()
	}
	s.Spans = append(s.Spans, span)
	if len(s.Rest) == 0 {
		return s, nil
	}
	pause(ctx, e.LinkDelay)
	return e.next(ctx, s)
}

func (e *Engine) next(ctx context.Context, s step) (step, error) {
	to := s.Rest[0]
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
		return s, &failure{to.Server, err.Error()}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		f := &failure{Server: to.Server}
		if json.NewDecoder(resp.Body).Decode(f) != nil {
			f.What = resp.Status
		}
		return s, f
	}
	var out step
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return s, &failure{to.Server, err.Error()}
	}
	return out, nil
}

// Status returns the engine's report.
func (e *Engine) Status() wire.Status {
	state := host.Live
	if _, on := e.Faults.On(Refuse); on {
		state = host.Leaving
	}
	return wire.Status{
		Name: e.Name, Model: e.Model, First: e.First, End: e.End, Kind: e.Kind,
		State:    state,
		InFlight: int(e.inFlight.Load()), Waiting: int(e.waiting.Load()),
		Capacity: e.Capacity, TokenUs: e.TokenTime.Microseconds(),
		Links: map[string]int64{}, Number: e.orders.seen(),
	}
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
