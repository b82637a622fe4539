package edge

import (
	"encoding/json"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"fuchsiashelf.dev/parts/fault"
)

// answer writes a model answer as server-sent events. The stream begins with
// the first token, so that an error before it can be an HTTP status.
type answer struct {
	c      *app.RequestContext
	events *sse.Writer
}

// tokenEvent is the data of a token event.
type tokenEvent struct {
	Index int    `json:"index"`
	Token string `json:"token"`
}

// endEvent is the data of an end event.
type endEvent struct {
	Count int `json:"count"`
}

// Token implements relay.Sink.
func (a *answer) Token(index int, text string) error {
	return a.write("token", tokenEvent{index, text})
}

func (a *answer) write(kind string, data any) error {
	if a.events == nil {
		a.events = sse.NewWriter(a.c)
	}
	value, err := json.Marshal(data)
	if err != nil {
		return err
	}
	return a.events.WriteEvent("", kind, value)
}

// finish ends the answer with an end event, or with an error that cannot be
// taken for one.
func (a *answer) finish(count int, e *fault.Error) {
	if e == nil {
		_ = a.write("end", endEvent{count})
		return
	}
	if a.events == nil {
		refuse(a.c, e)
		return
	}
	_ = a.write("error", problem(e))
}
