package fakes

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"foxtailmux/model"
	"foxtailmux/table"
)

// Paths that exist only in the stand-ins, for tests and their operators. The
// platform accepts PUT and DELETE on workersPath and entriesPath plus an id.
const (
	FaultsPath   = "/faults"   // GET, POST: the fault switches; a POST changes only the fields in its body
	CountersPath = "/counters" // GET: Counters of the platform
	EventsPath   = "/events"   // GET: EventPage of a worker

	workersPath = table.InstancesPath + "/workers/"
	entriesPath = table.InstancesPath + "/entries/"
)

// PlatformOptions are the settings of a platform stand-in. The zero value
// listens on a free port of 127.0.0.1 and has no delays or limits.
type PlatformOptions struct {
	Addr            string        // IP and port
	Seed            uint64        // of the random choices for LoseResponses
	WriteDelay      time.Duration // added to each write, as a synced write takes it
	ReadsPerSecond  float64       // 0 means no limit
	WritesPerSecond float64       // 0 means no limit
	Faults          PlatformFaults
}

// PlatformFaults are the fault switches of a platform stand-in.
type PlatformFaults struct {
	// Down closes the connection of each request without executing it.
	Down bool `json:"down"`

	// SlowMillis delays the execution of each request, in milliseconds.
	SlowMillis int64 `json:"slowMillis"`

	// LoseResponses executes writes and then closes the connection without a
	// response. Below 1 it is the share of the affected writes, else the
	// number of writes that it will still affect.
	LoseResponses float64 `json:"loseAnswers"`

	// ListLagMillis is the age of the list of instances that is served, in
	// milliseconds.
	ListLagMillis int64 `json:"listLagMillis"`

	// ListDown closes the connection of each request for the list.
	ListDown bool `json:"listDown"`

	// EmptyList serves an empty list.
	EmptyList bool `json:"emptyList"`

	// CorruptObjects changes one byte of each object that is read.
	CorruptObjects bool `json:"corruptObjects"`
}

// Counters counts the requests that a platform stand-in executed. LostResponses
// are the writes whose response was withheld by LoseResponses.
type Counters struct {
	Reads         int64 `json:"reads"`
	Writes        int64 `json:"writes"`
	Conflicts     int64 `json:"conflicts"`
	LostResponses int64 `json:"lostAnswers"`
	ListReads     int64 `json:"listReads"`
	Registrations int64 `json:"registrations"`
}

// Platform is a stand-in for the platform's services: the transactional table,
// the object store and the list of instances.
type Platform struct {
	options      PlatformOptions
	listener     *listener
	server       *server
	rows         *rows
	instances    *instanceHistory
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter

	mu      sync.Mutex
	faults  PlatformFaults
	objects map[string][]byte
	random  *rand.Rand

	reads, writes, conflicts, lostResponses, listReads, registrations atomic.Int64
}

// StartPlatform starts a platform stand-in. It fails with KindListen when
// the address can't be bound.
func StartPlatform(options PlatformOptions) (*Platform, error) {
	l, err := listen(options.Addr, 0)
	if err != nil {
		return nil, err
	}

	p := &Platform{
		options:      options,
		listener:     l,
		rows:         newRows(),
		instances:    newInstanceHistory(),
		readLimiter:  newLimiter(options.ReadsPerSecond),
		writeLimiter: newLimiter(options.WritesPerSecond),
		faults:       options.Faults,
		objects:      map[string][]byte{},
		random:       rand.New(rand.NewPCG(options.Seed, 0)),
	}
	p.server = startServer(http.HandlerFunc(p.serve), l)
	return p, nil
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// Addr returns the IP and port that the platform listens on.
func (p *Platform) Addr() string {
	return p.listener.Addr().String()
}

// Close stops the platform at once and waits until it has ended.
func (p *Platform) Close() {
	p.server.close()
}

// Done returns a channel that is closed when the platform has ended.
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
		LostResponses: p.lostResponses.Load(),
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
