package main

// The names of the deployment.
const (
	routeHost    = "ficu95.example"
	apiKey       = "n2ctnfzs989anu6wsjnb"
	teamName     = "hule930"
	transferPath = "/puxa403/2f"
	lookupPath   = "/cufi504/2f"
	streamPath   = "/lohu930/2f"
	plainService = "pots-app"
	modelService = "shelf-llm"
	modelName    = "daka510000"
	modelLayers  = 8
)

type fields map[string]any

// configuration is the desired state. transferTimeoutMs is the time-out of the route of transfers.
func configuration(version, transferTimeoutMs int) fields {
	return fields{
		"version": version,
		"routes": []fields{
			{"name": "r-transfer", "host": routeHost, names.PathPrefix: "/puxa403/", "kind": "non_idempotent", "service": plainService, "attempts": 1, "timeout_ms": transferTimeoutMs, names.Target: 300, "priority": 2, "public": false},
			{"name": "r-lookup", "host": routeHost, names.PathPrefix: "/cufi504/", "kind": "idempotent", "service": plainService, "attempts": 2, "timeout_ms": 2000, names.Target: 300, "priority": 2, "public": false},
			{"name": "r-stream", "host": routeHost, names.PathPrefix: "/lohu930/", "kind": "streaming", "service": modelService, "attempts": 2, "timeout_ms": 20000, names.Target: 500, "target_gap_ms": 200, "priority": 1, "public": false, "sticky": true, "resumable": true},
		},
		"services": []fields{
			{"name": plainService, "health_path": "/health", "max_connections": 52, "protocol": "h1", "tls": false},
			{"name": modelService, "health_path": "/health", "max_connections": 908, "protocol": "h1", "tls": false, "engine": fields{
				"slots": 192, "kv_capacity": 100000, names.TokenBytes: 59000, "stride": 2, "step_ms": 0.85, "per_seq_ms": 0.00382, "context_per_k": 0.00512,
				"read_per_s": 196000, "pairs_per_m": 0.166, "chunk": 512, "link_mbps": 480000, "pipe_mbps": 11000, "report_lag_ms": 200,
				"usual": fields{"prompt": 760, "answer": 172}, "layers": modelLayers, "layer_mb": 1750, "activation_bytes": 29500,
				"models": []fields{{"name": modelName, "pace": 1.0, "load_s": 1.0, "warm_s": 0.1}},
				"kinds":  []fields{{"name": "h100", "size_mb": 72000, "pace": 1.4, "read_x": 1.0}},
			}},
		},
		"tenants": []fields{{"name": teamName, "api_keys": []string{apiKey}}},
		"limits":  fields{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
