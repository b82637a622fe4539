package front

import (
	"net/http"
	"runtime/debug"
)

// maxStack bounds what the log shows of the stack of a panic.
const maxStack = 4 << 10

// reportPanic logs a panic of a request, which ends its connection and nothing else. Call it deferred.
func (h *Handler) reportPanic(r *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != http.ErrAbortHandler {
		stack := debug.Stack()
		h.Meter.Count("requests.panics")
		h.Log.Error("request: panic", "request", h.Codec.RequestID(r), "panic", cause, "stack", string(stack[:min(len(stack), maxStack)]))
	}
	panic(http.ErrAbortHandler)
}
