package standin

import (
	"time"
)

// EngineOptions configures a model engine. Zero values take the defaults.
type EngineOptions struct {
	Addr          string        // address in KV handles; default: the endpoint's name
	KVCapacity    int           // tokens; default 400,000
	PrefillRate   float64       // tokens per second within a step; default 25,000
	StepTime      time.Duration // fixed part of each step; default 10 ms
	ChunkTokens   int           // prefill tokens per step; default 512
	MaxBatch      int           // streams that decode in one step; default 256
	MaxTokens     int           // length at which an answer ends by itself; default 256
	ImportRate    float64       // tokens per second of KV read from another engine; default 1,000,000
	ImportWindow  int           // tokens of imported KV held at a time; default 4,096
	LoadTime      time.Duration // per set of weights; default 1 s
	RestartTime   time.Duration // after a crash; default 2 s
	LoadLag       time.Duration // largest age of a report; default 200 ms
	CacheEventLag time.Duration // delay of cache events; default 500 ms
	KeepFinished  time.Duration // how long a finished stream can be resumed; default 30 s
	IgnoreFencing bool          // take orders with an old fencing token
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

// override returns o with the non-zero values of w.
func (o EngineOptions) override(w EngineOptions) EngineOptions {
	return EngineOptions{
		Addr:          orDefault(w.Addr, o.Addr),
		KVCapacity:    orDefault(w.KVCapacity, o.KVCapacity),
		PrefillRate:   orDefault(w.PrefillRate, o.PrefillRate),
		StepTime:      orDefault(w.StepTime, o.StepTime),
		ChunkTokens:   orDefault(w.ChunkTokens, o.ChunkTokens),
		MaxBatch:      orDefault(w.MaxBatch, o.MaxBatch),
		MaxTokens:     orDefault(w.MaxTokens, o.MaxTokens),
		ImportRate:    orDefault(w.ImportRate, o.ImportRate),
		ImportWindow:  orDefault(w.ImportWindow, o.ImportWindow),
		LoadTime:      orDefault(w.LoadTime, o.LoadTime),
		RestartTime:   orDefault(w.RestartTime, o.RestartTime),
		LoadLag:       orDefault(w.LoadLag, o.LoadLag),
		CacheEventLag: orDefault(w.CacheEventLag, o.CacheEventLag),
		KeepFinished:  orDefault(w.KeepFinished, o.KeepFinished),
		IgnoreFencing: w.IgnoreFencing || o.IgnoreFencing,
	}
}
