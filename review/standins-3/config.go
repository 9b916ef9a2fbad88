package main

// Names of the small deployment.
const (
	host       = "desk.example"
	modelRoute = "/draft1/"
	plainRoute = "/stock1/"
	orderRoute = "/order1/"
)

type tenant struct {
	Name     string
	ApiKeys  []string
	Priority int
}

// config returns the operator's configuration: a streaming route that may be resumed, an idempotent one and one that is not.
func config(version int, tenants []tenant) map[string]any {
	route := func(name, prefix, kind, service string, timeoutMs, goalMs, attempts int, more map[string]any) map[string]any {
		r := map[string]any{"Name": name, "Host": host, "Prefix": prefix, "Kind": kind, "TimeoutMs": timeoutMs, "GoalMs": goalMs, "Priority": 1,
			"Service": service, "Attempts": attempts, "Public": false}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	return map[string]any{
		"Version": version,
		"Routes": []any{
			route("r-draft", modelRoute, "streaming", "model", 10000, 300, 2, map[string]any{"Sticky": true, "Resumable": true, "GapAimMs": 250}),
			route("r-stock", plainRoute, "idempotent", "desk", 800, 100, 2, nil),
			route("r-order", orderRoute, "non_idempotent", "desk", 800, 100, 1, nil),
		},
		"Services": []any{
			map[string]any{"Name": "model", "HealthPath": "/health", "MaxConnections": 424, "Protocol": "h1", "Tls": false, "Engine": map[string]any{
				"Slots": 16, "KvTokens": 315000, "Stride": 51, "Models": []any{map[string]any{"Name": "m"}}, "step_ms": 0.85, "per_seq_ms": 0.00425,
				"context_per_k": 0.00285, "read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048, "report_lag_ms": 200.0, "HopMs": 0.05}},
			map[string]any{"Name": "desk", "HealthPath": "/health", "MaxConnections": 100, "Protocol": "h1", "Tls": false},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": tenants,
	}
}
