package relay

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fuchsiashelf.dev/parts/conf"
	"fuchsiashelf.dev/parts/engine"
	"fuchsiashelf.dev/parts/host"
	"fuchsiashelf.dev/parts/pool"
	"fuchsiashelf.dev/parts/view"
	"fuchsiashelf.dev/parts/wait"
)

// fakeServer is a backend server that generates tokens for any request. A script
// may answer in its place.
type fakeServer struct {
	*httptest.Server
	name string
	// script answers a request, or returns false for the default response.
	script atomic.Pointer[func(r *frameWriter, req *engine.Request) bool]
	// frozen makes the server leave status requests unanswered.
	frozen atomic.Bool
	// statusDelay is how long the server takes to answer status requests.
	statusDelay atomic.Int64
	// paused is locked while the process is paused: connections are accepted, and nothing is
	// answered.
	paused sync.RWMutex
	// refusing makes the server refuse new requests as full.
	refusing atomic.Bool
	// calls counts the attempts, cancelled those that the client cancelled while
	// the script ran.
	calls, cancelled atomic.Int64
}

// frameWriter writes the frames of a response.
type frameWriter struct {
	http.ResponseWriter
	ctx    context.Context
	req    *engine.Request
	server *fakeServer
}

func (r *frameWriter) frame(f engine.Frame) {
	r.server.waitResumed()
	f.Request, f.Attempt = r.req.RequestID, r.req.Attempt
	_ = json.NewEncoder(r).Encode(f)
	r.ResponseWriter.(http.Flusher).Flush()
}

// token writes the token with the given index, which is the same on all servers.
func (r *frameWriter) token(index int) {
	f := engine.Frame{Index: index, Token: tokenText(r.req.Prompt, index)}
	for _, s := range r.req.Chain {
		f.Spans = append(f.Spans, engine.Span{Server: s.Server, First: s.First, End: s.End, RunUs: 1000})
	}
	r.frame(f)
}

func tokenText(prompt string, index int) string {
	return prompt + string(rune('a'+index))
}

// pause pauses the server until the returned function is called.
func (f *fakeServer) pause() (resume func()) {
	f.paused.Lock()
	return f.paused.Unlock
}

// waitResumed waits while the server is paused.
func (f *fakeServer) waitResumed() {
	f.paused.RLock()
	defer f.paused.RUnlock()
}

func (f *fakeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.waitResumed()
	if r.URL.Path == "/v1/status" {
		if f.frozen.Load() {
			<-r.Context().Done()
			return
		}
		wait.For(r.Context(), time.Duration(f.statusDelay.Load()))
		_, _ = io.WriteString(w, `{}`)
		return
	}
	req := &engine.Request{}
	if json.NewDecoder(r.Body).Decode(req) != nil {
		return
	}
	f.calls.Add(1)
	if f.refusing.Load() {
		w.Header().Set(engine.NotRunHeader, "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	out := &frameWriter{w, r.Context(), req, f}
	if script := f.script.Load(); script != nil && (*script)(out, req) {
		if r.Context().Err() != nil {
			f.cancelled.Add(1)
		}
		return
	}
	for i := len(req.Sent); i < req.Max; i++ {
		out.token(i)
	}
	out.frame(engine.Frame{End: true, Count: req.Max})
}

func (f *fakeServer) setScript(script func(r *frameWriter, req *engine.Request) bool) {
	f.script.Store(&script)
}

// fakeLayers is the number of layers of the model.
const fakeLayers = 4

// cluster is a Forwarder with some fake servers that each hold the whole model.
type cluster struct {
	forwarder *Forwarder
	servers   []*fakeServer
	pool      pool.Pool
}

func newCluster(t testing.TB, names ...string) *cluster {
	cl := &cluster{pool: pool.Pool{Name: "lake", Model: "lotus", Layers: fakeLayers, Servers: names}}
	hosts := map[string]host.Host{}
	for _, name := range names {
		f := &fakeServer{name: name}
		f.Server = httptest.NewServer(f)
		t.Cleanup(f.Close)
		cl.servers = append(cl.servers, f)
		hosts[name] = host.Host{Name: name, Address: f.Listener.Addr().String(), Role: host.Engine, End: fakeLayers}
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	t.Cleanup(transport.CloseIdleConnections)
	cl.forwarder = &Forwarder{
		View: view.New("e1", "a"), Engine: &engine.Client{HTTP: &http.Client{Transport: transport}},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	cl.forwarder.View.Update(func(s *view.Snapshot) {
		s.Hosts = hosts
		s.Config = &conf.Config{Pools: map[string]pool.Pool{"lake": cl.pool}}
	})
	return cl
}

// splitLayers gives each server one layer instead of the whole model.
func (cl *cluster) splitLayers(layers ...int) {
	cl.pool.Layers = layers[len(layers)-1] + 1
	cl.forwarder.View.Update(func(s *view.Snapshot) {
		s.Hosts = view.Edit(s.Hosts, func(hosts map[string]host.Host) {
			for i, name := range cl.pool.Servers {
				h := hosts[name]
				h.First, h.End = layers[i], layers[i]+1
				hosts[name] = h
			}
		})
		next := s.Config.Clone()
		next.Pools["lake"] = cl.pool
		s.Config = next
	})
}

// request returns a request for the given number of tokens.
func (cl *cluster) request(prompt string, total int) *Request {
	return &Request{ID: "r-" + prompt, Pool: cl.pool, Prompt: prompt, MaxTokens: total, Deadline: time.Now().Add(time.Minute)}
}

// recordingSink records the tokens that a caller receives.
type recordingSink struct {
	mu     sync.Mutex
	tokens []string
	// onToken is called for every token, if set.
	onToken func(index int) error
}

func (s *recordingSink) Token(index int, text string) error {
	s.mu.Lock()
	s.tokens = append(s.tokens, text)
	s.mu.Unlock()
	if s.onToken != nil {
		return s.onToken(index)
	}
	return nil
}

// wantTokens returns the tokens of a complete response.
func wantTokens(prompt string, total int) []string {
	var all []string
	for i := range total {
		all = append(all, tokenText(prompt, i))
	}
	return all
}

// encodedFrames returns the encoded frames of a complete response, each with one
// span per stage of the chain.
func encodedFrames(req *engine.Request, total int) [][]byte {
	var all [][]byte
	add := func(f engine.Frame) {
		f.Request, f.Attempt = req.RequestID, req.Attempt
		line, _ := json.Marshal(f)
		all = append(all, append(line, '\n'))
	}
	for i := range total {
		f := engine.Frame{Index: i, Token: tokenText(req.Prompt, 0)}
		for _, s := range req.Chain {
			f.Spans = append(f.Spans, engine.Span{Server: s.Server, First: s.First, End: s.End, RunUs: 1000})
		}
		add(f)
	}
	add(engine.Frame{End: true, Count: total})
	return all
}
