package soak

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"fuchsiashelf.dev/soak/proxy"
	"fuchsiashelf.dev/stand/plat"
)

// The keys of the only team: one that it keeps, and one that is taken away.
const (
	currentKey = "key-kept"
	oldKey     = "key-old"
)

const (
	layers = 12
	// patience is how long a caller waits.
	patience = 6 * time.Second
)

// town is the platform with the entry hosts in front of it.
type town struct {
	Settings
	world   plat.World
	entries []*entry
	// links are the proxies in front of servers.
	links []*proxy.Proxy

	mu      sync.Mutex
	version int
	servers []*plat.Runner
	born    int
}

// entry is an entry host: a process, and the proxy between it and the store.
type entry struct {
	town                *town
	name, zone          string
	callers, ops, peers string
	store               *proxy.Proxy
	seeds               string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func newTown(s Settings) (*town, error) {
	t := &town{Settings: s}
	if err := t.world.Start(); err != nil {
		return nil, err
	}
	for i := range 8 {
		if err := t.add("assist", zone(i)); err != nil {
			return nil, err
		}
	}
	for i := range 4 {
		if err := t.add("booking", zone(i)); err != nil {
			return nil, err
		}
	}
	if err := t.configure(currentKey, oldKey); err != nil {
		return nil, err
	}
	for i := range s.Entries {
		if err := t.enter(i); err != nil {
			return nil, errors.Join(err, t.close())
		}
	}
	return t, t.ready()
}

func zone(i int) string { return []string{"a", "b"}[i%2] }

// add starts a server behind a proxy.
func (t *town) add(service, zone string) error {
	t.mu.Lock()
	t.born++
	r := &plat.Runner{ID: fmt.Sprintf("%s-%d", service, t.born), Service: service, Zone: zone, Slots: 16}
	t.mu.Unlock()
	if service == "assist" {
		r.Model, r.Kind, r.MemoryMB = &plat.Model{Layers: layers, LayerMB: 1000}, "card", 6000
		r.Step, r.LoadTime = 8*time.Millisecond, 20*time.Millisecond
	}
	r.Front = func(address string) (string, error) {
		p, err := proxy.New(address)
		if err != nil {
			return "", err
		}
		t.mu.Lock()
		t.links = append(t.links, p)
		t.mu.Unlock()
		return p.Address(), nil
	}
	if err := t.world.Add(r); err != nil {
		return err
	}
	t.mu.Lock()
	t.servers = append(t.servers, r)
	t.mu.Unlock()
	return nil
}

// configure writes a configuration with the given keys.
func (t *town) configure(keys ...string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version++
	route := func(name, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "town.example", "path_prefix": "/" + name + "/", "kind": kind, "service": service,
			"timeout_ms": 6000, "target_latency_ms": 500, "target_gap_ms": 400, "attempts": attempts, "resumable": kind == "streaming",
		}
	}
	return t.world.Store.Put("config", "main", map[string]any{
		"version": t.version,
		"routes": []any{
			route("ask", "streaming", "assist", 2), route("pay", "non_idempotent", "booking", 1), route("look", "idempotent", "booking", 2),
		},
		"services": []any{
			map[string]any{"name": "assist", "engine": map[string]any{
				"slots": 16, "kv_token_bytes": 1000, "stride": 1, "step_ms": 1, "read_per_s": 100000, "layers": layers, "layer_mb": 1000,
				"usual":  map[string]any{"prompt": 100, "answer": 20},
				"models": []any{map[string]any{"name": "m", "load_s": 0.1}},
				"kinds":  []any{map[string]any{"name": "card", "size_mb": 6000, "pace": 1, "read_x": 1}},
			}},
			map[string]any{"name": "booking"},
		},
		"limits":  map[string]any{"max_header_bytes": 4096, "max_body_bytes": 10000, "header_timeout_ms": 1000, "idle_timeout_ms": 5000},
		"tenants": []any{map[string]any{"name": "choir", "api_keys": keys}},
	})
}

// enter starts an entry host.
func (t *town) enter(i int) error {
	e := &entry{town: t, name: fmt.Sprintf("entry-%d", i), zone: zone(i)}
	for _, address := range []*string{&e.callers, &e.ops, &e.peers} {
		var err error
		if *address, err = plat.Free(); err != nil {
			return err
		}
	}
	var err error
	if e.store, err = proxy.New(t.world.Address()); err != nil {
		return err
	}
	e.seeds = e.peers
	if i > 0 {
		e.seeds = t.entries[0].peers
	}
	t.entries = append(t.entries, e)
	return e.begin()
}

// begin starts the process of an entry host.
func (e *entry) begin() error {
	file := filepath.Join(e.town.Dir, e.name+".yaml")
	text := fmt.Sprintf("node_name: %s\nzone: %s\nlisten: {front: %q, ready: %q, control: %q}\nseeds: [%q]\n"+
		"limits: {memory_mb: 200}\nbounds: {grace_s: 6, retry_budget_ratio: 0.2, budget_window_s: 10, budget_slack: 100}\n"+
		"platform: {address: %q}\n", e.name, e.zone, e.callers, e.ops, e.peers, e.seeds, e.store.Address())
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(e.town.Dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(e.town.Program)
	cmd.Env = append(os.Environ(), "FUCHSIASHELF_NODE_FILE="+file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		// How it ended is told by what callers see.
		_ = cmd.Wait()
		close(done)
	}()
	e.mu.Lock()
	e.cmd, e.done = cmd, done
	e.mu.Unlock()
	return nil
}

// signal sends a signal to the process.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	// It may have ended already.
	_ = e.cmd.Process.Signal(s)
}

// wait waits for the end of the process.
func (e *entry) wait() {
	e.mu.Lock()
	done := e.done
	e.mu.Unlock()
	<-done
}

// terminate stops the process as planned.
func (e *entry) terminate() {
	e.signal(syscall.SIGTERM)
	e.wait()
}

// ready waits until all entry hosts say so.
func (t *town) ready() error {
	for _, e := range t.entries {
		ready := false
		for end := time.Now().Add(settleTime); time.Now().Before(end) && !ready; time.Sleep(30 * time.Millisecond) {
			resp, err := http.Get("http://" + e.ops + "/ready")
			if err == nil {
				resp.Body.Close()
				ready = resp.StatusCode == http.StatusOK
			}
		}
		if !ready {
			return fmt.Errorf("%s is never ready", e.name)
		}
	}
	return nil
}

// heal ends all faults but those that are for good.
func (t *town) heal() {
	t.world.Store.Fail(plat.Well)
	for _, e := range t.entries {
		e.store.Set(proxy.Pass)
		e.signal(syscall.SIGCONT)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.links {
		p.Set(proxy.Pass)
	}
	for _, r := range t.servers {
		r.LoseAnswers(0)
		r.Refuse(0)
		r.CutAfter(0)
	}
}

func (t *town) close() error {
	for _, e := range t.entries {
		e.signal(syscall.SIGKILL)
		e.wait()
		e.store.Close()
	}
	t.world.Close()
	for _, p := range t.links {
		p.Close()
	}
	return nil
}

// reply is what a caller got.
type reply struct {
	status int
	body   string
	err    error
}

// send makes one attempt of a caller; events is zero for a plain service.
func (t *town) send(e int, id, path, key string, events int) reply {
	req, err := http.NewRequest(http.MethodPost, "http://"+t.entries[e].callers+path, strings.NewReader("body"))
	if err != nil {
		return reply{err: err}
	}
	req.Host = "town.example"
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(patience.Milliseconds()))
	req.Header.Set("Authorization", "Token "+key)
	if events > 0 {
		req.Header.Set("X-Token-Counts", fmt.Sprintf("50,%d", events))
	}
	client := &http.Client{Timeout: patience + time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, body: string(body), err: err}
}

// whole returns a stream with all its events.
func whole(id string, events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s/%d\n\n", n, id, n)
	}
	return b.String()
}
