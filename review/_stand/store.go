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

// txTime is the time that a transaction takes, and readTime that of a read.
const (
	txTime   = 6 * time.Millisecond
	readTime = 2 * time.Millisecond
	maxRows  = 500
)

// row is a row of the store on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	addr    string
	mu      sync.Mutex
	rows    map[[3]string]row
	history []row
	version int64
	changed chan struct{}
	began   time.Time
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: l.Addr().String(), rows: map[[3]string]row{}, changed: make(chan struct{}), began: time.Now()}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put writes a row as the operator or a worker does, and returns when it is acknowledged.
func (s *store) put(table, key string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Value: body})
	s.wake()
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Deleted: true})
	s.wake()
}

// get returns the value of a row, nil if there is none.
func (s *store) get(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[[3]string{table, "", key}].Value
}

func (s *store) set(r row) {
	r.Version = s.version
	s.history = append(s.history, r)
	id := [3]string{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, id)
		return
	}
	s.rows[id] = r
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/rows-get":
		time.Sleep(readTime)
		limit, _ := strconv.Atoi(q.Get("max-items"))
		s.list(w, q.Get("table"), q.Get("part"), q.Get("from"), q.Get("target"), limit)
	case "/-/rows-feed":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait-ms"))
		s.feed(w, r, q.Get("table"), after, time.Duration(min(wait, 30_000))*time.Millisecond)
	case "/-/rows-tx":
		s.commit(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// respond sends a response with the given version.
func (s *store) respond(w http.ResponseWriter, status int, rows []row, more bool, version int64) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "has-more": more, "ver": version, "now-ms": time.Since(s.began).Milliseconds(),
	})
}

func (s *store) list(w http.ResponseWriter, table, part, from, target string, limit int) {
	if limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	var found []row
	for _, r := range s.rows {
		if r.Table == table && r.Part == part && r.Key >= from && (target == "" || r.Key < target) {
			found = append(found, r)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(found, func(i, k int) bool { return found[i].Key < found[k].Key })
	more := len(found) > limit
	if more {
		found = found[:limit]
	}
	s.respond(w, http.StatusOK, found, more, version)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, table string, after int64, wait time.Duration) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		var found []row
		version := s.version
		for _, h := range s.history {
			if h.Table == table && h.Version > after {
				found = append(found, h)
			}
		}
		next := s.changed
		s.mu.Unlock()
		if len(found) > maxRows {
			found = found[:maxRows]
			version = found[maxRows-1].Version
		}
		if len(found) > 0 {
			s.respond(w, http.StatusOK, found, false, version)
			return
		}
		select {
		case <-next:
		case <-deadline:
			s.respond(w, http.StatusOK, nil, false, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Conditions []row `json:"if-rev"`
		Puts       []row `json:"puts"`
		Removes    []row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range append(append([]row{}, t.Puts...), t.Removes...) {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	time.Sleep(txTime)
	s.mu.Lock()
	var conflicts []row
	for _, c := range t.Conditions {
		id := [3]string{c.Table, c.Part, c.Key}
		if present := s.rows[id]; present.Version != c.Version {
			present.Table, present.Part, present.Key = c.Table, c.Part, c.Key
			conflicts = append(conflicts, present)
		}
	}
	if len(conflicts) == 0 {
		s.version++
		for _, p := range t.Puts {
			p.Deleted = false
			s.set(p)
		}
		for _, p := range t.Removes {
			p.Deleted = true
			s.set(p)
		}
		s.wake()
	}
	version := s.version
	s.mu.Unlock()
	if len(conflicts) > 0 {
		s.respond(w, http.StatusPreconditionFailed, conflicts, false, version)
		return
	}
	s.respond(w, http.StatusOK, nil, false, version)
}
