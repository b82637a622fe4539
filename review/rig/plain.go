package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// plainServer is a stand-in for a server of the plain service. It answers one request at a time on
// a connection, echoes the ID and signs what it ran.
type plainServer struct {
	id, zone, address string
	rec               *record
	store             *store
	born              int64
	// work returns how long a request takes.
	work func(id string) time.Duration
	// secondCopy decides whether the server gives a second copy of an answer, which is late: it
	// comes at the point where the next answer on the connection is expected. Nil means never.
	secondCopy func(s *plainServer, path string) bool

	mu       sync.Mutex
	answers  int
	ran      map[string]int
	bodies   map[string]string
	sequence int
}

func startPlain(s *plainServer, ip string) error {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	s.address, s.born = l.Addr().String(), time.Now().UnixMilli()
	s.ran, s.bodies = map[string]int{}, map[string]string{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	go func() {
		for {
			s.beat()
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return nil
}

// beat writes the entry of the server.
func (s *plainServer) beat() {
	s.mu.Lock()
	s.sequence++
	sequence := s.sequence
	s.mu.Unlock()
	s.store.put("servers", s.id, fields{
		"service": plainService, "address": s.address, "zone": s.zone, "version": "v1", "slots": 6, "state": "ready",
		"cold_remaining_ms": 0, "sequence": sequence, "born": s.born,
	})
}

// serve serves the requests of one connection.
func (s *plainServer) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	var late []byte
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if late != nil {
			s.rec.printf("server %s gives the late second copy of its answer to an earlier request: %.60q", s.id, late)
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		response := s.answer(req, body)
		if _, err := c.Write(response); err != nil {
			s.rec.printf("server %s could not write its answer to %s: %v", s.id, req.Header.Get(names.ID), err)
			return
		}
		s.mu.Lock()
		s.answers++
		s.mu.Unlock()
		if s.secondCopy != nil && s.secondCopy(s, req.URL.Path) {
			late = response
		}
	}
}

// answer runs a request and returns the bytes of the response.
func (s *plainServer) answer(req *http.Request, body []byte) []byte {
	id := req.Header.Get(names.ID)
	if req.URL.Path == "/report" {
		return s.report()
	}
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		return respond("421 Misdirected Request", names.ID+": "+id+"\r\nX-Instance-Id: "+s.id+"\r\n", "")
	}
	if id == "" {
		return respond("400 Bad Request", names.NotRun+": 1\r\n", "")
	}
	s.mu.Lock()
	s.ran[id]++
	text := fmt.Sprintf("%s %s %s of %d bytes, run by %s for %s. ", req.Method, req.RequestURI, id, len(body), s.id, req.Header.Get("X-Tenant"))
	text = strings.Repeat(text, 800/len(text)+1)[:800]
	s.bodies[id] = text
	s.mu.Unlock()
	s.rec.printf("server %s runs %s (%s %s)", s.id, id, req.Method, req.RequestURI)
	time.Sleep(s.work(id))
	return respond("200 OK", "Content-Type: text/plain\r\n"+names.ID+": "+id+"\r\n"+names.Signature+": "+signature(s.id, id)+"\r\nKeep-Alive: timeout=10\r\n", text)
}

// report answers the request for the state of the server. Like the request, the answer has no ID.
func (s *plainServer) report() []byte {
	body, err := json.Marshal(fields{"stage": "both", "models": []fields{}, "busy": false, "sequence": 0, "queue_depth": 0, "in_flight": 1, "kv_used": 0, "kv_total": 0, "handles": 0, "born": s.born})
	if err != nil {
		panic(err)
	}
	return respond("200 OK", "Content-Type: application/json\r\nKeep-Alive: timeout=10\r\n", string(body))
}

func respond(status, header, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}

// signature is the proof that a server gives for a request that it ran.
func signature(server, id string) string { return "sig." + server + "." + id }

// runs returns how often servers have run a request, and the body that the last one gave.
func runs(servers []*plainServer, id string) (n int, bodies []string) {
	for _, s := range servers {
		s.mu.Lock()
		n += s.ran[id]
		if s.ran[id] > 0 {
			bodies = append(bodies, s.bodies[id])
		}
		s.mu.Unlock()
	}
	return n, bodies
}
