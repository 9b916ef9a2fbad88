package soak

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// storeMode tells how the store treats calls.
type storeMode int

const (
	storeServes  storeMode = iota
	storeRefuses           // 503 at once
	storeSilent            // no answer while it lasts
)

type row struct {
	Table   string `json:"Table"`
	Part    string `json:"part"`
	Key     string `json:"Key"`
	Value   []byte `json:"Value,omitempty"`
	Version int64  `json:"Ver,omitempty"`
	Removed bool   `json:"Removed,omitempty"`
}

// store is a stand-in of the platform's metadata store.
type store struct {
	startedAt time.Time

	mu      sync.Mutex
	mode    storeMode
	version int64
	rows    map[string]row // by table and key; removed rows stay, marked
	changed chan struct{}  // closed at each change, also of the mode
}

func newStore() *store {
	return &store{startedAt: time.Now(), rows: make(map[string]row), changed: make(chan struct{})}
}

func (s *store) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // values are defined in this package
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Value: encoded})
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Removed: true})
}

func (s *store) write(r row) {
	s.version++
	r.Version = s.version
	s.rows[r.Table+"/"+r.Key] = r
	s.announce()
}

func (s *store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setMode(mode storeMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
	s.announce()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if !s.admit(w, req) {
		return
	}
	query := req.URL.Query()
	switch req.URL.Path {
	case "/rows-tx":
		s.transact(w, req)
	case "/rows-get":
		s.respond(w, query.Get("Table"), -1)
	case "/rows-feed":
		since, _ := strconv.ParseInt(query.Get("SinceRev"), 10, 64)
		ms, _ := strconv.Atoi(query.Get("WaitMs"))
		s.awaitChange(req, query.Get("Table"), since, time.Duration(ms)*time.Millisecond)
		if s.admit(w, req) {
			s.respond(w, query.Get("Table"), since)
		}
	default:
		http.NotFound(w, req)
	}
}

// admit reports whether a call is served now.
func (s *store) admit(w http.ResponseWriter, req *http.Request) bool {
	s.mu.Lock()
	mode := s.mode
	s.mu.Unlock()
	switch mode {
	case storeRefuses:
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	case storeSilent:
		<-req.Context().Done()
		return false
	}
	return true
}

func (s *store) transact(w http.ResponseWriter, req *http.Request) {
	var writes struct{ Put, Remove []row }
	if err := json.NewDecoder(req.Body).Decode(&writes); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	for _, r := range writes.Put {
		s.write(r)
	}
	for _, r := range writes.Remove {
		r.Removed = true
		s.write(r)
	}
	s.mu.Unlock()
	_, _ = w.Write([]byte("{}"))
}

// page returns the rows of a table after a version; a full read (-1) returns no removed rows.
func (s *store) page(table string, since int64) (rows []row, version int64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.rows {
		if r.Table == table && r.Version > since && (since >= 0 || !r.Removed) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return int(a.Version - b.Version) })
	return rows, s.version, s.changed
}

func (s *store) awaitChange(req *http.Request, table string, since int64, wait time.Duration) {
	timeout := time.After(wait)
	for {
		rows, _, changed := s.page(table, since)
		if len(rows) > 0 {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			return
		case <-req.Context().Done():
			return
		}
	}
}

func (s *store) respond(w http.ResponseWriter, table string, since int64) {
	rows, version, _ := s.page(table, since)
	_ = json.NewEncoder(w).Encode(map[string]any{"Rows": rows, "Ver": version, // fails only if the gateway has disconnected
		"NowMs": time.Since(s.startedAt).Milliseconds() + 1})
}
