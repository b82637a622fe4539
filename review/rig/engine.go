package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// eventGap is the time between two events of a stream, each of which holds tokensPerEvent.
	eventGap       = 40 * time.Millisecond
	tokensPerEvent = 2
	// loadTime is how long an engine takes to load layers.
	loadTime = 300 * time.Millisecond
	// unframedMark ends the IDs of the requests whose answers have neither a length nor chunks.
	unframedMark = "u"
	// crashBody is in the bodies of requests that crash the engine that runs them.
	crashBody = "crash"
)

// engine is a stand-in for an engine that holds a range of layers. It is a process of its own.
type engine struct {
	id, zone, address, store string
	born                     int64

	mu           sync.Mutex
	first, end   int
	busy         bool
	draining     bool
	orders, beat int
}

// serveEngine runs an engine until the process is killed. It writes what it does to standard output.
func serveEngine(args []string) int {
	if len(args) != 4 {
		return 2
	}
	l, err := net.Listen("tcp", args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	e := &engine{id: args[0], zone: args[1], address: l.Addr().String(), store: args[3], born: time.Now().UnixMilli()}
	go e.heartbeat()
	go e.awaitNotice()
	for {
		c, err := l.Accept()
		if err != nil {
			return 2
		}
		go e.serve(c)
	}
}

// awaitNotice makes the engine drain once it gets SIGTERM. It serves on until it is killed.
func (e *engine) awaitNotice() {
	notice := make(chan os.Signal, 1)
	signal.Notify(notice, syscall.SIGTERM)
	<-notice
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.write()
	fmt.Printf("engine %s: the store has accepted that it drains\n", e.id)
}

func (e *engine) heartbeat() {
	for {
		e.write()
		time.Sleep(1200 * time.Millisecond)
	}
}

// write writes the entry of the engine into the store.
func (e *engine) write() {
	e.mu.Lock()
	e.beat++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	spec := fields{
		"service": modelService, "address": e.address, "zone": e.zone, "version": "v1", "slots": 192, "state": state, "cold_remaining_ms": 0,
		"stage": "both", "models": []fields{{"name": modelName, "version": 1, "adapters": []string{}}}, "sequence": e.beat, "born": e.born,
		"kind": "h100", "layers": fields{"from": e.first, "target": e.end, "version": 1},
	}
	e.mu.Unlock()
	body, err := json.Marshal(fields{"metadata": fields{"name": e.id}, "spec": spec})
	if err != nil {
		return
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+e.store+"/objects/servers/"+e.id, bytes.NewReader(body))
	if err != nil {
		return
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// serve serves the requests of one connection.
func (e *engine) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		var open bool
		switch req.URL.Path {
		case "/report":
			_, err = c.Write(e.report())
			open = err == nil
		case "/order":
			_, err = c.Write(e.order(req, body))
			open = err == nil
		default:
			open = e.stream(c, req, string(body))
		}
		if !open {
			return
		}
	}
}

func (e *engine) report() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	body, err := json.Marshal(fields{
		"stage": "both", "models": []fields{{"name": modelName, "version": 1, "adapters": []string{}}}, "busy": e.busy, "sequence": e.orders,
		"queue_depth": 0, "in_flight": 0, "kv_used": 0, "kv_total": 90000, "handles": 0, "born": e.born, "pace": 1.0,
		"layers": fields{"from": e.first, "target": e.end, "version": 1}, "stalled": []fields{},
	})
	if err != nil {
		panic(err)
	}
	return respond("200 OK", "Content-Type: application/json\r\n", string(body))
}

// order carries out an order to hold layers. Others find no request to which they apply.
func (e *engine) order(req *http.Request, body []byte) []byte {
	var o struct {
		Operation string `json:"operation"`
		From      int    `json:"from"`
		Target    int    `json:"target"`
		Expected  *int   `json:"expected"`
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	expected := req.Header.Get("X-Expect-Instance")
	switch {
	case expected != "" && expected != e.id:
		return respond("421 Misdirected Request", "X-Instance-Id: "+e.id+"\r\n", "")
	case json.Unmarshal(body, &o) != nil:
		return respond("400 Bad Request", "", "")
	case o.Operation != "place":
		return respond("404 Not Found", "", "")
	case e.busy || o.Expected != nil && *o.Expected != e.orders:
		return respond("409 Conflict", "", "")
	}
	e.orders++
	e.busy = true
	fmt.Printf("engine %s: ordered to hold %d to %d\n", e.id, o.From, o.Target)
	time.AfterFunc(loadTime, func() {
		e.mu.Lock()
		e.first, e.end, e.busy = o.From, o.Target, false
		e.mu.Unlock()
		e.write()
	})
	return respond("202 Accepted", "", "")
}

// stream serves a request for a stream, and reports whether the connection stays open.
func (e *engine) stream(c net.Conn, req *http.Request, body string) (open bool) {
	id := req.Header.Get(names.ID)
	if refusal := e.refusal(req); refusal != "" {
		fmt.Printf("engine %s: refuses %s: %s\n", e.id, id, refusal)
		_, err := c.Write(respond(refusal, names.ID+": "+id+"\r\n"+names.NotRun+": 1\r\n"+names.RefusedBy+": "+e.address+"\r\n", ""))
		return err == nil
	}
	events := eventCount(req.Header.Get(names.TokenCounts))
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	fmt.Printf("engine %s: runs %s after event %d\n", e.id, id, after)
	unframed := strings.HasSuffix(id, unframedMark)
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + names.ID + ": " + id + "\r\n" + names.Signature + ": " + signature(e.id, id) + "\r\nX-Weight-Versions: 1\r\n"
	if unframed {
		head += "Connection: close\r\n\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	}
	write := func(b string) bool {
		if !unframed {
			b = fmt.Sprintf("%x\r\n%s\r\n", len(b), b)
		}
		_, err := io.WriteString(c, head+b)
		head = ""
		return err == nil
	}
	for n := after + 1; n <= events; n++ {
		// An event holds two tokens, each of which is sent when it is made. The events of an answer
		// without a length are sent whole.
		pieces := []string{eventText(id, n)}
		if !unframed {
			first, second, _ := strings.Cut(pieces[0], " piece")
			pieces = []string{first, " piece" + second}
		}
		for i, piece := range pieces {
			time.Sleep(eventGap / time.Duration(len(pieces)))
			crashes := strings.Contains(body, crashBody) && i == 1
			if crashes {
				// The engine crashes before the end of the first event that it sends.
				piece = strings.TrimRight(piece, "\n")
			}
			if !write(piece) {
				fmt.Printf("engine %s: the channel of %s was closed before event %d\n", e.id, id, n)
				return false
			}
			if crashes {
				fmt.Printf("engine %s: crashes under %s\n", e.id, id)
				os.Exit(3)
			}
		}
	}
	fmt.Printf("engine %s: has sent all %d events of %s\n", e.id, events, id)
	if unframed {
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// refusal returns the status with which the engine refuses a request; empty if it runs it.
func (e *engine) refusal(req *http.Request) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	expected := req.Header.Get("X-Expect-Instance")
	if expected != "" && expected != e.id {
		return "421 Misdirected Request"
	}
	// Each engine holds all layers, so a chain has one stage.
	chain := req.Header.Get(names.Chain)
	if chain != "" && chain != fmt.Sprintf("%s=0-%d", e.address, modelLayers) || e.first != 0 || e.end != modelLayers {
		return "421 Misdirected Request"
	}
	return ""
}

// eventCount returns the number of events of an answer.
func eventCount(tokenCounts string) int {
	_, out, _ := strings.Cut(tokenCounts, ",")
	tokens, _ := strconv.Atoi(out)
	return tokens / tokensPerEvent
}

// eventText returns the n-th event of the answer to a request.
func eventText(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, id, n)
}

// streamBody returns the first n events of the answer to a request.
func streamBody(id string, n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(eventText(id, i))
	}
	return b.String()
}
