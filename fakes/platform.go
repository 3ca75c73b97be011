package fakes

import (
	"bytes"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"foxtailmux/model"
	"foxtailmux/table"
)

// Paths of the stand-ins that serve only tests and operators of tests.
// InstancesPath plus workers/{id} or entries/{id} takes PUT and DELETE.
const (
	FaultsPath   = "/faults"   // GET, POST: the fault switches; a POST changes the fields that it names
	CountersPath = "/counters" // GET: Counters of the platform
	EventsPath   = "/events"   // GET: EventPage of a worker

	workersPath = table.InstancesPath + "/workers/"
	entriesPath = table.InstancesPath + "/entries/"
)

// PlatformOptions are the settings of a platform stand-in. The zero value
// listens on a port of the kernel's choice and has no delays or limits.
type PlatformOptions struct {
	Addr            string        // IP and port
	Seed            uint64        // of the random choices of LoseAnswers
	WriteDelay      time.Duration // time of a synced write
	ReadsPerSecond  float64       // 0 means no limit
	WritesPerSecond float64       // 0 means no limit
	Faults          PlatformFaults
}

// PlatformFaults are the fault switches of a platform stand-in.
type PlatformFaults struct {
	// Down closes every connection without an effect or an answer.
	Down bool `json:"down"`

	// SlowMillis delays each request before it takes effect.
	SlowMillis int64 `json:"slowMillis"`

	// LoseAnswers makes writes take effect and then closes the connection
	// without an answer. Below 1 it is the share of writes, else the number
	// of writes that are still to be hit.
	LoseAnswers float64 `json:"loseAnswers"`

	// ListLagMillis is how far the list of instances lags behind.
	ListLagMillis int64 `json:"listLagMillis"`

	// ListDown closes the connections of requests for the list.
	ListDown bool `json:"listDown"`

	// EmptyList answers requests for the list with an empty one.
	EmptyList bool `json:"emptyList"`

	// CorruptObjects changes a byte of each object that is read.
	CorruptObjects bool `json:"corruptObjects"`
}

// Counters counts the requests to a platform stand-in that took effect.
type Counters struct {
	Reads         int64 `json:"reads"`
	Writes        int64 `json:"writes"`
	Conflicts     int64 `json:"conflicts"`
	LostAnswers   int64 `json:"lostAnswers"`
	ListReads     int64 `json:"listReads"`
	Registrations int64 `json:"registrations"`
}

// Platform is a stand-in for the platform's services.
type Platform struct {
	options   PlatformOptions
	listener  *listener
	server    *server
	rows      *rows
	instances *instances
	reading   *rate.Limiter
	writing   *rate.Limiter

	mu      sync.Mutex
	faults  PlatformFaults
	objects map[string][]byte
	random  *rand.Rand

	reads, writes, conflicts, lost, listReads, registrations atomic.Int64
}

// StartPlatform starts a platform stand-in. It fails with KindListen when
// the address can't be bound.
func StartPlatform(options PlatformOptions) (*Platform, error) {
	l, err := listen(options.Addr, 0)
	if err != nil {
		return nil, err
	}

	p := &Platform{
		options:   options,
		listener:  l,
		rows:      newRows(),
		instances: newInstances(),
		reading:   limiter(options.ReadsPerSecond),
		writing:   limiter(options.WritesPerSecond),
		faults:    options.Faults,
		objects:   map[string][]byte{},
		random:    rand.New(rand.NewPCG(options.Seed, 0)),
	}
	p.server = startServer(http.HandlerFunc(p.serve), l)
	return p, nil
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// Addr returns the IP and port that the platform listens on.
func (p *Platform) Addr() string {
	return p.listener.Addr().String()
}

// Close stops the platform at once and waits for its end.
func (p *Platform) Close() {
	p.server.close()
}

// Done is closed when the platform has ended.
func (p *Platform) Done() <-chan struct{} {
	return p.server.done
}

// Faults returns the fault switches.
func (p *Platform) Faults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces the fault switches.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Counters returns the counts of requests.
func (p *Platform) Counters() Counters {
	return Counters{
		Reads:         p.reads.Load(),
		Writes:        p.writes.Load(),
		Conflicts:     p.conflicts.Load(),
		LostAnswers:   p.lost.Load(),
		ListReads:     p.listReads.Load(),
		Registrations: p.registrations.Load(),
	}
}

// PutWorker adds a worker to the list or replaces it.
func (p *Platform) PutWorker(w model.Worker) {
	p.registrations.Add(1)
	p.instances.putWorker(w)
}

// PutEntry adds an entry instance to the list or replaces it.
func (p *Platform) PutEntry(e model.Entry) {
	p.registrations.Add(1)
	p.instances.putEntry(e)
}

// RemoveWorker removes a worker from the list.
func (p *Platform) RemoveWorker(id string) {
	p.instances.removeWorker(id)
}

// RemoveEntry removes an entry instance from the list.
func (p *Platform) RemoveEntry(id string) {
	p.instances.removeEntry(id)
}

// Row returns a row of the table; an absent row has version 0.
func (p *Platform) Row(key string) table.Row {
	return p.rows.get(key)
}

// PutObject stores an object.
func (p *Platform) PutObject(name string, content []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[name] = bytes.Clone(content)
}

func (p *Platform) object(name string) ([]byte, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	content, ok := p.objects[name]
	return content, ok
}

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

	p.hinder()
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
		p.serveList(w)
	case strings.HasPrefix(path, workersPath):
		p.serveWorker(w, r)
	case strings.HasPrefix(path, entriesPath):
		p.serveEntry(w, r)
	default:
		http.Error(w, "no such path or method", http.StatusNotFound)
	}
}

// hinder delays or aborts a request as the switches say. A switch that is
// turned on during the delay holds too.
func (p *Platform) hinder() {
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

func (p *Platform) beforeWrite() {
	if p.writing.Wait(p.server.ctx) != nil {
		abort()
	}
	if p.options.WriteDelay > 0 {
		p.sleep(p.options.WriteDelay)
	}
}

// afterWrite counts a write and aborts the request when its answer is to be
// lost.
func (p *Platform) afterWrite() {
	p.writes.Add(1)
	if p.loses() {
		p.lost.Add(1)
		abort()
	}
}

func (p *Platform) loses() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseAnswers >= 1 {
		p.faults.LoseAnswers = float64(int64(p.faults.LoseAnswers) - 1)
		return true
	}
	return p.random.Float64() < p.faults.LoseAnswers
}

func (p *Platform) beforeRead() {
	if p.reading.Wait(p.server.ctx) != nil {
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
	key, ok := lastElement(r, table.RowsPath)
	if !ok {
		http.Error(w, "no key", http.StatusBadRequest)
		return
	}

	p.beforeRead()
	writeJSON(w, http.StatusOK, p.rows.get(key))
}

func (p *Platform) serveObject(w http.ResponseWriter, r *http.Request) {
	name, ok := lastElement(r, table.ObjectsPath)
	if !ok {
		http.Error(w, "no name", http.StatusBadRequest)
		return
	}
	switch r.Method {
	case http.MethodPut:
		p.storeObject(w, r, name)
	case http.MethodGet:
		p.loadObject(w, name)
	default:
		http.Error(w, "GET or PUT", http.StatusMethodNotAllowed)
	}
}

func (p *Platform) storeObject(w http.ResponseWriter, r *http.Request, name string) {
	content, err := readBody(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}

	p.beforeWrite()
	p.PutObject(name, content)
	p.afterWrite()
	w.WriteHeader(http.StatusOK)
}

func (p *Platform) loadObject(w http.ResponseWriter, name string) {
	p.beforeRead()
	content, ok := p.object(name)
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	if p.Faults().CorruptObjects {
		content = corrupt(content)
	}
	w.Write(content)
}

func corrupt(content []byte) []byte {
	if len(content) == 0 {
		return []byte{0xff}
	}
	content = bytes.Clone(content)
	content[len(content)/2] ^= 0x01
	return content
}

func (p *Platform) serveList(w http.ResponseWriter) {
	faults := p.Faults()
	if faults.ListDown {
		abort()
	}

	p.listReads.Add(1)
	if faults.EmptyList {
		writeJSON(w, http.StatusOK, emptyList())
		return
	}
	lag := time.Duration(faults.ListLagMillis) * time.Millisecond
	writeJSON(w, http.StatusOK, p.instances.at(time.Now().Add(-lag)))
}

func (p *Platform) serveWorker(w http.ResponseWriter, r *http.Request) {
	var worker model.Worker
	serveInstance(w, r, workersPath, &worker, p.RemoveWorker, func(id string) {
		worker.ID = id
		p.PutWorker(worker)
	})
}

func (p *Platform) serveEntry(w http.ResponseWriter, r *http.Request) {
	var entry model.Entry
	serveInstance(w, r, entriesPath, &entry, p.RemoveEntry, func(id string) {
		entry.ID = id
		p.PutEntry(entry)
	})
}

func serveInstance(w http.ResponseWriter, r *http.Request, prefix string, body any, remove, put func(id string)) {
	id, ok := lastElement(r, prefix)
	if !ok {
		http.Error(w, "no id", http.StatusBadRequest)
		return
	}
	switch r.Method {
	case http.MethodDelete:
		remove(id)
	case http.MethodPut:
		if err := readJSON(r, body); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		put(id)
	default:
		http.Error(w, "PUT or DELETE", http.StatusMethodNotAllowed)
		return
	}
	w.WriteHeader(http.StatusOK)
}
