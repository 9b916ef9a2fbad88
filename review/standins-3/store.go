package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store.
type row struct {
	Table   string
	Part    string `json:"part"`
	Key     string
	Value   []byte `json:",omitempty"`
	Ver     int64
	Removed bool `json:",omitempty"`
}

// store is a stand-in of the platform's store. It keeps its whole history.
type store struct {
	addr   string
	server *http.Server
	began  time.Time

	mu      sync.Mutex
	version int64
	rows    map[[3]string]row
	changed chan struct{}
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: l.Addr().String(), began: time.Now(), rows: map[[3]string]row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/rows-get", s.get)
	mux.HandleFunc("/rows-feed", s.feed)
	mux.HandleFunc("/rows-tx", s.transact)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes a row, and returns when the store has accepted it.
func (s *store) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	must(err)
	s.apply([]row{{Table: table, Key: key, Value: encoded}})
}

func (s *store) remove(table, key string) { s.apply([]row{{Table: table, Key: key, Removed: true}}) }

func (s *store) apply(changes []row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLocked(changes)
}

func (s *store) applyLocked(changes []row) {
	s.version++
	for _, r := range changes {
		r.Ver = s.version
		s.rows[[3]string{r.Table, r.Part, r.Key}] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, rows []row, more bool) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"Rows": rows, "MorePages": more, "Ver": s.version,
		"NowMs": time.Since(s.began).Milliseconds() + 1})
}

const pageRows = 500

func (s *store) get(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	limit, err := strconv.Atoi(q.Get("Limit"))
	if err != nil || limit <= 0 || limit > pageRows {
		limit = pageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for _, r := range s.rows {
		to := q.Get("Target")
		if r.Table == q.Get("Table") && r.Part == q.Get("part") && !r.Removed && r.Key >= q.Get("From") && (to == "" || r.Key < to) {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	s.answer(w, rows[:min(limit, len(rows))], more)
}

func (s *store) feed(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	since, err := strconv.ParseInt(q.Get("SinceRev"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for waited := false; ; {
		s.mu.Lock()
		rows := []row{}
		for _, r := range s.rows {
			if r.Table == q.Get("Table") && r.Ver > since {
				rows = append(rows, r)
			}
		}
		if len(rows) > 0 || waited {
			sort.Slice(rows, func(i, j int) bool { return rows[i].Ver < rows[j].Ver })
			s.answer(w, rows, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			waited = true
		case <-req.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, req *http.Request) {
	var tx struct{ ExpectedRev, Put, Remove []row }
	if err := json.NewDecoder(req.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, want := range tx.ExpectedRev {
		have := s.rows[[3]string{want.Table, want.Part, want.Key}]
		if have.Removed {
			have = row{}
		}
		if have.Ver != want.Ver {
			w.WriteHeader(http.StatusPreconditionFailed)
			s.answer(w, []row{}, false)
			return
		}
	}
	for i := range tx.Remove {
		tx.Remove[i].Removed = true
	}
	for _, r := range append(tx.Put, tx.Remove...) {
		if r.Table == "op" || r.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.applyLocked(append(tx.Put, tx.Remove...))
	s.answer(w, []row{}, false)
}
