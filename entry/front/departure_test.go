package front

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/caller"
	"fuchsiashelf.dev/parts/fault"
)

// waitingForwarder waits until its requests end.
type waitingForwarder struct{ waiting chan struct{} }

func (f *waitingForwarder) Serve(ctx context.Context, _ http.ResponseWriter, j *call.Job) call.Outcome {
	j.Caller.Add(caller.AttemptBegun, "engine-1")
	f.waiting <- struct{}{}
	<-ctx.Done()
	j.Caller.Add(caller.AttemptEnded, "engine-1")
	return call.Outcome{}
}

// newConfiguredHandler returns a handler with a configuration, and its forwarder.
func newConfiguredHandler() (*Handler, *testForwarder) {
	h, forwarder := newHeldHandler()
	h.State.MergeConfig([]byte{1})
	return h, forwarder
}

// writeRequest writes a request without a body.
func writeRequest(w io.Writer) error {
	_, err := fmt.Fprint(w, "GET /look/1 HTTP/1.1\r\nHost: town.example\r\n\r\n")
	return err
}

// startRequest starts a server and sends it a request, whose end closes ended.
func startRequest(t *testing.T, h *Handler) (c net.Conn, ended chan struct{}) {
	ended = make(chan struct{})
	address := startServer(t, &Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		h.ServeHTTP(w, r)
	})})
	c, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, writeRequest(c), qt.IsNil)
	return c, ended
}

// Guards against a log and metrics that do not tell when a caller left and when its work ended.
func TestDepartureIsLogged(t *testing.T) {
	h, _ := newConfiguredHandler()
	forwarder := &waitingForwarder{waiting: make(chan struct{})}
	h.Plain, h.Lost = forwarder, func() float64 { return 0.5 }
	var log bytes.Buffer
	h.Log = slog.New(slog.NewJSONHandler(&log, nil))
	c, ended := startRequest(t, h)
	<-forwarder.waiting
	qt.Assert(t, c.Close(), qt.IsNil)
	<-ended
	var line struct {
		Message string `json:"msg"`
		Request string `json:"request"`
		By, How string
		Noticed int64
		Ended   int64
		Lost    float64
		Steps   []string
	}
	for l := range bytes.Lines(log.Bytes()) {
		if bytes.Contains(l, []byte("caller left")) {
			qt.Assert(t, json.Unmarshal(l, &line), qt.IsNil)
		}
	}
	qt.Assert(t, []any{line.Message, line.Request, line.By, line.How, line.Lost}, qt.DeepEquals,
		[]any{"request: caller left", "r", "server", "closed", 0.5})
	qt.Assert(t, line.Noticed > 0 && line.Noticed <= line.Ended, qt.IsTrue)
	qt.Assert(t, line.Steps, qt.HasLen, 3)
	qt.Assert(t, counter(h.Meter, "caller.left.server"), qt.Equals, int64(1))
}

// Guards against requests that are forwarded although their callers left before they were read, by a
// host that reads late.
func TestRequestOfCallerThatLeftIsNotForwarded(t *testing.T) {
	const callers = 50
	for _, reset := range []bool{false, true} {
		h, forwarder := newConfiguredHandler()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		for range callers {
			c, err := net.Dial("tcp", l.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, writeRequest(c), qt.IsNil)
			if reset {
				qt.Assert(t, c.(*net.TCPConn).SetLinger(0), qt.IsNil)
			}
			qt.Assert(t, c.Close(), qt.IsNil)
		}
		// The server accepts connections in their order, so that all have been read when the last one has.
		last := make(chan struct{})
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/last" {
				close(last)
				return
			}
			h.ServeHTTP(w, r)
		})
		s := &Server{Listener: l, Handler: handler, Log: slog.New(slog.DiscardHandler)}
		go s.Run()
		resp, err := http.Get("http://" + l.Addr().String() + "/last")
		qt.Assert(t, err, qt.IsNil)
		resp.Body.Close()
		<-last
		s.Stop(context.Background())
		forwarder.mu.Lock()
		qt.Check(t, len(forwarder.jobs), qt.Equals, 0, qt.Commentf("reset: %v", reset))
		forwarder.mu.Unlock()
	}
}

// Guards against callers that leave unnoticed because a byte follows their request, which net/http
// reads in place of the end of the connection.
func TestCallerLeavesAfterStrayByte(t *testing.T) {
	h, _ := newConfiguredHandler()
	forwarder := &waitingForwarder{waiting: make(chan struct{})}
	h.Plain = forwarder
	c, ended := startRequest(t, h)
	_, err := c.Write([]byte("\r\n"))
	qt.Assert(t, err, qt.IsNil)
	<-forwarder.waiting
	qt.Assert(t, c.Close(), qt.IsNil)
	for {
		h.CheckCallers()
		select {
		case <-ended:
			return
		default:
		}
	}
}

// failingForwarder waits until its requests end and returns the error of a caller that has left, or panics.
type failingForwarder struct {
	waitingForwarder
	panics bool
}

func (f *failingForwarder) Serve(ctx context.Context, w http.ResponseWriter, j *call.Job) call.Outcome {
	if f.panics {
		panic("no such layer")
	}
	out := f.waitingForwarder.Serve(ctx, w, j)
	out.Error = &fault.Error{Code: fault.Cancelled, Verdict: fault.NotRun}
	return out
}

// Guards against callers that close their sending direction only and get a response of net/http, which
// says 200, in place of none.
func TestCallerThatLeftGetsNoAnswer(t *testing.T) {
	for _, early := range []bool{false, true} {
		h, _ := newConfiguredHandler()
		forwarder := &failingForwarder{waitingForwarder: waitingForwarder{waiting: make(chan struct{}, 1)}}
		h.Plain = forwarder
		address := startServer(t, &Server{Handler: h})
		c, err := net.Dial("tcp", address)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, writeRequest(c), qt.IsNil)
		if !early {
			<-forwarder.waiting
		}
		qt.Assert(t, c.(*net.TCPConn).CloseWrite(), qt.IsNil)
		got, _ := io.ReadAll(c)
		qt.Check(t, string(got), qt.Equals, "")
	}
}

// Guards against panics of requests that nobody learns of, or that end more than the request.
func TestPanicIsLogged(t *testing.T) {
	h, _ := newConfiguredHandler()
	h.Plain = &failingForwarder{panics: true}
	var log bytes.Buffer
	h.Log = slog.New(slog.NewJSONHandler(&log, nil))
	c, ended := startRequest(t, h)
	<-ended
	got, _ := io.ReadAll(c)
	qt.Check(t, string(got), qt.Equals, "")
	qt.Check(t, log.String(), qt.Contains, `"msg":"request: panic","request":"r","panic":"no such layer","stack":"goroutine`)
	qt.Check(t, counter(h.Meter, "requests.panics"), qt.Equals, int64(1))
}
