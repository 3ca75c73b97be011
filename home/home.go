// Package home runs the tasks of a data centre's workers for the time that
// this instance is their home. A home starts tasks under leases and with a
// fencing token, so that a later home shuts it out, and it answers each job
// when it has ended.
package home

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"

	"foxtailmux/budget"
	"foxtailmux/learn"
	"foxtailmux/lease"
	"foxtailmux/model"
	"foxtailmux/plan"
)

// Endpoint sends orders to one worker, each once. An error that has a method
// Sent which returns false promises that nothing reached the worker.
type Endpoint interface {
	Start(s lease.Start, timeout time.Duration) (lease.Reply, error)
	Stop(s lease.Stop, timeout time.Duration) (lease.Reply, error)
	Renew(h lease.Renewal, timeout time.Duration) (lease.Report, error)
	Close()
}

// Observer counts what a home does.
type Observer interface {
	TaskStarted()
	Retried(reason string)
	QueueWait(d time.Duration)
}

// Options configure a Home. Connect returns the endpoint of a worker, which tells the
// time of answers that come after the time-out of their order. Link is the machine's,
// which all homes of the process share. Elsewhere returns the data centre that has most
// room, if one has room for that many thousandths of a core. OnFenced is
// called once, when a worker tells that it has a later home.
type Options struct {
	DataCentre     string
	Token          int64
	MaxLease       time.Duration
	Connect        func(w model.Worker, late func(took time.Duration)) Endpoint
	FreeDataCentre func(processor int) (dataCentre string, ok bool)
	OnFenced       func()
	Link           *plan.Link
	Observer       Observer
	Log            *log.Logger
}

const (
	// tick is the time between looks at deadlines, leases and progress. It is
	// small against the shortest objectives, which are about 150 ms.
	tick = 20 * time.Millisecond

	// reviewInterval is the time between looks whether the jobs that wait can
	// still be served; it is a fraction of the shortest objectives.
	reviewInterval = 60 * time.Millisecond

	// keepFinished is how long the outcome of a job is kept for a caller that
	// lost its answer and sends the job again; callers do so within 1.3 s.
	keepFinished = 4 * time.Second

	// maxFinished bounds the outcomes that are kept.
	maxFinished = 4096

	// runBits is the share of a run number below the fencing token: a home
	// that started a million runs a minute for a fortnight would exceed it.
	runBits = 24
)

// Home is the home of one data centre's workers.
type Home struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   conc.WaitGroup
	done    chan struct{}
	began   time.Time

	mu           sync.Mutex
	closed       bool
	fenced       bool
	partial      bool // workers may be missing on the list
	units        map[string]*unit
	jobs         map[string]*job
	waiting      map[*job]struct{} // jobs with tasks to start
	finished     map[string]finished
	orphans      map[string]lease.EndedRun // ends of runs of earlier homes, by task
	dispatchedAt time.Time
	behind       bool // the last tick came too late
	lag          time.Duration
	orphansAt    time.Time // when the last ones came
	lastRun      int64
	reviewedAt   time.Time
	typical      int                // claim of a task on processors, in thousandths of a core
	ratios       learn.Estimator    // run time over the declared one, by queue
	means        learn.Estimator    // run time, by queue
	answers      plan.ResponseTimes // of orders that don't wait at the worker
	repeats      *budget.Budget     // of starts without an answer
}

type finished struct {
	outcome Outcome
	at      time.Time
}

// New returns a home whose workers are still to be set, and starts it.
func New(o Options) *Home {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Home{
		options:  o,
		ctx:      ctx,
		cancel:   cancel,
		done:     make(chan struct{}),
		began:    time.Now(),
		units:    map[string]*unit{},
		jobs:     map[string]*job{},
		waiting:  map[*job]struct{}{},
		finished: map[string]finished{},
		orphans:  map[string]lease.EndedRun{},
		lastRun:  o.Token << runBits,
		repeats:  budget.New(repeatsPerAnswer),
	}
	h.spawn(h.run)
	return h
}

// Token returns the fencing token of the home.
func (h *Home) Token() int64 { return h.options.Token }

// Done is closed when every goroutine of a closed home has ended.
func (h *Home) Done() <-chan struct{} { return h.done }

// Close gives the workers up at once. Jobs in progress end as Moved; what runs
// is left to the next home or to the end of its lease.
func (h *Home) Close() {
	if !h.moveJobs() {
		return
	}
	h.cancel()
	go func() {
		defer close(h.done)
		h.tasks.Wait()
	}()
}

// moveJobs ends all jobs. It reports false for a home that was closed before.
func (h *Home) moveJobs() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	h.closed = true
	for _, j := range h.jobs {
		h.finish(j, j.tell(Outcome{Result: Moved, Reason: "the workers have another home"}))
	}
	return true
}

// SetWorkers replaces the workers of the home. Complete tells that no other
// worker can run what an earlier home started.
func (h *Home) SetWorkers(workers map[string]model.Worker, complete bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}

	now := time.Now()
	h.partial = h.partial || !complete
	for id, u := range h.units {
		if _, ok := workers[id]; !ok && !u.gone {
			u.gone = true
			h.options.Log.Info().Str("worker", id).Int("runs", u.book.Len()).Msg("worker left the list")
			u.wakeUp()
		}
	}
	for id, w := range workers {
		u := h.units[id]
		if u == nil || u.worker.Addr != w.Addr {
			h.replace(id, w)
			continue
		}
		if u.worker.State != w.State {
			h.options.Log.Info().Str("worker", id).Str("state", string(w.State)).Msg("worker changed its state")
		}
		u.worker, u.gone = w, false
		u.book.SetCapacity(w.Capacity)
	}
	h.dispatch(now)
}

// replace takes a worker into use, in place of one with its id elsewhere.
func (h *Home) replace(id string, w model.Worker) {
	if old := h.units[id]; old != nil {
		h.ended(old, old.book.EndAll(), time.Now())
		old.cancel()
	}
	u := newUnit(h, w)
	h.units[id] = u
	h.spawn(u.run)
}

// run looks at what is due until the home is closed.
func (h *Home) run() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case due := <-ticker.C:
			h.check(due)
		}
	}
}

func (h *Home) check(due time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	now := time.Now()
	h.noteLag(now.Sub(due))

	for id, u := range h.units {
		h.ended(u, u.book.ExpireRuns(now), now)
		u.checkProgress(now)
		if u.gone && u.book.Len() == 0 {
			u.cancel()
			delete(h.units, id)
		}
	}
	for _, j := range h.jobs {
		h.expire(j, now)
	}
	if now.Sub(h.reviewedAt) >= reviewInterval {
		h.reviewedAt = now
		h.review(now)
	}
	for id, f := range h.finished {
		if now.Sub(f.at) > keepFinished {
			delete(h.finished, id)
		}
	}
	if now.Sub(h.orphansAt) > keepFinished {
		clear(h.orphans)
	}
	if len(h.waiting) > 0 {
		h.dispatch(now)
	}
}

// maxLag is how late a tick may come until new jobs are refused. A process that
// is further behind answers all jobs late, and each further one makes it worse.
const maxLag = 100 * time.Millisecond

func (h *Home) noteLag(lag time.Duration) {
	h.lag = plan.UpdateLag(h.lag, lag)
	if behind := lag > maxLag; behind != h.behind {
		h.behind = behind
		h.options.Log.Warn().Bool("behind", behind).Int64("lagMillis", lag.Milliseconds()).Int("jobs", len(h.jobs)).
			Int("waitingJobs", len(h.waiting)).Msg("processor is short")
	}
}

// spawn runs a function in a goroutine of the home. One that panics gives the home up:
// the next one learns from the workers what runs.
func (h *Home) spawn(f func()) {
	h.tasks.Go(func() {
		recovered := panics.Try(f)
		if recovered == nil {
			return
		}
		h.options.Log.Error().Err(recovered.AsError()).Str("home", h.options.DataCentre).Msg("home panicked and is given up")
		go h.options.OnFenced()
	})
}

// fence gives the home up after a worker told of a later one.
func (h *Home) fence(worker string) {
	if h.fenced {
		return
	}
	h.fenced = true
	h.options.Log.Warn().Str("home", h.options.DataCentre).Str("worker", worker).
		Int64("token", h.options.Token).Msg("a worker has a later home")
	go h.options.OnFenced()
}

func (h *Home) nextRun() int64 {
	h.lastRun++
	return h.lastRun
}

func draw() float64 { return rand.Float64() }
