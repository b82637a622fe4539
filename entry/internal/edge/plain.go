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

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Connection",
}

// handlePlain handles a call of a plain service.
func (h *Handler) handlePlain(ctx context.Context, c *app.RequestContext) {
	snap := h.View.Load()
	tm, e := authenticate(c, snap)
	if e != nil {
		writeError(c, e)
		return
	}
	s, e := plainService(snap, string(c.Path()))
	if e != nil {
		writeError(c, e)
		return
	}
	p, e := route(snap, s.Name, tm.Name)
	if e != nil {
		writeError(c, e)
		return
	}
	id, e := callID(c)
	if e != nil {
		writeError(c, e)
		return
	}
	requestID := h.nextID(snap)
	c.Header(RequestHeader, requestID)
	h.Trace.Record("gate", requestID, "took a call of team "+tm.Name)
	requestCount.Inc(1)
	deadline := time.Now().Add(s.EffectiveDeadline())
	grant, e := h.Admission.admit(ctx, snap, &admissionRequest{
		id: requestID, team: tm, pool: p, cost: 1, bytes: len(c.Request.Body()), deadline: deadline,
	})
	if e != nil {
		writeError(c, e)
		return
	}
	defer grant.Release()
	response, e := h.PlainForwarder.Call(ctx, &invoke.Call{
		RequestID: requestID, Team: tm.Name, ID: id,
		Service: s, Pool: p, Method: string(c.Method()),
		URI: string(c.Request.URI().RequestURI()), Header: forwardedHeader(c),
		Body: c.Request.Body(), Deadline: deadline,
	})
	if e != nil {
		writeError(c, e)
		return
	}
	writeResponse(c, response)
}

// maxCallID is the maximum length of a caller's id of a call, in bytes.
const maxCallID = 1024

// callID returns the caller's id of a call, or "" if it has none. More than one id
// is an error: if this system used one of them and the backend server the other,
// neither would detect a repeated call.
func callID(c *app.RequestContext) (string, *fault.Error) {
	invalid := func(message string) *fault.Error {
		return &fault.Error{Code: fault.BadRequest, Verdict: fault.NotRun, Field: invoke.IDHeader, Message: message}
	}
	ids := c.Request.Header.GetAll(invoke.IDHeader)
	switch {
	case len(ids) == 0:
		return "", nil
	case len(ids) > 1:
		return "", invalid("given more than once")
	case len(ids[0]) > maxCallID:
		return "", invalid(fmt.Sprintf("longer than %d bytes", maxCallID))
	}
	return ids[0], nil
}

// plainService returns the service with the longest path that is a prefix of the
// path of a call.
func plainService(snap *view.Snapshot, path string) (rule.Service, *fault.Error) {
	longest := rule.Service{}
	if snap.Config != nil {
		for _, s := range snap.Config.Services {
			if hasPathPrefix(path, s.Path) && len(s.Path) > len(longest.Path) {
				longest = s
			}
		}
	}
	if longest.Path == "" {
		return longest, &fault.Error{
			Code: fault.NoRoute, Verdict: fault.NotRun, Field: "path",
			Message: "no service has the path " + path,
		}
	}
	return longest, nil
}

// hasPathPrefix reports whether a path equals a prefix or continues it with
// whole segments. No path has the empty prefix.
func hasPathPrefix(path, prefix string) bool {
	rest, found := strings.CutPrefix(path, prefix)
	return found && prefix != "" && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

// forwardedHeader returns the headers of a call that are forwarded to the backend
// server.
func forwardedHeader(c *app.RequestContext) http.Header {
	header := http.Header{}
	c.Request.Header.VisitAll(func(key, value []byte) {
		header.Add(string(key), string(value))
	})
	removeHopByHop(header)
	// A caller must not set headers that only this system sets.
	for name := range header {
		if strings.HasPrefix(name, invoke.HeaderPrefix) {
			header.Del(name)
		}
	}
	// The whole body has been received already.
	header.Del("Expect")
	// The token is a secret between the caller and this system.
	header.Del("Authorization")
	header.Del("Host")
	header.Del("Content-Length")
	return header
}

// removeHopByHop removes the hop-by-hop headers, including those named by
// Connection.
func removeHopByHop(header http.Header) {
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}

// writeResponse writes a response to the caller. Several callers may get the same
// response, so it is not modified.
func writeResponse(c *app.RequestContext, response *invoke.Response) {
	header := response.Header.Clone()
	removeHopByHop(header)
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
	c.Status(response.Status)
	c.Response.SetBody(response.Body)
}
