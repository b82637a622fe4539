package front

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/poison"
	"fuchsiashelf.dev/parts/route"
)

// Guards against callers who are held for longer than a configuration may take, or so long that
// they have no time left, and against more held requests than the bound.
func TestHoldTime(t *testing.T) {
	const introduction = 500 * time.Millisecond
	for _, c := range []struct {
		arrival arrival
		want    time.Duration
	}{
		{arrival{}, time.Second},
		{arrival{age: 300 * time.Millisecond, timeout: time.Minute}, 700 * time.Millisecond},
		{arrival{age: 900 * time.Millisecond}, 100 * time.Millisecond},
		{arrival{age: time.Second}, 0},
		{arrival{age: time.Hour}, 0},
		{arrival{timeout: 600 * time.Millisecond}, 200 * time.Millisecond},
		{arrival{held: 63}, time.Second},
		{arrival{held: 64}, 0},
	} {
		qt.Check(t, holdTime(c.arrival, introduction), qt.Equals, c.want, qt.Commentf("%+v", c.arrival))
	}
	qt.Check(t, holdTime(arrival{}, time.Minute), qt.Equals, time.Second)
}

// Guards against callers who are told to come back before the introduction ends, or at once when
// the configuration is late.
func TestHoldRetryAfter(t *testing.T) {
	const introduction = 500 * time.Millisecond
	qt.Check(t, holdRetryAfter(100*time.Millisecond, introduction, 0), qt.Equals, 400*time.Millisecond)
	qt.Check(t, holdRetryAfter(100*time.Millisecond, introduction, 0.5), qt.Equals, 650*time.Millisecond)
	qt.Check(t, holdRetryAfter(introduction, introduction, 0), qt.Equals, introduction)
	qt.Check(t, holdRetryAfter(time.Minute, introduction, 0.5), qt.Equals, 750*time.Millisecond)
}

// Guards against the requests of all hosts of a domain that meet at the same servers at the same
// time, because the hosts started together.
func TestHeldRequestsGoOnOneAfterAnother(t *testing.T) {
	qt.Check(t, releaseDelay(0, 0), qt.Equals, time.Duration(0))
	qt.Check(t, releaseDelay(10, time.Minute), qt.Equals, 10*releaseInterval)
	qt.Check(t, releaseDelay(maxHeld, 0), qt.Equals, maxReleaseTime)
	qt.Check(t, releaseDelay(maxHeld, 300*time.Millisecond), qt.Equals, 100*time.Millisecond)
	synctest.Test(t, func(t *testing.T) {
		h, forwarder := newHeldHandler()
		start := time.Now()
		var held []<-chan *httptest.ResponseRecorder
		for range 5 {
			held = append(held, serve(t.Context(), h, "6s"))
		}
		synctest.Wait()
		h.State.MergeConfig([]byte{1})
		for _, ended := range held {
			qt.Assert(t, (<-ended).Code, qt.Equals, http.StatusOK)
		}
		qt.Assert(t, time.Since(start), qt.Equals, 4*releaseInterval)
		qt.Assert(t, forwarder.jobs, qt.HasLen, 5)
	})
}

// testCodec reads the timeout of a request from its header.
type testCodec struct{ call.Codec }

func (testCodec) ParseRequest(r *http.Request) (*call.Request, error) {
	timeout, _ := time.ParseDuration(r.Header.Get("Timeout"))
	return &call.Request{ID: "r", Method: r.Method, Path: r.URL.Path, Timeout: timeout}, nil
}

func (testCodec) RequestID(*http.Request) string { return "r" }

func (testCodec) SetRetryAfter(h http.Header, after time.Duration) {
	h.Set("Retry-After", after.String())
}

// testDecoder returns a configuration whose only route leads to a plain service.
type testDecoder struct{}

func (testDecoder) Table([]byte) (*route.Table, error) {
	return &route.Table{
		Version: 1, Routes: []route.Route{{Name: "look", Prefix: "/", Public: true, Shares: []route.Share{{Service: "booking", Weight: 1}}}},
		Services: map[string]route.Service{"booking": {Name: "booking"}},
	}, nil
}

func (testDecoder) Server(string, []byte) (fleet.Server, error) {
	return fleet.Server{}, errors.New("no servers")
}

// testForwarder records the jobs that it gets.
type testForwarder struct {
	mu   sync.Mutex
	jobs []*call.Job
}

func (f *testForwarder) Serve(_ context.Context, w http.ResponseWriter, j *call.Job) call.Outcome {
	f.mu.Lock()
	f.jobs = append(f.jobs, j)
	f.mu.Unlock()
	w.WriteHeader(http.StatusOK)
	return call.Outcome{Status: http.StatusOK}
}

// newHeldHandler returns a handler that has no configuration yet.
func newHeldHandler() (*Handler, *testForwarder) {
	log, meter, forwarder := slog.New(slog.DiscardHandler), &Meter{Registry: metrics.NewRegistry()}, &testForwarder{}
	return &Handler{
		Codec: testCodec{}, State: &state.Local{Decoder: testDecoder{}, Log: log}, Plain: forwarder, Log: log, Meter: meter,
		Crashes: &poison.Detector{Log: log}, RetryAfter: func() time.Duration { return time.Minute },
		Hold: &Hold{Introduction: 500 * time.Millisecond, Started: time.Now(), Log: log, Meter: meter},
	}, forwarder
}

// serve starts a request and returns its response once the request has ended.
func serve(ctx context.Context, h *Handler, timeout string) (ended <-chan *httptest.ResponseRecorder) {
	done := make(chan *httptest.ResponseRecorder, 1)
	go func() {
		r := httptest.NewRequestWithContext(ctx, http.MethodGet, "/look/1", nil)
		r.Header.Set("Timeout", timeout)
		w := httptest.NewRecorder()
		defer func() {
			// The HTTP server recovers from this panic as well.
			if cause := recover(); cause != nil && cause != http.ErrAbortHandler {
				panic(cause)
			}
			done <- w
		}()
		h.ServeHTTP(w, r)
	}()
	return done
}

// counter returns the value of a counter.
func counter(m *Meter, name string) int64 {
	return metrics.GetOrRegisterCounter(name, m.Registry).Count()
}

// Guards against requests that are refused, or get more time than their callers wait, because they
// came before the first configuration.
func TestHeldRequestIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, forwarder := newHeldHandler()
		arrived := time.Now()
		ended := serve(t.Context(), h, "6s")
		time.Sleep(450 * time.Millisecond)
		h.State.MergeConfig([]byte{1})
		qt.Assert(t, (<-ended).Code, qt.Equals, http.StatusOK)
		qt.Assert(t, time.Since(arrived), qt.Equals, 450*time.Millisecond)
		qt.Assert(t, forwarder.jobs[0].Deadline, qt.Equals, arrived.Add(6*time.Second))
		qt.Assert(t, forwarder.jobs[0].Arrived, qt.Equals, arrived)
		qt.Assert(t, counter(h.Meter, "front.held"), qt.Equals, int64(1))
		qt.Assert(t, counter(h.Meter, "front.held.refused"), qt.Equals, int64(0))
	})
}

// Guards against callers who wait for a configuration that does not come, and against holding more
// requests than the bound.
func TestHeldRequestsAreRefusedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, forwarder := newHeldHandler()
		start := time.Now()
		var held []<-chan *httptest.ResponseRecorder
		for range maxHeld {
			held = append(held, serve(t.Context(), h, "1m"))
		}
		synctest.Wait()
		w := <-serve(t.Context(), h, "1m")
		qt.Assert(t, time.Since(start), qt.Equals, time.Duration(0))
		checkRefused(t, w, h.Hold.Introduction)
		for _, ended := range held {
			checkRefused(t, <-ended, h.Hold.Introduction)
		}
		qt.Assert(t, time.Since(start), qt.Equals, time.Second)
		checkRefused(t, <-serve(t.Context(), h, "1m"), h.Hold.Introduction)
		qt.Assert(t, time.Since(start), qt.Equals, time.Second)
		qt.Assert(t, counter(h.Meter, "front.held.refused"), qt.Equals, int64(maxHeld+2))
		qt.Assert(t, forwarder.jobs, qt.HasLen, 0)
	})
}

// checkRefused checks that a response is a refusal, with the least Retry-After or up to
// holdRetrySpread more.
func checkRefused(t *testing.T, w *httptest.ResponseRecorder, least time.Duration) {
	t.Helper()
	qt.Assert(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
	after, err := time.ParseDuration(w.Header().Get("Retry-After"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, after >= least && after < least+holdRetrySpread, qt.IsTrue, qt.Commentf("%v", after))
}

// Guards against a stop that waits for requests which cannot be served any more.
func TestStopRefusesHeldRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := newHeldHandler()
		start := time.Now()
		ended := serve(t.Context(), h, "1m")
		synctest.Wait()
		h.Hold.Stop()
		h.Hold.Stop()
		for _, w := range []*httptest.ResponseRecorder{<-ended, <-serve(t.Context(), h, "1m")} {
			qt.Assert(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
			qt.Assert(t, w.Header().Get("Retry-After"), qt.Equals, "1m0s")
		}
		qt.Assert(t, time.Since(start), qt.Equals, time.Duration(0))
	})
}

// Guards against a stop that waits for the turns of held requests, or refuses them although the
// configuration is in force.
func TestStopReleasesHeldRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := newHeldHandler()
		start := time.Now()
		var held []<-chan *httptest.ResponseRecorder
		for range 5 {
			held = append(held, serve(t.Context(), h, "1m"))
		}
		synctest.Wait()
		h.State.MergeConfig([]byte{1})
		synctest.Wait()
		h.Hold.Stop()
		for _, ended := range held {
			qt.Assert(t, (<-ended).Code, qt.Equals, http.StatusOK)
		}
		qt.Assert(t, time.Since(start), qt.Equals, time.Duration(0))
	})
}

// Guards against places that are taken by callers who have left.
func TestHeldRequestEndsWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := newHeldHandler()
		start := time.Now()
		ctx, leave := context.WithCancel(t.Context())
		ended := serve(ctx, h, "1m")
		synctest.Wait()
		leave()
		<-ended
		qt.Assert(t, time.Since(start), qt.Equals, time.Duration(0))
		qt.Assert(t, counter(h.Meter, "requests."+string(fault.Cancelled)), qt.Equals, int64(1))
	})
}

// Guards against callers who left while their bodies were unread: net/http does not notice that.
func TestHeldRequestWithBodyEndsWithItsCaller(t *testing.T) {
	h, _ := newHeldHandler()
	address := startServer(t, &Server{Handler: h})
	ctx, leave := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, strings.NewReader("body"))
	qt.Assert(t, err, qt.IsNil)
	ended := make(chan error, 1)
	go func() {
		resp, err := http.DefaultClient.Do(r)
		if err == nil {
			resp.Body.Close()
		}
		ended <- err
	}()
	awaitCounter(h.Meter, "front.held", 1)
	leave()
	qt.Assert(t, <-ended, qt.ErrorIs, context.Canceled)
	awaitCounter(h.Meter, "requests."+string(fault.Cancelled), 1)
	qt.Assert(t, counter(h.Meter, "front.held.refused"), qt.Equals, int64(0))
}

// awaitCounter waits until a counter has a value; the test times out otherwise.
func awaitCounter(m *Meter, name string, value int64) {
	for counter(m, name) < value {
		time.Sleep(time.Millisecond)
	}
}

// Guards against bodies that lose what was read of them while their requests were held, and against
// refusals that wait for a body that its caller does not send.
func TestBodyOfHeldRequest(t *testing.T) {
	h, forwarder := newHeldHandler()
	address := startServer(t, &Server{Handler: h})
	body := strings.Repeat("0123456789abcdef", 2*maxEarlyBody/16)
	go func() {
		awaitCounter(h.Meter, "front.held", 1)
		h.State.MergeConfig([]byte{1})
	}()
	resp, err := http.Post("http://"+address, "text/plain", strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusOK)
	qt.Assert(t, string(forwarder.jobs[0].Body) == body, qt.IsTrue)

	refusing, _ := newHeldHandler()
	address = startServer(t, &Server{Handler: refusing})
	sent, unsent := io.Pipe()
	defer unsent.Close()
	resp, err = http.Post("http://"+address, "text/plain", sent)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
}
