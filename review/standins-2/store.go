package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// row is a row of the store.
type row struct {
	Table   string `json:"Table"`
	Part    string `json:"part"`
	Key     string `json:"Key"`
	Value   []byte `json:"Value,omitempty"`
	Ver     int64  `json:"Ver,omitempty"`
	Removed bool   `json:"Removed,omitempty"`
}

// rowID identifies a row.
type rowID struct{ table, part, key string }

// store is a stand-in of the platform's metadata store. It forgets no history.
type store struct {
	startedAt time.Time

	mu      sync.Mutex
	version int64
	rows    map[rowID]row // removed rows stay, marked
	changed chan struct{}

	nextBusy atomic.Bool // the next machine that gets an address is turned away
}

func newStore() *store {
	return &store{startedAt: time.Now(), rows: make(map[rowID]row), changed: make(chan struct{})}
}

// storeAccess is the way of one machine to the store.
type storeAccess struct {
	addr  string
	busy  atomic.Bool // the store turns the machine away with 503
	calls atomic.Int64
}

// listen opens an address of the store for one machine.
func (s *store) listen(w *world) (*storeAccess, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &storeAccess{addr: l.Addr().String()}
	a.busy.Store(s.nextBusy.Load())
	server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) { s.serve(a, rw, req) })}
	go func() { _ = server.Serve(l) }()
	w.onClose(server)
	return a, nil
}

// put writes a row with an empty part, encoded as JSON.
func (s *store) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // values are built in this program
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(row{Table: table, Key: key, Value: encoded})
}

// remove drops a row with an empty part.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(row{Table: table, Key: key, Removed: true})
}

// apply writes a row in a transaction of its own. s.mu must be held.
func (s *store) apply(r row) {
	s.version++
	r.Ver = s.version
	s.rows[rowID{r.Table, r.Part, r.Key}] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serve(a *storeAccess, rw http.ResponseWriter, req *http.Request) {
	a.calls.Add(1)
	if a.busy.Load() {
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch req.URL.Path {
	case "/rows-tx":
		s.transact(rw, req)
	case "/rows-get":
		s.read(rw, req)
	case "/rows-feed":
		s.feed(a, rw, req)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) transact(rw http.ResponseWriter, req *http.Request) {
	var tx struct{ ExpectedRev, Put, Remove []row }
	if err := json.NewDecoder(req.Body).Decode(&tx); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range tx.ExpectedRev {
		if held := s.rows[rowID{e.Table, e.Part, e.Key}]; !held.Removed && held.Ver != e.Ver || held.Removed && e.Ver != 0 {
			rw.WriteHeader(http.StatusPreconditionFailed)
			s.respond(rw, nil)
			return
		}
	}
	for _, r := range append(tx.Put, tx.Remove...) {
		if r.Table == "op" || r.Table == "servers" {
			rw.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, r := range tx.Put {
		s.apply(r)
	}
	for _, r := range tx.Remove {
		r.Removed, r.Value = true, nil
		s.apply(r)
	}
	s.respond(rw, nil)
}

// respond writes rows with the newest version. s.mu must be held.
func (s *store) respond(rw http.ResponseWriter, rows []row) {
	if rows == nil {
		rows = []row{}
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{ // fails only if the caller has disconnected
		"Rows": rows, "MorePages": false, "Ver": s.version, "NowMs": time.Since(s.startedAt).Milliseconds() + 1,
	})
}

// read serves a read of one part of a table, in one page: the cases have few rows.
func (s *store) read(rw http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for id, r := range s.rows {
		if id.table == query.Get("Table") && id.part == query.Get("part") && id.key >= query.Get("From") && !r.Removed {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	s.respond(rw, rows)
}

// feed serves the changes of a table after a version, and waits for one.
func (s *store) feed(a *storeAccess, rw http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	since, _ := strconv.ParseInt(query.Get("SinceRev"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("WaitMs"))
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		rows, changed := s.changesAfter(query.Get("Table"), since), s.changed
		if len(rows) > 0 {
			s.respond(rw, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
			continue
		case <-req.Context().Done():
			return
		case <-timeout:
		}
		if a.busy.Load() {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.mu.Lock()
		s.respond(rw, nil)
		s.mu.Unlock()
		return
	}
}

// changesAfter returns the rows of a table that changed after a version, in order. s.mu must be held.
func (s *store) changesAfter(table string, since int64) (rows []row) {
	for id, r := range s.rows {
		if id.table == table && r.Ver > since {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Ver < rows[j].Ver })
	return rows
}
