package fakes

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"foxtailmux/table"
)

// serve handles a request to the platform. Requests for the fault switches and
// the counters are served whatever faults are switched on.
func (p *Platform) serve(w http.ResponseWriter, r *http.Request) {
	path := r.URL.EscapedPath()
	switch path {
	case FaultsPath:
		p.serveFaults(w, r)
		return
	case CountersPath:
		writeJSON(w, http.StatusOK, p.Counters())
		return
	}

	p.applyFaults()
	switch {
	case path == table.TransactionPath && r.Method == http.MethodPost:
		p.serveTransaction(w, r)
	case path == table.ScanPath && r.Method == http.MethodGet:
		p.serveScan(w, r)
	case strings.HasPrefix(path, table.RowsPath) && r.Method == http.MethodGet:
		p.serveRow(w, r)
	case strings.HasPrefix(path, table.ObjectsPath):
		p.serveObject(w, r)
	case path == table.InstancesPath && r.Method == http.MethodGet:
		p.serveList(w, r)
	case strings.HasPrefix(path, workersPath):
		p.serveWorker(w, r)
	case strings.HasPrefix(path, entriesPath):
		p.serveEntry(w, r)
	default:
		http.Error(w, "no such path or method", http.StatusNotFound)
	}
}

// applyFaults delays or aborts a request according to the fault switches. It
// checks Down once more after the delay.
func (p *Platform) applyFaults() {
	faults := p.Faults()
	if faults.Down {
		abort()
	}
	if faults.SlowMillis == 0 {
		return
	}
	p.sleep(time.Duration(faults.SlowMillis) * time.Millisecond)
	if p.Faults().Down {
		abort()
	}
}

func (p *Platform) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-p.server.ctx.Done():
		abort()
	}
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	faults := p.Faults()
	if r.Method == http.MethodPost {
		if err := readJSON(r, &faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.SetFaults(faults)
	}
	writeJSON(w, http.StatusOK, faults)
}

func (p *Platform) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var tx table.Transaction
	if err := readJSON(r, &tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}

	p.beforeWrite()
	commit := p.rows.apply(tx)
	p.afterWrite()
	if commit.Committed {
		writeJSON(w, http.StatusOK, commit)
		return
	}
	p.conflicts.Add(1)
	writeJSON(w, http.StatusConflict, commit)
}

// beforeWrite waits until the limit on writes allows one more, and for WriteDelay.
func (p *Platform) beforeWrite() {
	if p.writeLimiter.Wait(p.server.ctx) != nil {
		abort()
	}
	if p.options.WriteDelay > 0 {
		p.sleep(p.options.WriteDelay)
	}
}

// afterWrite counts a write and aborts the request if a fault switch says that
// its response gets lost.
func (p *Platform) afterWrite() {
	p.writes.Add(1)
	if p.losesResponse() {
		p.lostResponses.Add(1)
		abort()
	}
}

// losesResponse reports whether the response to a write is to be withheld, and
// counts LoseResponses down if it is a number of writes.
func (p *Platform) losesResponse() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseResponses >= 1 {
		p.faults.LoseResponses = float64(int64(p.faults.LoseResponses) - 1)
		return true
	}
	return p.random.Float64() < p.faults.LoseResponses
}

// beforeRead waits until the limit on reads allows one more, and counts it.
func (p *Platform) beforeRead() {
	if p.readLimiter.Wait(p.server.ctx) != nil {
		abort()
	}
	p.reads.Add(1)
}

func (p *Platform) serveScan(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit := 0
	if text := query.Get("limit"); text != "" {
		var err error
		if limit, err = strconv.Atoi(text); err != nil {
			http.Error(w, "limit is not a number", http.StatusBadRequest)
			return
		}
	}

	p.beforeRead()
	writeJSON(w, http.StatusOK, p.rows.scan(query.Get("prefix"), query.Get("after"), limit))
}

func (p *Platform) serveRow(w http.ResponseWriter, r *http.Request) {
	key, ok := pathSuffix(r, table.RowsPath)
	if !ok {
		http.Error(w, "no key", http.StatusBadRequest)
		return
	}

	p.beforeRead()
	writeJSON(w, http.StatusOK, p.rows.get(key))
}
