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
	Seed            uint64        // of the random choices of LoseResponses
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

	// LoseResponses makes writes take effect and then closes the connection
	// without an answer. Below 1 it is the share of writes, else the number
	// of writes that are still to be hit.
	LoseResponses float64 `json:"loseAnswers"`

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
	LostResponses int64 `json:"lostAnswers"`
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
		LostResponses: p.lost.Load(),
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
