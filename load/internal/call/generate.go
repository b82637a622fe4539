package call

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"fuchsiashelf.dev/load/internal/plan"
	"fuchsiashelf.dev/stand/token"
)

// body is a model request.
type body struct {
	Service string `json:"service"`
	Prompt  string `json:"prompt"`
	Max     int    `json:"max"`
}

// event is the data of any event of an answer.
type event struct {
	Index   int    `json:"index"`
	Token   string `json:"token"`
	Count   int    `json:"count"`
	Code    string `json:"code"`
	Verdict string `json:"verdict"`
}

func (c *Caller) generate(ctx context.Context, entry string, shot plan.Arrival, watch TokenObserver) Outcome {
	value, err := json.Marshal(body{c.Service, shot.Prompt, shot.Tokens})
	if err != nil {
		return Outcome{Result: Lost, Code: err.Error()}
	}
	url := "http://" + entry + "/v1/generate"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(value))
	if err != nil {
		return Outcome{Result: Lost, Code: err.Error()}
	}
	req.Header.Set("Authorization", bearer(shot.Team))
	resp, err := client.Do(req)
	if err != nil {
		return Outcome{Result: Lost}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refused(resp)
	}
	r := &reading{shot: shot, layers: c.Layers, watch: watch}
	return r.read(resp.Body)
}

// refused reads the error of an answer that has no token.
func refused(resp *http.Response) Outcome {
	var e event
	value, err := io.ReadAll(resp.Body)
	if err != nil || json.Unmarshal(value, &e) != nil || e.Code == "" {
		return Outcome{Result: Lost}
	}
	return Outcome{Result: Refused, Code: e.Code, Verdict: e.Verdict}
}

// reading is the state of an answer under way.
type reading struct {
	shot   plan.Arrival
	layers int
	watch  TokenObserver

	tokens int
	done   bool
	out    Outcome
}

// read follows the events until the answer ends.
func (r *reading) read(stream io.Reader) Outcome {
	resp := &protocol.Response{}
	resp.Header.SetContentType("text/event-stream")
	resp.SetBodyStream(stream, -1)
	events, err := sse.NewReader(resp)
	if err != nil {
		return Outcome{Result: Lost}
	}
	e := sse.NewEvent()
	defer e.Release()
	for !r.done {
		if err := events.Read(e); err != nil {
			return Outcome{Result: Lost}
		}
		r.take(e)
	}
	return r.out
}

// take judges one event. Nothing that comes after the end is looked at.
func (r *reading) take(e *sse.Event) {
	var data event
	if err := json.Unmarshal(e.Data, &data); err != nil {
		r.end(Outcome{Result: Wrong})
		return
	}
	switch e.Type {
	case "token":
		r.watch.Token(time.Now())
		if data.Index != r.tokens || !r.right(data) {
			r.end(Outcome{Result: Wrong})
		}
		r.tokens++
	case "end":
		if data.Count != r.shot.Tokens || r.tokens != r.shot.Tokens {
			r.end(Outcome{Result: Wrong})
			return
		}
		r.end(Outcome{Result: Complete})
	case "error":
		r.end(Outcome{Result: Failed, Code: data.Code, Verdict: data.Verdict})
	}
}

// right compares a token with the one that all layers give.
func (r *reading) right(data event) bool {
	if r.layers == 0 {
		return true
	}
	return token.Start(r.shot.Prompt, data.Index).Apply(0, r.layers).Token() == data.Token
}

func (r *reading) end(o Outcome) {
	r.done = true
	r.out = o
}
