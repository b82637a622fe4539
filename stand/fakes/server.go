package fakes

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// readHeaderTimeout is the limit for reading a request's header.
const readHeaderTimeout = 5 * time.Second

// CrashBody crashes each server that runs a request whose body contains it.
const CrashBody = "crash"

// Model describes the model that an engine runs.
type Model struct {
	Layers  int
	LayerMB float64
}

// Server is a backend server. Set the exported fields before
// Platform.AddServer.
type Server struct {
	ID, Service, Zone string
	Slots             int
	// Queue is the number of calls that wait for a slot of a plain server, which refuses more; zero
	// means that any number is run at once.
	Queue int
	// Model is nil for a plain service.
	Model *Model
	// Kind is the kind of accelerator, MemoryMB its memory.
	Kind     string
	MemoryMB float64
	// StepTime is the time between two events.
	StepTime time.Duration
	// LoadTime is how long loading newly assigned layers takes.
	LoadTime time.Duration
	// RestartTime is how long after a crash by a bad part the server is back, under another ID; zero
	// means that it stays down.
	RestartTime time.Duration
	// OnCrash is called when a bad part has crashed the server, and OnRestart when another one has
	// replaced it; nil means not.
	OnCrash   func()
	OnRestart func(next *Server)
	// Proxy starts a proxy in front of the server's address and returns the
	// address to register; nil means no proxy.
	Proxy func(address string) (string, error)

	platform *Platform
	// address is registered, and listen the address at which the server listens.
	address, listen string
	stop            func()

	mu         sync.Mutex
	first, end int
	// nextFirst and nextEnd are the layers that the server is to hold, while it loads.
	nextFirst, nextEnd int
	orderCount         uint64
	loading            bool
	draining           bool
	crashed            bool
	stalled            map[string]string
	chainUpdates       map[string]chan []stage
	dropNext           int
	// floodNext is how many requests the server answers with bytes without end, in floodPart of the
	// response, floods the number of such responses in progress, and flooded their bytes.
	floodNext, floods int
	floodPart         FloodPart
	flooded           int
	refuseNext        int
	failNext          int
	// frozenUntil is until when the server is silent.
	frozenUntil time.Time
	// closeEvery is after how many responses a connection is closed, zero for never, and
	// responses counts them.
	closeEvery, responses int
	truncateAfter         int
	// writes counts the writes of the server's entry.
	writes int
	// limit is nil if the server names none.
	limit *rateLimit
	// bornMs is the start time in Unix milliseconds.
	bornMs int64
	// callTime is how long a call takes.
	callTime time.Duration
	// inside is the number of calls that run and wait, and arrivals and turnedAway count those that
	// arrived and that were refused for lack of a slot.
	inside, arrivals, turnedAway int
	// slots holds a value for each call that runs.
	slots chan struct{}
	// bodySize is the least size of the body of a response to a call and of an error.
	bodySize int
	// pause is what the server asks for in its next responses, pauseWindows what it has
	// asked for, pausesAsked how often, and pausesBroken how many requests arrived then.
	pause                     pauseRequest
	pauseWindows              []*pauseWindow
	pausesAsked, pausesBroken int
	// saysLeaving says that all responses tell that the server leaves, toldLeaving when
	// each entry host got the first of them.
	saysLeaving bool
	toldLeaving map[Host]time.Time
	// leavingIgnored says that a violation of that was recorded.
	leavingIgnored bool
}

// Address returns the address that the server is registered under.
func (s *Server) Address() string { return s.address }

// Layers returns the layers that the server holds.
func (s *Server) Layers() (first, end int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.first, s.end
}

// Crash stops the server at once; its entry stays in the store.
func (s *Server) Crash() {
	s.mu.Lock()
	alreadyCrashed := s.crashed
	s.crashed = true
	s.mu.Unlock()
	if !alreadyCrashed {
		s.stop()
	}
}

// Crashed reports whether the server has crashed.
func (s *Server) Crashed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashed
}

// Drain registers the server as draining.
func (s *Server) Drain() error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	return s.register()
}

// DropResponses makes the server run the next n requests and close their
// connections without a response.
func (s *Server) DropResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropNext = n
}

// RefuseNext makes the server refuse the next n requests without running them.
func (s *Server) RefuseNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuseNext = n
}

// TruncateAfter makes the server close the connection of its next longer stream
// after the given number of events, in the middle of the event that follows. Zero
// disables this.
func (s *Server) TruncateAfter(events int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.truncateAfter = events
}

// FailNext makes the server answer the next n requests with 500.
func (s *Server) FailNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failNext = n
}

// Freeze makes the server silent for a while, after which it goes on where it was.
func (s *Server) Freeze(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozenUntil = time.Now().Add(d)
}

// frozenFor returns how long the server is still silent.
func (s *Server) frozenFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(0, time.Until(s.frozenUntil))
}

// waitFrozen waits while the server is silent.
func (s *Server) waitFrozen() { time.Sleep(s.frozenFor()) }

// CloseEvery makes the server close the connection after every n-th response to a request,
// which says so.
func (s *Server) CloseEvery(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeEvery = n
}

// sayClose sets the header of a response after which the connection is closed.
func (s *Server) sayClose(header http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responses++
	if s.closeEvery > 0 && s.responses%s.closeEvery == 0 {
		header.Set("Connection", "close")
	}
}

// SetCallTime sets how long the calls of a plain server take.
func (s *Server) SetCallTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callTime = d
}

// SetBodySize makes the body of each response to a call, and of each error of FailNext, at
// least as large as the given number of bytes.
func (s *Server) SetBodySize(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bodySize = n
}

// filler fills bodies up. It is written in pieces, so that a large body begins at once.
var filler = bytes.Repeat([]byte("."), 64<<10)

// writeBody writes a body and fills it up to the size that SetBodySize gave.
func (s *Server) writeBody(w io.Writer, text string) {
	s.mu.Lock()
	missing := s.bodySize - len(text)
	s.mu.Unlock()
	_, err := io.WriteString(w, text)
	for missing > 0 && err == nil {
		var n int
		n, err = w.Write(filler[:min(missing, len(filler))])
		missing -= n
	}
	// The client may have left, which is no error here.
}

// writeCall writes the response to a call, in two pieces.
func (s *Server) writeCall(w http.ResponseWriter, text string) {
	ending := s.platform.takeEnding(w.Header())
	if s.endsEarly(w, ending, 1, 2) {
		return
	}
	if ending == Framed {
		s.writeBody(w, text)
		return
	}
	s.writeBody(w, text[:len(text)/2])
	if !s.endsEarly(w, ending, 2, 2) {
		s.writeBody(w, text[len(text)/2:])
	}
}

// waitCall waits until a call has taken its time, or its client has closed the
// connection.
func (s *Server) waitCall(ctx context.Context) {
	s.mu.Lock()
	callTime := s.callTime
	s.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(callTime):
	}
	s.waitFrozen()
}

// Register writes the server's current state into the store again, as a heartbeat
// does.
func (s *Server) Register() error {
	return s.register()
}

// register writes the server's current state into the store.
func (s *Server) register() error {
	s.mu.Lock()
	s.writes++
	record := map[string]any{
		"service": s.Service, "address": s.address, "zone": s.Zone, "version": "v1", "slots": s.Slots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": s.writes, "born": s.bornMs,
	}
	if s.draining {
		record["state"] = "draining"
	}
	if s.Model != nil {
		record["kind"] = s.Kind
		record["layers"] = layerRange{s.first, s.end, 1}
	}
	s.mu.Unlock()
	return s.platform.Store.Put("servers", s.ID, record)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if id := req.Header.Get("X-Attempt-Id"); id != "" {
		s.platform.recordPassed(id, s.address)
		defer s.platform.beginWork(id)()
	}
	s.waitFrozen()
	now, host := time.Now(), hostOf(req)
	control := req.URL.Path == "/report" || req.URL.Path == "/order"
	s.countPaused(host, now)
	s.sayLeaving(w.Header(), host, control, now)
	if control && s.refusePaused(w, host, control, now) {
		return
	}
	switch {
	case req.URL.Path == "/report":
		s.serveReport(w)
	case req.URL.Path == "/order":
		s.serveOrder(w, req)
	case req.URL.Path == "/health":
		w.Header().Set("X-Instance-Id", s.ID)
	default:
		s.serveRequest(w, req)
	}
}

// serveRequest serves a request that an entry host forwards.
func (s *Server) serveRequest(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	s.sayClose(w.Header())
	if rate, limited := s.countArrival(time.Now()); limited {
		w.Header().Set("Server-Limit", rate)
	}
	if expect := req.Header.Get("X-Expect-Instance"); expect != "" && expect != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.refusePaused(w, hostOf(req), false, time.Now()) {
		return
	}
	if s.consume(&s.refuseNext) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	if s.Model != nil && s.refuseChain(w, req.Header.Get("X-Hop-Count")) {
		return
	}
	if !s.enter() {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	s.platform.recordBadParts(req, func(b *BadPart) { b.Arrivals = append(b.Arrivals, time.Now()) })
	s.platform.recordExecution(Execution{
		Request: id, Server: s.ID, Service: s.Service, Team: req.Header.Get("X-Tenant"),
		Resumed: req.Header.Get("Last-Event-Id"), Chain: req.Header.Get("X-Hop-Count"),
	})
	s.run(w, req, id, body)
}

// run runs a request that the server has taken.
func (s *Server) run(w http.ResponseWriter, req *http.Request, id string, body []byte) {
	if strings.Contains(string(body), CrashBody) {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	if s.consume(&s.dropNext) {
		s.platform.recordBrokenOff(id)
		panic(http.ErrAbortHandler)
	}
	if s.flood(w) {
		s.platform.recordBrokenOff(id)
		return
	}
	w.Header().Set("X-Server-Signature", "sig-"+id)
	if s.consume(&s.failNext) {
		w.WriteHeader(http.StatusInternalServerError)
		s.writeBody(w, "")
		return
	}
	if s.Model == nil {
		s.waitCall(req.Context())
		s.writeCall(w, fmt.Sprintf("%s %s %d bytes for %s\n", req.Method, req.RequestURI, len(body), id))
		return
	}
	s.serveStream(w, req, id)
}

// consume decrements *n and reports true, or reports false if it is zero.
func (s *Server) consume(n *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *n <= 0 {
		return false
	}
	*n--
	return true
}
