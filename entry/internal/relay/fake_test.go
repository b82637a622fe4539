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
)

// fake is an engine that holds all layers. Its script may take a call over.
type fake struct {
	*httptest.Server
	name string
	// script answers a call, or returns false to have it answered as usual.
	script atomic.Pointer[func(w *reply, ask *engine.Request) bool]
	// frozen says that status is not answered.
	frozen atomic.Bool
	// calls counts the attempts, cancelled those whose reader left.
	calls, cancelled atomic.Int64
}

// reply writes frames.
type reply struct {
	http.ResponseWriter
	ctx context.Context
	ask *engine.Request
}

func (r *reply) frame(f engine.Frame) {
	f.Request, f.Attempt = r.ask.RequestID, r.ask.Attempt
	_ = json.NewEncoder(r).Encode(f)
	r.ResponseWriter.(http.Flusher).Flush()
}

// token writes the token of an index; which engine made it does not show.
func (r *reply) token(index int) {
	f := engine.Frame{Index: index, Token: text(r.ask.Prompt, index)}
	for _, s := range r.ask.Chain {
		f.Spans = append(f.Spans, engine.Span{Server: s.Server, First: s.First, End: s.End, RunUs: 1000})
	}
	r.frame(f)
}

func text(prompt string, index int) string {
	return prompt + string(rune('a'+index))
}

func (f *fake) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/status" {
		if f.frozen.Load() {
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, `{}`)
		return
	}
	ask := &engine.Request{}
	if json.NewDecoder(r.Body).Decode(ask) != nil {
		return
	}
	f.calls.Add(1)
	out := &reply{w, r.Context(), ask}
	if script := f.script.Load(); script != nil && (*script)(out, ask) {
		if r.Context().Err() != nil {
			f.cancelled.Add(1)
		}
		return
	}
	for i := len(ask.Sent); i < ask.Max; i++ {
		out.token(i)
	}
	out.frame(engine.Frame{End: true, Count: ask.Max})
}

// play sets the script.
func (f *fake) play(script func(w *reply, ask *engine.Request) bool) {
	f.script.Store(&script)
}

const fakeLayers = 4

// world is a relay before some fakes that each hold the whole model.
type world struct {
	relay *Forwarder
	fakes []*fake
	pool  pool.Pool
}

func newWorld(t testing.TB, names ...string) *world {
	w := &world{pool: pool.Pool{Name: "lake", Model: "lotus", Layers: fakeLayers, Servers: names}}
	hosts := map[string]host.Host{}
	for _, name := range names {
		f := &fake{name: name}
		f.Server = httptest.NewServer(f)
		t.Cleanup(f.Close)
		w.fakes = append(w.fakes, f)
		hosts[name] = host.Host{Name: name, Address: f.Listener.Addr().String(), Role: host.Engine, End: fakeLayers}
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	t.Cleanup(transport.CloseIdleConnections)
	w.relay = &Forwarder{
		View: view.New("e1", "a"), Engine: &engine.Client{HTTP: &http.Client{Transport: transport}},
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	w.relay.View.Update(func(s *view.Snapshot) {
		s.Hosts = hosts
		s.Config = &conf.Config{Pools: map[string]pool.Pool{"lake": w.pool}}
	})
	return w
}

// layer gives each server one layer, in place of the whole model.
func (w *world) layer(layers ...int) {
	w.pool.Layers = layers[len(layers)-1] + 1
	w.relay.View.Update(func(s *view.Snapshot) {
		s.Hosts = view.Edit(s.Hosts, func(hosts map[string]host.Host) {
			for i, name := range w.pool.Servers {
				h := hosts[name]
				h.First, h.End = layers[i], layers[i]+1
				hosts[name] = h
			}
		})
		next := s.Config.Clone()
		next.Pools["lake"] = w.pool
		s.Config = next
	})
}

// ask returns a request.
func (w *world) ask(prompt string, max int) *Request {
	return &Request{ID: "r-" + prompt, Pool: w.pool, Prompt: prompt, MaxTokens: max, Deadline: time.Now().Add(time.Minute)}
}

// sink keeps what a caller read.
type sink struct {
	mu     sync.Mutex
	tokens []string
	// each is called for every token, if set.
	each func(index int) error
}

func (s *sink) Token(index int, text string) error {
	s.mu.Lock()
	s.tokens = append(s.tokens, text)
	s.mu.Unlock()
	if s.each != nil {
		return s.each(index)
	}
	return nil
}

// answer returns the tokens of a whole answer.
func answer(prompt string, max int) []string {
	var all []string
	for i := range max {
		all = append(all, text(prompt, i))
	}
	return all
}

// lines returns the frames of a whole answer over three spans, encoded once.
func lines(ask *engine.Request, max int) [][]byte {
	var all [][]byte
	add := func(f engine.Frame) {
		f.Request, f.Attempt = ask.RequestID, ask.Attempt
		line, _ := json.Marshal(f)
		all = append(all, append(line, '\n'))
	}
	for i := range max {
		f := engine.Frame{Index: i, Token: text(ask.Prompt, 0)}
		for _, s := range ask.Chain {
			f.Spans = append(f.Spans, engine.Span{Server: s.Server, First: s.First, End: s.End, RunUs: 1000})
		}
		add(f)
	}
	add(engine.Frame{End: true, Count: max})
	return all
}
