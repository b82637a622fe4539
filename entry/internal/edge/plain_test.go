package edge

import (
	"net/http"
	"strings"
	"testing"

	"github.com/cloudwego/hertz/pkg/app"
	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/internal/invoke"
	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/rule"
	"fuchsiashelf.dev/parts/view"
)

func TestPlainService(t *testing.T) {
	snap := &view.Snapshot{Config: &conf.Config{Services: map[string]rule.Service{
		"booking": {Name: "booking", Path: "/booking"},
		"refunds": {Name: "refunds", Path: "/booking/refunds"},
		"assist":  {Name: "assist", Model: "lotus"},
	}}}
	for path, want := range map[string]string{
		"/booking": "booking", "/booking/": "booking", "/booking/pay": "booking",
		"/booking/refunds": "refunds", "/booking/refunds/7": "refunds", "/booking/refundsx": "booking",
		"/bookings": "", "/book": "", "/": "", "": "", "//booking": "",
	} {
		s, e := plainService(snap, path)
		qt.Check(t, s.Name, qt.Equals, want, qt.Commentf("%q", path))
		qt.Check(t, e == nil, qt.Equals, want != "", qt.Commentf("%q", path))
	}
}

// A caller sends hop-by-hop headers, its token, and headers that only this system
// may set. If they were forwarded, the backend server could take the caller for
// another team, or close a connection that other callers share.
func TestForwardedHeader(t *testing.T) {
	var c app.RequestContext
	for name, value := range map[string]string{
		"Authorization": "Bearer token", "Connection": "keep-alive, X-Hop", "X-Hop": "1",
		"Fuchsia-Team": "lyra", "Fuchsia-Verdict": "not-run", "Te": "trailers", "Upgrade": "h2c",
		"Expect": "100-continue", "Proxy-Connection": "close",
		"Accept": "text/html", "X-End": "kept", "Idempotency-Key": "seat-1",
	} {
		c.Request.Header.Set(name, value)
	}
	c.Request.Header.Add("X-Many", "1")
	c.Request.Header.Add("X-Many", "2")
	got := forwardedHeader(&c)
	got.Del("User-Agent")
	got.Del("Content-Type")
	qt.Assert(t, got, qt.DeepEquals, http.Header{
		"Accept": {"text/html"}, "X-End": {"kept"}, "Idempotency-Key": {"seat-1"}, "X-Many": {"1", "2"},
	})
}

// Two callers that send the same call get the same response. Writing it to one
// must not remove end-to-end headers for the other.
func TestWriteResponse(t *testing.T) {
	response := &invoke.Response{Status: 201, Body: []byte("ok"), Header: http.Header{
		"Set-Cookie": {"a=1", "b=2"}, "X-End": {"kept"}, "Connection": {"X-Hop"}, "X-Hop": {"1"},
		"Fuchsia-Verdict": {"not-run"}, "Content-Type": {"text/plain"},
	}}
	for range 2 {
		var c app.RequestContext
		writeResponse(&c, response)
		qt.Assert(t, c.Response.StatusCode(), qt.Equals, 201)
		qt.Assert(t, string(c.Response.Header.Peek("X-End")), qt.Equals, "kept")
		qt.Assert(t, string(c.Response.Header.Peek("Fuchsia-Verdict")), qt.Equals, "ran")
		qt.Assert(t, string(c.Response.Header.ContentType()), qt.Equals, "text/plain")
		qt.Assert(t, len(c.Response.Header.Peek("X-Hop")), qt.Equals, 0)
		qt.Assert(t, len(c.Response.Header.GetCookies()), qt.Equals, 2)
	}
	qt.Assert(t, response.Header.Get("X-Hop"), qt.Equals, "1")
}

// A caller gives several ids or one that is too long. Using either of two ids
// would let the call run again under the other.
func TestCallID(t *testing.T) {
	for _, test := range []struct {
		ids   []string
		want  string
		valid bool
	}{
		{nil, "", true},
		{[]string{"seat-1"}, "seat-1", true},
		{[]string{strings.Repeat("x", maxCallID)}, strings.Repeat("x", maxCallID), true},
		{[]string{strings.Repeat("x", maxCallID+1)}, "", false},
		{[]string{"seat-1", "seat-2"}, "", false},
		{[]string{"seat-1", "seat-1"}, "", false},
	} {
		var c app.RequestContext
		for _, id := range test.ids {
			c.Request.Header.Add("idempotency-key", id)
		}
		got, e := callID(&c)
		qt.Check(t, got, qt.Equals, test.want)
		qt.Check(t, e == nil, qt.Equals, test.valid)
		if e != nil {
			qt.Check(t, e.Field, qt.Equals, invoke.IDHeader)
		}
	}
}
