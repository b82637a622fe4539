package edge

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"

	"fuchsiashelf.dev/parts/fault"
)

// issued is the answer to a caller that asks for a ticket.
type issued struct {
	Ticket string `json:"ticket"`
}

// ticket answers a caller that asks for an id of its next call.
func (g *Handler) ticket(_ context.Context, c *app.RequestContext) {
	who, e := caller(c, g.View.Load())
	if e != nil {
		refuse(c, e)
		return
	}
	text, err := g.Pass.Issue(who.Name)
	if err != nil {
		refuse(c, &fault.Error{Code: fault.Internal, Verdict: fault.NotRun, Cause: err})
		return
	}
	c.JSON(200, issued{text})
}
