package stream

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/conns"
	"fuchsiashelf.dev/entry/dialer"
	"fuchsiashelf.dev/entry/egress"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/limit"
	"fuchsiashelf.dev/parts/pause"
	"fuchsiashelf.dev/parts/retry"
	"fuchsiashelf.dev/parts/route"
	"fuchsiashelf.dev/parts/router"
)

// lastCodec sends the ID of the last event in a header.
type lastCodec struct{ call.Codec }

func (lastCodec) NewRequest(_ *call.Request, o call.SendOptions) *http.Request {
	return &http.Request{
		Method: http.MethodPost, Host: o.Server.Address, Header: http.Header{"Last": {o.LastEvent}}, ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{Scheme: "http", Host: o.Server.Address, Path: "/"}, Body: http.NoBody,
	}
}

func (lastCodec) ParseReply(r *http.Response) call.Reply {
	return call.Reply{Status: r.StatusCode, NotRun: r.StatusCode == http.StatusServiceUnavailable}
}

// streamEvents is the number of events of a stream in these tests.
const streamEvents = 4

// sendEventsAfter sends the events that follow the one that the request names, up to the given one.
func sendEventsAfter(w http.ResponseWriter, r *http.Request, to int) {
	from, _ := strconv.Atoi(r.Header.Get("Last"))
	for n := from + 1; n <= to; n++ {
		fmt.Fprint(w, eventText(n))
	}
	_ = http.NewResponseController(w).Flush()
}

// pausing is a server that sends one event and is silent until resume is closed. left is closed when
// its client has closed the connection in the silence.
type pausing struct {
	resume, left chan struct{}
	// then is the last event that it sends after that.
	then int
}

func (p *pausing) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	sendEventsAfter(w, r, 1)
	select {
	case <-p.resume:
		r.Header.Set("Last", "1")
		sendEventsAfter(w, r, p.then)
		if p.then == streamEvents {
			return
		}
		<-r.Context().Done()
	case <-r.Context().Done():
	}
	close(p.left)
}

// replaceTest is a request in flight at a server that has sent one event and is silent, beside a
// spare server that could take it.
type replaceTest struct {
	*request
	first *pausing
	// asked is closed when the spare server has got the request.
	asked  chan struct{}
	body   *httptest.ResponseRecorder
	engine *fakeEngines
	// ended receives the outcome.
	ended chan *fault.Error
}

func newReplaceTest(t *testing.T, r route.Route, retries float64, spare http.HandlerFunc) *replaceTest {
	e := &fakeEngines{reportErrors: map[string]error{}}
	m, servers := newMonitor(e, 0)
	addServer(m, servers, fleet.Server{ID: "spare", Service: "assist", Address: "spare", Domain: "a", Accelerator: "card", First: 0, End: testLayers, StartedAt: time.Unix(1, 0)})
	job := m.addStream(servers, "r", 0).job
	job.Route, job.Deadline = &r, time.Now().Add(time.Minute)
	test := &replaceTest{first: &pausing{make(chan struct{}), make(chan struct{}), streamEvents}, asked: make(chan struct{}), body: httptest.NewRecorder(), engine: e, ended: make(chan *fault.Error, 1)}
	listeners := map[string]string{"first": listenAndServe(t, test.first), "spare": listenAndServe(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(test.asked)
		spare(w, r)
	}))}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, listeners[address])
	}
	log := slog.New(slog.DiscardHandler)
	out := &egress.Client{Codec: lastCodec{}, Pool: &conns.Pool{Dial: dial}, State: m.State, Limits: &limit.Tracker{Hosts: func() ([]string, bool) { return nil, true }, Log: log}, Pauses: &pause.Tracker{Log: log}, Broadcast: func() {}}
	f := &Forwarder{Codec: lastCodec{}, Servers: out, State: m.State, Load: m.Load, Monitor: m, Failures: &Failures{}, Limits: out.Limits, LocalDomain: "a", Log: log}
	budget := &retry.WindowBudget{MinRetries: func() float64 { return retries }, Window: time.Minute}
	test.request = &request{Forwarder: f, job: job, w: test.body, ctx: t.Context(), avoid: map[string]bool{}, verdict: fault.NotRun, budget: budget}
	first, middle := servers["first"], servers["middle"]
	go func() {
		test.ended <- test.attempt(router.Chain{{Server: &first, First: 0, End: 4}, {Server: &middle, First: 4, End: testLayers}})
	}()
	waitFor(t, func() bool {
		test.mu.Lock()
		defer test.mu.Unlock()
		return test.delivered.count == 1
	})
	return test
}

func listenAndServe(t *testing.T, h http.Handler) (address string) {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// replaceFirst seeks another attempt beside the first one, and returns why there is none.
func (r *replaceTest) replaceFirst() string {
	r.mu.Lock()
	a := r.inFlight[0]
	r.mu.Unlock()
	return a.tryReplace(replacement{cause: errSilent})
}

// Guards against an answer that is ended because its servers are silent, before another server has
// taken its request.
func TestAnswerStaysUntilAnotherAttemptGoesOn(t *testing.T) {
	twice := route.Route{Kind: route.Stream, Resumable: true, Attempts: 2, Target: time.Second, MaxGap: time.Second}
	once, notResumable := twice, twice
	once.Attempts, notResumable.Resumable = 1, false
	delivers := func(w http.ResponseWriter, r *http.Request) { sendEventsAfter(w, r, streamEvents) }
	refuses := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	fails := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	breaksOff := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	for _, test := range []struct {
		name       string
		route      route.Route
		retries    float64
		spare      http.HandlerFunc
		spareError error
		reason     string
		replaced   bool
	}{
		{"the other one goes on", twice, 1, delivers, nil, "", true},
		{"the other one refuses", twice, 1, refuses, nil, "", false},
		{"the other one fails", twice, 1, fails, nil, "", false},
		{"the other one breaks off", twice, 1, breaksOff, nil, "", false},
		{"the other one takes the request and is silent", twice, 1, silent, nil, "", false},
		{"the other one is silent", twice, 1, delivers, context.DeadlineExceeded, reasonSilent, false},
		{"the other one has exited", twice, 1, delivers, dialer.ErrExited, reasonSilent, false},
		{"no attempt is left", once, 1, delivers, nil, reasonAttempts, false},
		{"the retry budget is used up", twice, 0, delivers, nil, reasonBudget, false},
		{"the stream cannot be resumed", notResumable, 1, delivers, nil, reasonRoute, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			r := newReplaceTest(t, test.route, test.retries, test.spare)
			if test.spareError != nil {
				r.engine.reportErrors["spare"] = test.spareError
			}
			qt.Assert(t, r.replaceFirst(), qt.Equals, test.reason)
			if test.replaced {
				<-r.first.left
			} else {
				if test.reason == "" {
					<-r.asked
				}
				close(r.first.resume)
			}
			qt.Assert(t, <-r.ended == nil, qt.IsTrue)
			var want strings.Builder
			for n := 1; n <= streamEvents; n++ {
				want.WriteString(eventText(n))
			}
			qt.Assert(t, r.body.Body.String(), qt.Equals, want.String())
			qt.Assert(t, r.inFlight, qt.HasLen, 0)
			qt.Assert(t, r.Monitor.Load.Used("spare").Requests, qt.Equals, 0.0)
		})
	}
}

// Guards against a caller who loses the answer of an attempt that is in flight, because the
// process of the server of the other one has ended.
func TestAnswerOfOtherAttemptCountsWhenServerExits(t *testing.T) {
	twice := route.Route{Kind: route.Stream, Resumable: true, Attempts: 2, Target: time.Second, MaxGap: time.Second}
	var exited atomic.Bool
	r := newReplaceTest(t, twice, 1, func(w http.ResponseWriter, r *http.Request) {
		for !exited.Load() {
			time.Sleep(time.Millisecond)
		}
		sendEventsAfter(w, r, streamEvents)
	})
	qt.Assert(t, r.replaceFirst(), qt.Equals, "")
	<-r.asked
	r.mu.Lock()
	a := r.inFlight[0]
	r.mu.Unlock()
	a.cancel(errExited)
	<-a.done
	qt.Assert(t, errors.Is(a.err, errExited), qt.IsTrue)
	exited.Store(true)
	qt.Assert(t, <-r.ended == nil, qt.IsTrue)
	qt.Assert(t, strings.Count(r.body.Body.String(), "id:"), qt.Equals, streamEvents)
}
