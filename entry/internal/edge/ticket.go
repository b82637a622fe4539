package edge

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"

	"fuchsiashelf.dev/parts/fault"
)

// ticketResponse is the response to a request for a ticket.
type ticketResponse struct {
	Ticket string `json:"ticket"`
}

// handleTicket issues a ticket: an id that the caller gives with its next call.
func (h *Handler) handleTicket(_ context.Context, c *app.RequestContext) {
	tm, e := authenticate(c, h.View.Load())
	if e != nil {
		writeError(c, e)
		return
	}
	ticket, err := h.PlainForwarder.Issue(tm.Name)
	if err != nil {
		writeError(c, &fault.Error{Code: fault.Internal, Verdict: fault.NotRun, Cause: err})
		return
	}
	c.JSON(200, ticketResponse{ticket})
}
