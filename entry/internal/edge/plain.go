package edge

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"fuchsiashelf.dev/entry/internal/invoke"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/rule"
	"fuchsiashelf.dev/parts/view"
)

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Connection",
}

func (g *Handler) plain(ctx context.Context, c *app.RequestContext) {
	snap := g.View.Load()
	who, e := caller(c, snap)
	if e != nil {
		refuse(c, e)
		return
	}
	s, e := plainService(snap, string(c.Path()))
	if e != nil {
		refuse(c, e)
		return
	}
	p, e := route(snap, s.Name, who.Name)
	if e != nil {
		refuse(c, e)
		return
	}
	id, e := callID(c)
	if e != nil {
		refuse(c, e)
		return
	}
	request := g.next(snap)
	c.Header(RequestHeader, request)
	g.Trace.Record("gate", request, "took a call of team "+who.Name)
	taken.Inc(1)
	deadline := time.Now().Add(s.EffectiveDeadline())
	grant, e := g.Admission.enter(ctx, snap, &entering{
		request: request, team: who, pool: p, cost: 1, bytes: len(c.Request.Body()), deadline: deadline,
	})
	if e != nil {
		refuse(c, e)
		return
	}
	defer grant.Release()
	reply, e := g.Pass.Call(ctx, &invoke.Call{
		Request: request, Team: who.Name, ID: id,
		Service: s, Pool: p, Method: string(c.Method()),
		URI: string(c.Request.URI().RequestURI()), Header: requestHeader(c),
		Body: c.Request.Body(), Deadline: deadline,
	})
	if e != nil {
		refuse(c, e)
		return
	}
	respond(c, reply)
}

// maxID bounds the caller's id of a call, in bytes.
const maxID = 1024

// callID returns the caller's id of a call. Of two ids the system could go by
// one and the backend server by the other, and neither would see a repeat.
func callID(c *app.RequestContext) (string, *fault.Error) {
	bad := func(message string) *fault.Error {
		return &fault.Error{Code: fault.BadRequest, Verdict: fault.NotRun, Field: invoke.IDHeader, Message: message}
	}
	ids := c.Request.Header.GetAll(invoke.IDHeader)
	switch {
	case len(ids) == 0:
		return "", nil
	case len(ids) > 1:
		return "", bad("given more than once")
	case len(ids[0]) > maxID:
		return "", bad(fmt.Sprintf("longer than %d bytes", maxID))
	}
	return ids[0], nil
}

// plainService returns the service with the longest path that the call's
// path is under.
func plainService(snap *view.Snapshot, path string) (rule.Service, *fault.Error) {
	best := rule.Service{}
	if snap.Config != nil {
		for _, s := range snap.Config.Services {
			if under(path, s.Path) && len(s.Path) > len(best.Path) {
				best = s
			}
		}
	}
	if best.Path == "" {
		return best, &fault.Error{
			Code: fault.NoRoute, Verdict: fault.NotRun, Field: "path",
			Message: "no service has the path " + path,
		}
	}
	return best, nil
}

func under(path, prefix string) bool {
	rest, found := strings.CutPrefix(path, prefix)
	return found && prefix != "" && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

func requestHeader(c *app.RequestContext) http.Header {
	header := http.Header{}
	c.Request.Header.VisitAll(func(key, value []byte) {
		header.Add(string(key), string(value))
	})
	strip(header)
	// A caller's word must not be taken for the system's.
	for name := range header {
		if strings.HasPrefix(name, invoke.HeaderPrefix) {
			header.Del(name)
		}
	}
	// The whole body is here already.
	header.Del("Expect")
	// The token is between the caller and the system.
	header.Del("Authorization")
	header.Del("Host")
	header.Del("Content-Length")
	return header
}

func strip(header http.Header) {
	for _, named := range header.Values("Connection") {
		for name := range strings.SplitSeq(named, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

// respond writes an answer. Several callers may get the same one, so it is
// left as it is.
func respond(c *app.RequestContext, reply *invoke.Reply) {
	header := reply.Header.Clone()
	strip(header)
	header.Del("Content-Length")
	for name, values := range header {
		if strings.HasPrefix(name, invoke.HeaderPrefix) {
			continue
		}
		c.Response.Header.Del(name)
		for _, value := range values {
			c.Response.Header.Add(name, value)
		}
	}
	c.Header(fault.Header, fault.Ran.String())
	c.Status(reply.Status)
	c.Response.SetBody(reply.Body)
}
