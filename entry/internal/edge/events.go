package edge

import (
	"encoding/json"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"fuchsiashelf.dev/parts/fault"
)

// eventStream writes the response to a model request as server-sent events. The
// stream starts with the first token, so that an earlier error can still set the
// HTTP status.
type eventStream struct {
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
func (s *eventStream) Token(index int, text string) error {
	return s.write("token", tokenEvent{index, text})
}

func (s *eventStream) write(kind string, data any) error {
	if s.events == nil {
		s.events = sse.NewWriter(s.c)
	}
	value, err := json.Marshal(data)
	if err != nil {
		return err
	}
	return s.events.WriteEvent("", kind, value)
}

// end finishes the response with an end event, or with an error event if the
// response is incomplete. Before the first event, the error becomes the whole
// response.
func (s *eventStream) end(count int, e *fault.Error) {
	if e == nil {
		_ = s.write("end", endEvent{count})
		return
	}
	if s.events == nil {
		writeError(s.c, e)
		return
	}
	_ = s.write("error", newErrorBody(e))
}
