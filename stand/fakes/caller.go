package fakes

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Host is the host that callers ask for.
const Host = "town.example"

// FileVariable names the settings file of a process.
const FileVariable = "FUCHSIASHELF_NODE_FILE"

// Request is one attempt of a caller.
type Request struct {
	// Address is where the entry host listens for callers.
	Address string
	Path    string
	// ID names the attempt, Key proves the caller's team.
	ID, Key string
	Body    string
	// Timeout is how long the caller waits.
	Timeout time.Duration
	// Events is how many events a stream is to have; zero for a plain service.
	Events int
}

// HTTP returns the call in the platform's form.
func (c Request) HTTP() (*http.Request, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+c.Address+c.Path, strings.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	req.Host = Host
	req.Header.Set("X-Attempt-Id", c.ID)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(c.Timeout.Milliseconds()))
	req.Header.Set("Authorization", "Token "+c.Key)
	if c.Events > 0 {
		req.Header.Set("X-Token-Counts", fmt.Sprintf("50,%d", c.Events))
	}
	return req, nil
}

// StreamBody returns the body of a stream with all its events.
func StreamBody(id string, events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s/%d\n\n", n, id, n)
	}
	return b.String()
}

// Settings is what a process is told at its start.
type Settings struct {
	Name, Zone          string
	Callers, Ops, Peers string
	Seed, Store         string
	// GraceSeconds is the time from a stop signal to the end.
	GraceSeconds int
}

// YAML returns the settings file.
func (b Settings) YAML() string {
	return fmt.Sprintf("node_name: %s\nzone: %s\nlisten: {front: %q, ready: %q, control: %q}\nseeds: [%q]\n"+
		"limits: {memory_mb: 200}\nbounds: {grace_s: %d, retry_budget_ratio: 0.2, budget_window_s: 10, budget_slack: 100}\n"+
		"platform: {address: %q}\n", b.Name, b.Zone, b.Callers, b.Ops, b.Peers, b.Seed, b.GraceSeconds, b.Store)
}

// Config is a configuration with a stream, a payment, a look-up and an open
// look-up, under the paths /ask/, /pay/, /look/ and /open/.
type Config struct {
	Version int
	// Keys are those of the only team.
	Keys []string
	// Model runs behind /ask/ on cards with so much memory.
	Model    Model
	MemoryMB float64
}

// Put writes the configuration as the operator would.
func (t Config) Put(s *Store) error {
	return s.Put("config", "main", map[string]any{
		"version": t.Version,
		"routes": []any{
			route("ask", "streaming", "assist", 2), route("pay", "non_idempotent", "booking", 1),
			route("look", "idempotent", "booking", 2), route("open", "idempotent", "booking", 2),
		},
		"services": []any{
			map[string]any{"name": "assist", "max_connections": 100, "engine": t.engine()},
			map[string]any{"name": "booking", "max_connections": 100},
		},
		"limits": map[string]any{
			"max_header_bytes": 4096, "max_body_bytes": 10000, "header_timeout_ms": 1000, "idle_timeout_ms": 5000,
		},
		"tenants": []any{map[string]any{"name": "choir", "api_keys": t.Keys, "priority": 1}},
	})
}

func (t Config) engine() map[string]any {
	return map[string]any{
		"slots": 16, "kv_token_bytes": 1000, "stride": 1, "step_ms": 1, "read_per_s": 100000, "chunk": 512, "loads_at_once": 4,
		"layers": t.Model.Layers, "layer_mb": t.Model.LayerMB, "activation_bytes": 100, "pipe_mbps": 1000,
		"usual":  map[string]any{"prompt": 100, "answer": 20},
		"models": []any{map[string]any{"name": "m", "load_s": 0.1}},
		"kinds":  []any{map[string]any{"name": "card", "size_mb": t.MemoryMB, "pace": 1, "read_x": 1}},
	}
}

func route(name, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": Host, "path_prefix": "/" + name + "/", "kind": kind, "service": service,
		"timeout_ms": 8000, "target_latency_ms": 500, "target_gap_ms": 400, "attempts": attempts, "priority": 1,
		"public": name == "open", "resumable": kind == "streaming",
	}
}
