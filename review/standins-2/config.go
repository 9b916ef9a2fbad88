package main

// Names of the cases' deployment.
const (
	callerHost  = "ficu95.example"
	draftPath   = "/lohu930/"
	summaryPath = "/heko52/"
	ledgerPath  = "/ruxi77/"
	lookupPath  = "/pufi791/"
	orderPath   = "/puxa403/"
	model       = "model-bench"
	desk        = "order-desk"
	apiKey      = "n2ctnfzs989anu6wsjnb"
	tenant      = "hule930"
)

// configuration returns the operator's configuration of a small deployment: a model service and a plain one.
func configuration() map[string]any {
	route := func(name, prefix, kind, service string, attempts, timeoutMs, goalMs, gapMs int) map[string]any {
		return map[string]any{"Name": name, "Host": callerHost, "Prefix": prefix, "Kind": kind, "TimeoutMs": timeoutMs, "GoalMs": goalMs,
			"Priority": 1, "Service": service, "Attempts": attempts, "Public": false, "Sticky": kind == "streaming",
			"Resumable": kind == "streaming", "GapAimMs": gapMs}
	}
	return map[string]any{
		"Version": 7,
		"Routes": []any{
			route("r-draft", draftPath, "streaming", model, 2, 10000, 300, 250),
			route("r-summary", summaryPath, "streaming", model, 2, 10000, 1500, 600),
			route("r-ledger", ledgerPath, "streaming", model, 2, 15000, 3000, 1000),
			route("r-lookup", lookupPath, "idempotent", desk, 2, 800, 100, 0),
			route("r-order", orderPath, "non_idempotent", desk, 1, 800, 100, 0),
		},
		"Services": []any{
			map[string]any{"Name": model, "HealthPath": "/health", "MaxConnections": 424, "Protocol": "h1", "Tls": false,
				"Engine": map[string]any{"Slots": 16, "KvTokens": kvTokens, "KvBytes": 163840, "Stride": 51, "step_ms": 0.85, "per_seq_ms": 0.00425,
					"context_per_k": 0.00285, "read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048, "report_lag_ms": 200.0, "HopMs": 0.05}},
			map[string]any{"Name": desk, "HealthPath": "/health", "MaxConnections": 100, "Protocol": "h1", "Tls": false},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": tenant, "ApiKeys": []string{apiKey}, "Priority": 1}},
	}
}

// kvTokens is the memory of a model worker.
const kvTokens = 315000
