package unary

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"fuchsiashelf.dev/entry/call"
	"fuchsiashelf.dev/entry/conns"
	"fuchsiashelf.dev/entry/egress"
	"fuchsiashelf.dev/entry/queue"
	"fuchsiashelf.dev/entry/state"
	"fuchsiashelf.dev/parts/domain"
	"fuchsiashelf.dev/parts/fault"
	"fuchsiashelf.dev/parts/fleet"
	"fuchsiashelf.dev/parts/limit"
	"fuchsiashelf.dev/parts/mirror"
	"fuchsiashelf.dev/parts/pause"
	"fuchsiashelf.dev/parts/poison"
	"fuchsiashelf.dev/parts/resv"
	"fuchsiashelf.dev/parts/retry"
	"fuchsiashelf.dev/parts/route"
	"fuchsiashelf.dev/parts/router"
	"fuchsiashelf.dev/parts/share"
	"fuchsiashelf.dev/parts/stall"
)

// step is what a server does after a wait with a call that has arrived.
type step struct {
	wait time.Duration
	// status is that of the response; zero means that the server closes the connection.
	status int
	// notRun says that the server refuses the call.
	notRun bool
	// pieces is the number of pieces in which the body is sent, one after each wait. The first has
	// the given size in bytes at least.
	pieces, size int
}

// testServers are the servers of a service, over connections without a network.
type testServers struct {
	// steps are what the servers do with the calls, in the order in which these arrive. The last one
	// applies to all later ones.
	steps []step
	// pausedUntil is when all servers go on that are paused before.
	pausedUntil time.Time
	// backlog is how much later a server answers all calls but its first.
	backlog time.Duration

	mu sync.Mutex
	// arrived counts the calls by their IDs, and at holds those by server. ended counts the calls
	// whose connections were closed before their responses.
	arrived map[string]int
	at      map[string]int
	total   int
	ended   int
	// endedAt is when a connection was last closed before its response.
	endedAt time.Time
}

// dial connects to a server.
func (s *testServers) dial(_ context.Context, _, address string) (net.Conn, error) {
	host, server := net.Pipe()
	go s.serve(address, server)
	return host, nil
}

// serve serves the call of a connection.
func (s *testServers) serve(address string, c net.Conn) {
	br := bufio.NewReader(c)
	r, err := http.ReadRequest(br)
	if err != nil {
		c.Close()
		return
	}
	id := r.Header.Get("Id")
	next := s.arrive(address, id)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = br.Peek(1)
	}()
	if !s.answer(c, next, id, closed) {
		s.mu.Lock()
		s.ended++
		s.endedAt = time.Now()
		s.mu.Unlock()
	}
	c.Close()
	<-closed
}

// arrive records a call and returns what the server does with it.
func (s *testServers) arrive(address, id string) step {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.total
	s.total++
	s.arrived[id]++
	s.at[address]++
	next := s.steps[min(n, len(s.steps)-1)]
	next.wait = max(next.wait, time.Until(s.pausedUntil))
	if s.at[address] > 1 {
		next.wait += s.backlog
	}
	return next
}

// answer writes a response. It reports false if the connection was closed before.
func (s *testServers) answer(c net.Conn, next step, id string, closed <-chan struct{}) bool {
	const piece = "piece of the answer\n"
	first := piece + strings.Repeat(".", max(0, next.size-len(piece)))
	length := min(1, next.pieces)*len(first) + max(0, next.pieces-1)*len(piece)
	header := fmt.Sprintf("HTTP/1.1 %d status\r\nId: %s\r\nConnection: close\r\nContent-Length: %d\r\n", next.status, id, length)
	if next.notRun {
		header += "Not-Run: 1\r\n"
	}
	if next.pieces > 0 {
		fmt.Fprintf(c, "%s\r\n", header)
	}
	for n := range max(1, next.pieces) {
		select {
		case <-closed:
			return false
		case <-time.After(next.wait):
		}
		switch {
		case next.pieces == 0:
		case n == 0:
			fmt.Fprint(c, first)
		default:
			fmt.Fprint(c, piece)
		}
	}
	if next.pieces == 0 && next.status > 0 {
		fmt.Fprintf(c, "%s\r\n", header)
	}
	return true
}

// testCodec is the wire format of testServers.
type testCodec struct{ call.Codec }

func (testCodec) NewRequest(req *call.Request, o call.SendOptions) *http.Request {
	return &http.Request{
		Method: req.Method, Host: "host", Header: http.Header{"Id": {req.ID}}, ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{Scheme: "http", Host: o.Server.Address, Path: "/"}, Body: http.NoBody,
	}
}

func (testCodec) ParseReply(r *http.Response) call.Reply {
	return call.Reply{Status: r.StatusCode, ID: r.Header.Get("Id"), NotRun: r.Header.Get("Not-Run") != ""}
}

func (testCodec) SetRetryAfter(h http.Header, after time.Duration) {
	h.Set("Retry-After", after.String())
}

// newSilenceForwarder returns a forwarder to a number of servers of a service.
func newSilenceForwarder(s *testServers, count int, minRetries float64) *Forwarder {
	s.arrived, s.at = map[string]int{}, map[string]int{}
	log, decoder, mirrored := slog.New(slog.DiscardHandler), simDecoder{}, &mirror.Mirror{Kind: "servers"}
	var items []mirror.Object
	for i := range count {
		id := fmt.Sprint("plain-", i)
		decoder[id] = fleet.Server{ID: id, Service: "booking", Address: id, Domain: "zone-0", Slots: simSlots, StartedAt: time.Unix(1, 0)}
		items = append(items, mirror.Object{Name: id, Revision: 1})
	}
	mirrored.Replace(items, mirror.Position{Revision: 1})
	local := &state.Local{Decoder: decoder, Log: log, Servers: mirrored}
	local.ReadServers(time.Now())
	limits, clock := &limit.Tracker{Self: "host-0", Log: log}, &stall.Clock{}
	budget := &retry.WindowBudget{MinRetries: func() float64 { return minRetries }, Window: 10 * time.Second}
	return &Forwarder{
		Codec: testCodec{}, State: local, Stats: &Stats{}, Limits: limits, LocalDomain: domain.Name("zone-0"), Clock: clock,
		Servers: &egress.Client{
			Codec: testCodec{}, Pool: &conns.Pool{Dial: s.dial, Clock: clock}, State: local, Limits: limits, Pauses: &pause.Tracker{Log: log},
			Broadcast: func() {},
		},
		Crashes: &poison.Detector{Log: log}, RetryBudget: func(string) *retry.WindowBudget { return budget },
		Probe:    func(*call.Job, *fleet.Server, bool, string) {},
		HasEnded: func(*fleet.Server) bool { return false },
	}
}

// newTestCall returns a call.
func newTestCall(id string, kind route.Kind, attempts int, timeout time.Duration) *call.Job {
	return &call.Job{
		Request: &call.Request{ID: id, Method: http.MethodGet, Arrived: time.Now()}, Route: &route.Route{Kind: kind, Target: simTarget, Attempts: attempts},
		Service: &route.Service{Name: "booking"}, Deadline: time.Now().Add(timeout),
	}
}

// serveCall forwards a call.
func serveCall(f *Forwarder, id string, kind route.Kind, attempts int, timeout time.Duration) (*httptest.ResponseRecorder, call.Outcome) {
	w := httptest.NewRecorder()
	return w, f.Serve(context.Background(), w, newTestCall(id, kind, attempts, timeout))
}

// Guards against answers that are lost because an attempt at a sound server which is silent for a
// moment was ended before another server had answered, and against calls that run too often.
func TestSilentServerIsKept(t *testing.T) {
	const silence, moment = time.Second, 20 * time.Millisecond
	ok, fails, refuses, ends := http.StatusOK, http.StatusInternalServerError, http.StatusServiceUnavailable, 0
	for _, test := range []struct {
		name     string
		servers  int
		steps    []step
		kind     route.Kind
		attempts int
		retries  float64
		status   int
		// runs is how often the call arrives at servers, and ended how many of these calls are ended.
		runs, ended int
		// took bounds the time until the answer.
		took time.Duration
	}{
		{"only server", 1, []step{{wait: silence, status: ok}}, route.Idempotent, 2, 9, ok, 1, 0, silence},
		{"both silent", 2, []step{{wait: silence, status: ok}, {wait: silence, status: ok}}, route.Idempotent, 2, 9, ok, 2, 1, silence},
		{"second answers", 2, []step{{wait: silence, status: ok}, {wait: moment, status: ok}}, route.Idempotent, 2, 9, ok, 2, 1, simTarget},
		{"second refuses", 2, []step{{wait: silence, status: ok}, {status: refuses, notRun: true}}, route.Idempotent, 2, 9, ok, 2, 0, silence},
		{"second fails", 2, []step{{wait: silence, status: ok}, {wait: moment, status: fails}}, route.Idempotent, 2, 9, ok, 2, 0, silence},
		{"second breaks off", 2, []step{{wait: silence, status: ok}, {wait: moment, status: ends}}, route.Idempotent, 2, 9, ok, 2, 0, silence},
		{"first breaks off", 2, []step{{wait: simTarget, status: ends}, {wait: silence, status: ok}}, route.Idempotent, 2, 9, ok, 2, 0, simTarget + silence},
		{"first fails", 2, []step{{wait: simTarget, status: fails}, {wait: silence, status: ok}}, route.Idempotent, 2, 9, ok, 2, 0, simTarget + silence},
		{"both fail", 2, []step{{wait: simTarget, status: fails}, {wait: moment, status: ends}}, route.Idempotent, 2, 9, fails, 2, 0, simTarget},
		{"both break off", 2, []step{{wait: simTarget, status: ends}, {wait: moment, status: ends}}, route.Idempotent, 2, 9, http.StatusBadGateway, 2, 0, simTarget},
		{"no budget", 2, []step{{wait: silence, status: ok}}, route.Idempotent, 2, 0, ok, 1, 0, silence},
		{"no attempt left", 2, []step{{wait: silence, status: ok}}, route.Idempotent, 1, 9, ok, 1, 0, silence},
		{"third answers", 3, []step{{wait: silence, status: ok}, {status: refuses, notRun: true}, {wait: moment, status: ok}}, route.Idempotent, 3, 9, ok, 3, 1, simTarget},
		{"attempts used up", 3, []step{{wait: silence, status: ok}, {status: refuses, notRun: true}, {wait: moment, status: ok}}, route.Idempotent, 2, 9, ok, 2, 0, silence},
		{"at most once", 2, []step{{wait: silence, status: ok}}, route.AtMostOnce, 2, 9, ok, 1, 0, silence},
		{"response in progress", 2, []step{{wait: simTarget / 2, status: ok, pieces: 5}}, route.Idempotent, 2, 9, ok, 1, 0, 5 * simTarget / 2},
		{"response stops", 2, []step{{wait: silence, status: ok, pieces: 2}, {wait: moment, status: ok}}, route.Idempotent, 2, 9, ok, 2, 1, simTarget},
		{"large response", 2, []step{{wait: silence, status: ok}, {wait: moment, status: ok, pieces: 5, size: 3 << 20}}, route.Idempotent, 2, 9, ok, 2, 1, simTarget},
		{"no answer in time", 2, []step{{wait: time.Minute, status: ok}}, route.Idempotent, 2, 9, http.StatusGatewayTimeout, 2, 2, 3 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &testServers{steps: test.steps}
				f := newSilenceForwarder(s, test.servers, test.retries)
				start := time.Now()
				w, out := serveCall(f, "call", test.kind, test.attempts, 3*time.Second)
				took := time.Since(start)
				synctest.Wait()
				qt.Check(t, w.Code, qt.Equals, test.status, qt.Commentf("%s", w.Body))
				qt.Check(t, took <= test.took, qt.IsTrue, qt.Commentf("%s", took))
				qt.Check(t, s.arrived["call"], qt.Equals, test.runs)
				qt.Check(t, out.Sends, qt.Equals, test.runs)
				qt.Check(t, s.ended, qt.Equals, test.ended)
				for id, server := range f.Stats.servers {
					qt.Check(t, server.inFlight, qt.Equals, 0, qt.Commentf("%s", id))
				}
			})
		})
	}
}

// Guards against load that doubles because all servers are silent at the same time, or have a backlog
// after that.
func TestCallsAreNotDoubledWhenAllServersAreSilent(t *testing.T) {
	for _, backlog := range []time.Duration{0, 200 * time.Millisecond} {
		t.Run(fmt.Sprint("backlog ", backlog), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const calls, interval, silence = 30, 10 * time.Millisecond, 1005 * time.Millisecond
				s := &testServers{steps: []step{{status: http.StatusOK}}, pausedUntil: time.Now().Add(silence), backlog: backlog}
				f := newSilenceForwarder(s, 3, calls)
				var callers sync.WaitGroup
				for n := range calls {
					callers.Go(func() {
						w, _ := serveCall(f, fmt.Sprint(n), route.Idempotent, 2, 3*time.Second)
						qt.Check(t, w.Code, qt.Equals, http.StatusOK, qt.Commentf("%s", w.Body))
					})
					time.Sleep(interval)
				}
				callers.Wait()
				synctest.Wait()
				qt.Check(t, s.total, qt.Equals, calls)
			})
		})
	}
}

// Guards against a second attempt at a server that is suspected, and against one of a call that may
// be why two servers do not answer.
func TestSilentServerIsOnlyOne(t *testing.T) {
	for name, prepare := range map[string]func(f *Forwarder, j *call.Job){
		"the other is suspected": func(f *Forwarder, _ *call.Job) {
			f.State.Suspect("plain-1", time.Now().Add(time.Hour), time.Now())
		},
		"another has failed": func(_ *Forwarder, j *call.Job) { j.Unanswered.Store(call.MaxUnanswered - 1) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &testServers{steps: []step{{wait: time.Second, status: http.StatusOK}}}
				f, j := newSilenceForwarder(s, 2, 9), newTestCall("call", route.Idempotent, 2, 3*time.Second)
				prepare(f, j)
				w := httptest.NewRecorder()
				f.Serve(t.Context(), w, j)
				synctest.Wait()
				qt.Check(t, w.Code, qt.Equals, http.StatusOK)
				qt.Check(t, s.total, qt.Equals, 1)
			})
		})
	}
}

// Guards against servers that go on with a call while the response of another one is written.
func TestReplacedAttemptIsEndedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &testServers{steps: []step{{wait: time.Minute}, {wait: 20 * time.Millisecond, status: http.StatusOK, pieces: 50, size: 3 << 20}}}
		start := time.Now()
		w, _ := serveCall(newSilenceForwarder(s, 2, 9), "call", route.Idempotent, 2, 3*time.Second)
		synctest.Wait()
		qt.Check(t, w.Code, qt.Equals, http.StatusOK)
		qt.Check(t, s.endedAt.Sub(start) < simTarget, qt.IsTrue, qt.Commentf("%s", s.endedAt.Sub(start)))
		qt.Check(t, time.Since(start) > simTarget, qt.IsTrue)
	})
}

// Guards against calls that are charged with crashes of servers which are only silent, against servers
// that are not probed as soon as they are silent, and against ends that an operator cannot explain.
func TestSilenceIsProbedAndCounted(t *testing.T) {
	const silence, moment = time.Second, 20 * time.Millisecond
	ok := http.StatusOK
	for _, test := range []struct {
		name  string
		steps []step
		// probes are when servers are probed, and whether the call may be the cause.
		probes []string
		causes []call.Ending
	}{
		{"second answers", []step{{wait: silence, status: ok}, {wait: moment, status: ok}}, []string{"300ms false"}, []call.Ending{call.EndedSilent}},
		{"first answers", []step{{wait: silence, status: ok}, {wait: moment}}, []string{"300ms false", "320ms true"}, nil},
		{"both break off", []step{{wait: silence}, {wait: moment}}, []string{"300ms false", "320ms true", "1s true"}, []call.Ending{call.EndedBroken}},
		{"refused", []step{{wait: silence}, {status: http.StatusServiceUnavailable, notRun: true}}, []string{"300ms false", "1s true"}, []call.Ending{call.EndedBroken}},
		{"late", []step{{wait: time.Minute}}, []string{"300ms false"}, []call.Ending{call.EndedDeadline}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSilenceForwarder(&testServers{steps: test.steps}, 2, 9)
				start := time.Now()
				var probes []string
				var causes []call.Ending
				f.Probe = func(j *call.Job, _ *fleet.Server, mayBeCause bool, _ string) {
					probes = append(probes, fmt.Sprint(time.Since(start), " ", mayBeCause))
					if mayBeCause {
						j.Unanswered.Add(1)
					}
				}
				f.Ended = func(c call.Ending) { causes = append(causes, c) }
				serveCall(f, "call", route.Idempotent, 2, 3*time.Second)
				qt.Check(t, probes, qt.DeepEquals, test.probes)
				qt.Check(t, causes, qt.DeepEquals, test.causes)
			})
		})
	}
}

// Guards against capacity of a service with few slots that is not freed after two attempts at once,
// and against second attempts that take it before calls which wait for their first.
func TestSilentServerOfSmallService(t *testing.T) {
	for _, waiting := range []bool{false, true} {
		t.Run(fmt.Sprint("others wait ", waiting), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const silence, hosts = time.Second, 100
				s := &testServers{steps: []step{{wait: silence, status: http.StatusOK}, {status: http.StatusOK}}}
				f := newSilenceForwarder(s, 2, 9)
				log := slog.New(slog.DiscardHandler)
				shares := &share.Tracker{Self: "host-0", Alive: func() map[domain.Name]int { return nil }, Log: log}
				f.Slots = &Slots{
					Queue: &queue.Admission{Shares: shares, Book: &resv.Book{Log: log}, Log: log}, State: f.State, Load: &router.LoadTracker{}, Log: log,
					Hosts: func() (int, int) { return hosts, hosts },
				}
				f.Slots.service("booking")
				f.Slots.Sweep(time.Now())
				qt.Assert(t, f.Slots.service("booking"), qt.IsNotNil)
				ctx, leave := context.WithCancel(t.Context())
				if waiting {
					time.AfterFunc(100*time.Millisecond, func() {
						_, _ = f.Slots.Queue.Enter(ctx, queue.Request{
							Class: share.Class{Service: "booking"}, Cost: 1, MaxWait: time.Minute, Deadline: time.Now().Add(time.Hour),
						}, func(float64) (bool, *fault.Error) { return false, nil })
					})
				}
				w, out := serveCall(f, "call", route.Idempotent, 2, 3*time.Second)
				leave()
				time.Sleep(time.Second)
				qt.Check(t, w.Code, qt.Equals, http.StatusOK)
				runs := 2
				if waiting {
					runs = 1
				}
				qt.Check(t, out.Sends, qt.Equals, runs)
				qt.Check(t, s.arrived["call"], qt.Equals, runs)
				for _, row := range shares.Rows(time.Now()) {
					qt.Check(t, row.Running, qt.Equals, float64(0))
				}
			})
		})
	}
}
