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

// generateRequest is the body of a model request.
type generateRequest struct {
	Service string `json:"service"`
	Prompt  string `json:"prompt"`
	Max     int    `json:"max"`
}

// event is the data of an event of any type, and the body of an error response.
type event struct {
	Index   int    `json:"index"`
	Token   string `json:"token"`
	Count   int    `json:"count"`
	Code    string `json:"code"`
	Verdict string `json:"verdict"`
}

// generate makes a model call.
func (c *Caller) generate(ctx context.Context, entry string, arrival plan.Arrival, observer TokenObserver) Outcome {
	encoded, err := json.Marshal(generateRequest{c.Service, arrival.Prompt, arrival.Tokens})
	if err != nil {
		return Outcome{Result: Lost, Code: err.Error()}
	}
	url := "http://" + entry + "/v1/generate"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		return Outcome{Result: Lost, Code: err.Error()}
	}
	req.Header.Set("Authorization", authorization(arrival.Team))
	resp, err := client.Do(req)
	if err != nil {
		return Outcome{Result: Lost}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp)
	}
	r := &responseReader{arrival: arrival, layers: c.Layers, observer: observer}
	return r.read(resp.Body)
}

// readRefusal reads an error response.
func readRefusal(resp *http.Response) Outcome {
	var e event
	data, err := io.ReadAll(resp.Body)
	if err != nil || json.Unmarshal(data, &e) != nil || e.Code == "" {
		return Outcome{Result: Lost}
	}
	return Outcome{Result: Refused, Code: e.Code, Verdict: e.Verdict}
}

// responseReader reads and checks one streamed response.
type responseReader struct {
	arrival  plan.Arrival
	layers   int
	observer TokenObserver

	tokens  int
	done    bool
	outcome Outcome
}

// read reads events until the response ends.
func (r *responseReader) read(stream io.Reader) Outcome {
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
		r.handle(e)
	}
	return r.outcome
}

// handle checks one event. Events after the end are not read.
func (r *responseReader) handle(e *sse.Event) {
	var data event
	if err := json.Unmarshal(e.Data, &data); err != nil {
		r.end(Outcome{Result: Wrong})
		return
	}
	switch e.Type {
	case "token":
		r.observer.Token(time.Now())
		if data.Index != r.tokens || !r.isCorrect(data) {
			r.end(Outcome{Result: Wrong})
		}
		r.tokens++
	case "end":
		if data.Count != r.arrival.Tokens || r.tokens != r.arrival.Tokens {
			r.end(Outcome{Result: Wrong})
			return
		}
		r.end(Outcome{Result: Complete})
	case "error":
		r.end(Outcome{Result: Failed, Code: data.Code, Verdict: data.Verdict})
	}
}

// isCorrect reports whether a token is the one that all layers compute.
func (r *responseReader) isCorrect(data event) bool {
	if r.layers == 0 {
		return true
	}
	return token.Start(r.arrival.Prompt, data.Index).Apply(0, r.layers).Token() == data.Token
}

func (r *responseReader) end(o Outcome) {
	r.done = true
	r.outcome = o
}
