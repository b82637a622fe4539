package plat

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// headerTime bounds the reading of a header.
const headerTime = 5 * time.Second

// Crasher in the body of a request crashes each server that runs it.
const Crasher = "crash"

// Model is what an engine runs.
type Model struct {
	Layers  int
	LayerMB float64
}

// Runner is a backend server. Set the exported fields before World.Add.
type Runner struct {
	ID, Service, Zone string
	Slots             int
	// Model is nil for a plain service.
	Model *Model
	// Kind is that of the accelerator, MemoryMB its memory.
	Kind     string
	MemoryMB float64
	// Step is the time between two events.
	Step time.Duration
	// LoadTime is how long an order takes.
	LoadTime time.Duration
	// Front puts something in front of the server's address, for example a
	// proxy, and returns the address that others see; nil for nothing.
	Front func(address string) (string, error)

	world   *World
	address string
	stop    func()

	mu         sync.Mutex
	first, end int
	orders     uint64
	busy       bool
	draining   bool
	gone       bool
	stalled    map[string]string
	chains     map[string]chan []part
	loseAnswer int
	refuse     int
	fail       int
	cutAfter   int
}

// Address is where the server listens.
func (r *Runner) Address() string { return r.address }

// Layers returns the layers that the server holds.
func (r *Runner) Layers() (first, end int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.first, r.end
}

// Crash ends the server without a word; its entry stays.
func (r *Runner) Crash() {
	r.mu.Lock()
	gone := r.gone
	r.gone = true
	r.mu.Unlock()
	if !gone {
		r.stop()
	}
}

func (r *Runner) dead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gone
}

// Drain makes the server say that it is leaving.
func (r *Runner) Drain() error {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	return r.beat()
}

// LoseAnswers makes the server run the next requests and close their
// connections without an answer.
func (r *Runner) LoseAnswers(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loseAnswer = n
}

// Refuse makes the server refuse the next requests.
func (r *Runner) Refuse(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuse = n
}

// CutAfter makes the server break its next stream off in the midst of the
// event after the given number.
func (r *Runner) CutAfter(events int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutAfter = events
}

// Fail makes the server answer the next requests with 500.
func (r *Runner) Fail(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fail = n
}

type layersBody struct {
	First   int `json:"from"`
	End     int `json:"target"`
	Version int `json:"version"`
}

// beat writes the server's entry.
func (r *Runner) beat() error {
	r.mu.Lock()
	entry := map[string]any{
		"service": r.Service, "address": r.address, "zone": r.Zone, "version": "v1", "slots": r.Slots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": 1_700_000_000_000,
	}
	if r.draining {
		entry["state"] = "draining"
	}
	if r.Model != nil {
		entry["kind"] = r.Kind
		entry["layers"] = layersBody{r.first, r.end, 1}
	}
	r.mu.Unlock()
	return r.world.Store.Put("servers", r.ID, entry)
}

// ServeHTTP implements http.Handler.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	switch {
	case req.URL.Path == "/report":
		r.report(w)
	case req.URL.Path == "/order":
		r.order(w, req)
	case req.URL.Path == "/health":
		w.Header().Set("X-Instance-Id", r.ID)
	default:
		r.request(w, req)
	}
}

func (r *Runner) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	type stalled struct {
		ID      string `json:"id"`
		Address string `json:"address"`
	}
	list := []stalled{}
	for id, address := range r.stalled {
		list = append(list, stalled{id, address})
	}
	answer(w, map[string]any{
		"stage": "both", "busy": r.busy, "sequence": r.orders, "born": 1_700_000_000_000,
		"layers": layersBody{r.first, r.end, 1}, "stalled": list,
	})
}

// order takes an order to hold layers or to change a chain.
func (r *Runner) order(w http.ResponseWriter, req *http.Request) {
	var o struct {
		Operation string  `json:"operation"`
		First     int     `json:"from"`
		End       int     `json:"target"`
		Expected  *uint64 `json:"expected"`
		ID        string  `json:"id"`
		Path      string  `json:"path"`
	}
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expect := req.Header.Get("X-Expect-Instance"); expect != "" && expect != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if o.Operation == "repath" {
		w.WriteHeader(r.repath(o.ID, o.Path))
		return
	}
	w.WriteHeader(r.place(o.First, o.End, o.Expected))
}

func (r *Runner) place(first, end int, expected *uint64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.first == first && r.end == end {
		return http.StatusOK
	}
	if r.busy || expected != nil && *expected != r.orders {
		return http.StatusConflict
	}
	if float64(end-first)*r.Model.LayerMB > r.MemoryMB {
		r.world.fault("%s: ordered to hold %d layers", r.ID, end-first)
		return http.StatusBadRequest
	}
	r.orders++
	r.busy = true
	time.AfterFunc(r.LoadTime, func() {
		r.mu.Lock()
		r.first, r.end, r.busy = first, end, false
		r.mu.Unlock()
		if !r.dead() {
			_ = r.beat()
		}
	})
	return http.StatusAccepted
}

func (r *Runner) repath(id, path string) int {
	parts, err := parse(path)
	if err != nil {
		return http.StatusBadRequest
	}
	r.mu.Lock()
	change := r.chains[id]
	r.mu.Unlock()
	if change == nil {
		return http.StatusNotFound
	}
	r.check(id, path, parts)
	if r.broken(parts) != "" {
		return http.StatusConflict
	}
	change <- parts
	return http.StatusAccepted
}

// part is one server's part of a chain.
type part struct {
	address    string
	first, end int
}

func parse(path string) ([]part, error) {
	var list []part
	for entry := range strings.SplitSeq(path, ",") {
		address, layers, _ := strings.Cut(entry, "=")
		first, end, _ := strings.Cut(layers, "-")
		f, err := strconv.Atoi(first)
		e, endErr := strconv.Atoi(end)
		if err != nil || endErr != nil {
			return nil, fmt.Errorf("chain %q", path)
		}
		list = append(list, part{address, f, e})
	}
	return list, nil
}

// check writes down a chain that does not run each layer once and in order.
func (r *Runner) check(id, path string, parts []part) {
	at := 0
	for _, p := range parts {
		if p.first != at {
			r.world.fault("%s: chain %s", id, path)
			return
		}
		at = p.end
	}
	if at != r.Model.Layers {
		r.world.fault("%s: chain %s", id, path)
	}
}

// broken returns the address of a part that is not there.
func (r *Runner) broken(parts []part) string {
	for _, p := range parts {
		other := r.world.at(p.address)
		if other == nil {
			return p.address
		}
		first, end := other.Layers()
		if first > p.first || end < p.end {
			return p.address
		}
	}
	return ""
}

// request runs a caller's request.
func (r *Runner) request(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if expect := req.Header.Get("X-Expect-Instance"); expect != "" && expect != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.take(&r.refuse) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	r.world.note(Run{
		Request: id, Server: r.ID, Service: r.Service, Team: req.Header.Get("X-Tenant"),
		Resumed: req.Header.Get("Last-Event-Id"), Chain: req.Header.Get("X-Hop-Count"),
	})
	if strings.Contains(string(body), Crasher) {
		r.Crash()
		panic(http.ErrAbortHandler)
	}
	if r.take(&r.loseAnswer) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Server-Signature", "sig-"+id)
	if r.take(&r.fail) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if r.Model == nil {
		fmt.Fprintf(w, "%s %s %d bytes for %s\n", req.Method, req.RequestURI, len(body), id)
		return
	}
	r.stream(w, req, id)
}

// take counts one of the next requests down.
func (r *Runner) take(n *int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// stream answers with as many events as the request asks for.
func (r *Runner) stream(w http.ResponseWriter, req *http.Request, id string) {
	path := req.Header.Get("X-Hop-Count")
	parts, err := parse(path)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.check(id, path, parts)
	if at := r.broken(parts); at != "" {
		w.Header().Del("X-Server-Signature")
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("At-Server", at)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	change := make(chan []part, 1)
	r.join(id, change)
	defer r.leave(id)
	var prompt, events int
	if _, err := fmt.Sscanf(req.Header.Get("X-Token-Counts"), "%d,%d", &prompt, &events); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	from := 0
	if last := req.Header.Get("Last-Event-Id"); last != "" {
		if from, err = strconv.Atoi(last); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for n := from + 1; n <= events; n++ {
		if parts = r.wait(req, id, parts, change); parts == nil {
			return
		}
		if r.cut(n) {
			fmt.Fprintf(w, "id: %d\nda", n)
			_ = flush.Flush()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", n, id, n)
		if flush.Flush() != nil {
			return
		}
	}
}

func (r *Runner) cut(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cutAfter == 0 || n <= r.cutAfter {
		return false
	}
	r.cutAfter = 0
	return true
}

// wait waits for the next event. While a server of the chain is dead, the
// request stalls until its chain is changed.
func (r *Runner) wait(req *http.Request, id string, parts []part, change chan []part) []part {
	for {
		at := r.broken(parts)
		r.stall(id, at)
		step := time.After(r.Step)
		if at != "" {
			step = nil
		}
		select {
		case <-req.Context().Done():
			return nil
		case parts = <-change:
		case <-step:
			return parts
		case <-time.After(100 * time.Millisecond):
			if at == "" {
				return parts
			}
		}
	}
}

func (r *Runner) stall(id, at string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stalled == nil {
		r.stalled = map[string]string{}
	}
	if at == "" {
		delete(r.stalled, id)
		return
	}
	r.stalled[id] = at
}

func (r *Runner) join(id string, change chan []part) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.chains == nil {
		r.chains = map[string]chan []part{}
	}
	r.chains[id] = change
}

func (r *Runner) leave(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.chains, id)
	delete(r.stalled, id)
}
