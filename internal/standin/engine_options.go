package standin

import (
	"time"
)

// EngineOptions configures a model engine. Zero values take the defaults.
type EngineOptions struct {
	Addr          string        // address in KV handles; default: the endpoint's name
	KVCapacity    int           // tokens; default 400,000
	PrefillRate   float64       // tokens per second, without the fixed step time; default 25,000
	StepTime      time.Duration // fixed part of each step; default 10 ms
	ChunkTokens   int           // prefill tokens per step; default 512
	MaxBatch      int           // streams that decode in one step; default 256
	MaxTokens     int           // length limit of an answer; default 256
	ImportRate    float64       // tokens per second of KV read from another engine; default 1,000,000
	ImportWindow  int           // tokens of imported KV held at a time; default 4,096
	LoadTime      time.Duration // per set of weights; default 1 s
	RestartTime   time.Duration // after a crash; default 2 s
	LoadLag       time.Duration // largest age of a report; default 200 ms
	CacheEventLag time.Duration // delay of cache events; default 500 ms
	KeepFinished  time.Duration // how long a finished stream can be resumed; default 30 s
	IgnoreFencing bool          // accept orders with an outdated fencing token
}

func (o EngineOptions) withDefaults() EngineOptions {
	return EngineOptions{
		KVCapacity: DefaultKVCapacity, PrefillRate: DefaultPrefillRate, StepTime: DefaultStepTime,
		ChunkTokens: DefaultChunkTokens, MaxBatch: DefaultMaxBatch, MaxTokens: DefaultMaxTokens,
		ImportRate: DefaultImportRate, ImportWindow: DefaultImportWindow, LoadTime: DefaultLoadTime,
		RestartTime: DefaultRestartTime, LoadLag: DefaultLoadLag, CacheEventLag: DefaultCacheEventLag,
		KeepFinished: DefaultKeepFinished,
	}.override(o)
}

// override returns o with the non-zero fields of overrides applied.
func (o EngineOptions) override(overrides EngineOptions) EngineOptions {
	return EngineOptions{
		Addr:          orDefault(overrides.Addr, o.Addr),
		KVCapacity:    orDefault(overrides.KVCapacity, o.KVCapacity),
		PrefillRate:   orDefault(overrides.PrefillRate, o.PrefillRate),
		StepTime:      orDefault(overrides.StepTime, o.StepTime),
		ChunkTokens:   orDefault(overrides.ChunkTokens, o.ChunkTokens),
		MaxBatch:      orDefault(overrides.MaxBatch, o.MaxBatch),
		MaxTokens:     orDefault(overrides.MaxTokens, o.MaxTokens),
		ImportRate:    orDefault(overrides.ImportRate, o.ImportRate),
		ImportWindow:  orDefault(overrides.ImportWindow, o.ImportWindow),
		LoadTime:      orDefault(overrides.LoadTime, o.LoadTime),
		RestartTime:   orDefault(overrides.RestartTime, o.RestartTime),
		LoadLag:       orDefault(overrides.LoadLag, o.LoadLag),
		CacheEventLag: orDefault(overrides.CacheEventLag, o.CacheEventLag),
		KeepFinished:  orDefault(overrides.KeepFinished, o.KeepFinished),
		IgnoreFencing: overrides.IgnoreFencing || o.IgnoreFencing,
	}
}
