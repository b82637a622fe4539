package fakes

import (
	"cmp"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// hostHeader is the Host header of all requests.
const hostHeader = "town.example"

// FileVariable is the environment variable with the path of a process's settings
// file.
const FileVariable = "FUCHSIASHELF_NODE_FILE"

// Request is one attempt of a caller's request.
type Request struct {
	// Address is the callers' address of the entry host.
	Address string
	Path    string
	// ID is the attempt ID, Key is an API key of the caller's team.
	ID, Key string
	Body    string
	// Timeout is the caller's deadline, sent as X-Deadline-Ms.
	Timeout time.Duration
	// Events is the requested number of events; zero calls a plain service.
	Events int
	// Parts holds the IDs of the parts of the prompt.
	Parts []string
}

// HTTP returns the HTTP request with the platform's headers.
func (r Request) HTTP() (*http.Request, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+r.Address+r.Path, strings.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	req.Host = hostHeader
	req.Header.Set("X-Attempt-Id", r.ID)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(r.Timeout.Milliseconds()))
	req.Header.Set("Authorization", "Token "+r.Key)
	if r.Events > 0 {
		req.Header.Set("X-Token-Counts", fmt.Sprintf("50,%d", r.Events))
	}
	if len(r.Parts) > 0 {
		req.Header.Set("X-Prompt-Prefix", PromptPrefix(r.Parts...))
	}
	return req, nil
}

// PromptPrefix returns the header with the parts of a prompt, ten tokens each.
func PromptPrefix(parts ...string) string { return strings.Join(parts, ":10,") + ":10" }

// StreamBody returns the body of a complete stream.
func StreamBody(id string, events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s/%d\n\n", n, id, n)
	}
	return b.String()
}

// Settings are the settings of one entry host process.
type Settings struct {
	Name, Zone          string
	Callers, Ops, Peers string
	Seed, Store         string
	// Source is the IP address from which the process connects to backend servers.
	Source string
	// GraceSeconds is the time from a stop signal to the exit of the process.
	GraceSeconds int
}

// YAML returns the contents of the settings file.
func (s Settings) YAML() string {
	return fmt.Sprintf("node_name: %s\nzone: %s\nsource_ip: %q\nlisten: {front: %q, ready: %q, control: %q}\nseeds: [%q]\n"+
		"limits: {memory_mb: 200}\nbounds: {grace_s: %d, retry_budget_ratio: 0.2, budget_window_s: 10, budget_slack: 100}\n"+
		"platform: {address: %q}\n", s.Name, s.Zone, s.Source, s.Callers, s.Ops, s.Peers, s.Seed, s.GraceSeconds, s.Store)
}

// Team is a team of a Config.
type Team struct {
	Name string
	Keys []string
	// Priority is nil for that of the route.
	Priority *int
}

// Stream is a route to the engines, for the paths /NAME/.
type Stream struct {
	Name     string
	Priority int
}

// Config is an operator's configuration with four routes: the stream /ask/, the
// non-idempotent /pay/, the idempotent /look/ and the public /open/, all of priority 1.
type Config struct {
	Version int
	// Keys are the API keys of the team choir, which has priority 1; it is left out
	// without keys.
	Keys []string
	// Teams are further teams, and Streams further routes to the engines.
	Teams   []Team
	Streams []Stream
	// Model is served by /ask/ on accelerators with MemoryMB of memory.
	Model    Model
	MemoryMB float64
	// Timeout is the timeout of all routes; zero means 8 seconds.
	Timeout time.Duration
	// MaxGap is the longest pause between two events for which a stream is on time; zero means
	// 400 ms. Callers leave a stream after eight times as long.
	MaxGap time.Duration
}

// Put writes the configuration into a store.
func (c Config) Put(store *Store) error {
	return store.Put("config", "main", map[string]any{
		"version": c.Version,
		"routes":  c.routeConfigs(),
		"services": []any{
			map[string]any{"name": "assist", "max_connections": 100, "engine": c.engineConfig()},
			map[string]any{"name": "booking", "max_connections": 100},
		},
		"limits": map[string]any{
			"max_header_bytes": 4096, "max_body_bytes": 10000, "header_timeout_ms": 1000, "idle_timeout_ms": 5000,
		},
		"tenants": c.teamConfigs(),
	})
}

// Timeouts of routes in a Config that sets none.
const (
	defaultTimeout = 8 * time.Second
	defaultMaxGap  = 400 * time.Millisecond
)

func (c Config) routeConfigs() []map[string]any {
	list := []map[string]any{
		routeConfig("ask", "streaming", "assist", 2, 1), routeConfig("pay", "non_idempotent", "booking", 1, 1),
		routeConfig("look", "idempotent", "booking", 2, 1), routeConfig("open", "idempotent", "booking", 2, 1),
	}
	for _, s := range c.Streams {
		list = append(list, routeConfig(s.Name, "streaming", "assist", 2, s.Priority))
	}
	for _, route := range list {
		route["timeout_ms"] = cmp.Or(c.Timeout, defaultTimeout).Milliseconds()
		route["target_gap_ms"] = cmp.Or(c.MaxGap, defaultMaxGap).Milliseconds()
	}
	return list
}

func (c Config) teamConfigs() []any {
	var list []any
	if len(c.Keys) > 0 {
		list = append(list, map[string]any{"name": "choir", "api_keys": c.Keys, "priority": 1})
	}
	for _, team := range c.Teams {
		record := map[string]any{"name": team.Name, "api_keys": team.Keys}
		if team.Priority != nil {
			record["priority"] = *team.Priority
		}
		list = append(list, record)
	}
	return list
}

func (c Config) engineConfig() map[string]any {
	return map[string]any{
		"slots": 16, "kv_token_bytes": 1000, "stride": 1, "step_ms": 1, "read_per_s": 100000, "chunk": 512, "loads_at_once": 4,
		"layers": c.Model.Layers, "layer_mb": c.Model.LayerMB, "activation_bytes": 100, "pipe_mbps": 1000,
		"usual":  map[string]any{"prompt": 100, "answer": 20},
		"models": []any{map[string]any{"name": "m", "load_s": 0.1}},
		"kinds":  []any{map[string]any{"name": "card", "size_mb": c.MemoryMB, "pace": 1, "read_x": 1}},
	}
}

func routeConfig(name, kind, service string, attempts, priority int) map[string]any {
	return map[string]any{
		"name": name, "host": hostHeader, "path_prefix": "/" + name + "/", "kind": kind, "service": service,
		"target_latency_ms": 500, "attempts": attempts, "priority": priority,
		"public": name == "open", "resumable": kind == "streaming",
	}
}
