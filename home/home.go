// Package home runs the tasks on the workers of a data centre while this instance is their
// home: the one entry instance that at present owns the workers and alone starts tasks on them
// (an elected leader). A home starts tasks under leases and with a fencing token, so that
// workers refuse its requests once there is a later home, and it returns the outcome of each
// job when the job has ended.
//
// The origin of a job is the instance that holds the connection of the job's caller. The origin
// submits the job to the home, and submits it again to a later home if there is one.
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
	"foxtailmux/drain"
	"foxtailmux/learn"
	"foxtailmux/lease"
	"foxtailmux/model"
	"foxtailmux/pause"
	"foxtailmux/plan"
	"foxtailmux/share"
	"foxtailmux/speed"
)

// Endpoint sends requests to one worker, each at most once. An error with a method Sent that
// returns false guarantees that no part of the request reached the worker. Close closes the idle
// connections; later requests open new ones.
type Endpoint interface {
	Start(s lease.Start, timeout time.Duration) (lease.Reply, error)
	Stop(s lease.Stop, timeout time.Duration) (lease.Reply, error)
	Renew(r lease.Renewal, timeout time.Duration) (lease.Report, error)
	Close()
}

// Observer counts events of a home. Retried is called with the reason why a run is repeated,
// QueueWait with the time that a task waited for its start, and TaskPlaced for the start of each task
// whose data are in a rack: whether it is near them, and whether it was held for such a place.
// WorkerFactors is called once a second with the learned factors on the run times of the workers, by
// kind, and with nil when the home is closed; it is not called by a home that learns none.
type Observer interface {
	TaskStarted()
	Retried(reason string)
	QueueWait(d time.Duration)
	TaskPlaced(near, held bool)
	WorkerFactors(home string, factors map[string]float64)
}

// Options configure a Home. Token is its fencing token, and MaxLease the length of the leases
// that it grants. Connect returns the endpoint of a worker; the endpoint calls late with the
// time of each response that arrives after its timeout, less the time that a renewal was to wait
// at the worker. Link is the network link of this machine, shared by all homes of the process.
// FreeDataCentre returns the other data centre with the most free capacity, if that is enough
// for an amount of CPU in thousandths of a core. OnFenced is called once when a worker reports
// that there is a later home or the home has stood still, and besides whenever a goroutine of the
// home panics. RefreshWorkers requests that SetWorkers be called soon, and must not block or call
// the home. Shares makes the home divide the capacity of a service over its queues while it is
// short. LastMessage returns when an incarnation of an instance was last heard, and the zero time
// for one that has a successor; after OriginTimeout without a message the jobs of an origin are
// cancelled. ResubmitDelay is the time after which a caller without a response submits its job again; with 0, runs may
// outlive the last message of their origin for any time. Drained, which may be nil, returns the operator's request to drain the data centre; it must
// not call the home. FarFactor is how many times as long a task takes on a worker outside the rack of its data; 0
// and 1 mean that it makes no difference. LearnSpeeds makes the home learn how fast each worker runs tasks.
// First reports that the data centre has had no home before, whose runs might be left. ConfirmedAt returns a time at which the store named this home, the latest that is known; it must not call the home,
// and nil stands for a store that always does. Confirm asks the store for that; it must not block or call the home.
// Clock returns the time since boot, suspensions included; the default is pause.SinceBoot.
type Options struct {
	DataCentre     string
	Token          int64
	First          bool
	MaxLease       time.Duration
	Connect        func(w model.Worker, late func(took time.Duration)) Endpoint
	FreeDataCentre func(milliCores int) (dataCentre string, ok bool)
	OnFenced       func()
	RefreshWorkers func()
	ConfirmedAt    func() time.Time
	Confirm        func()
	LastMessage    func(instance, incarnation string) time.Time
	OriginTimeout  time.Duration
	ResubmitDelay  time.Duration
	Drained        func() (drain.Request, bool)
	FarFactor      float64
	LearnSpeeds    bool
	Link           *plan.Link
	Clock          func() time.Duration
	Shares         bool
	Observer       Observer
	Log            *log.Logger
}

// MaxTickGap is the longest time between two ticks after which a home goes on. Another instance
// takes it over after beat.HeartbeatTimeout, which is slightly longer.
const MaxTickGap = 900 * time.Millisecond

const (
	// tickInterval is the time between checks of deadlines, leases and progress. It is small
	// against the shortest objectives, which are about 150 ms.
	tickInterval = 20 * time.Millisecond

	// reviewInterval is the time between checks whether the waiting jobs can still end in time.
	// It is a fraction of the shortest objectives.
	reviewInterval = 60 * time.Millisecond

	// outcomeRetention is how long the outcome of a job is kept for an origin that lost the
	// response and submits the job again, which happens within 1.3 s.
	outcomeRetention = 4 * time.Second

	// maxKeptOutcomes bounds the number of kept outcomes.
	maxKeptOutcomes = 4096

	// cancelRetention is how long the cancel of a submission that has not arrived is kept. The
	// submission is under way for less, or refused for its age.
	cancelRetention = 4 * time.Second

	// inheritanceWindow is the time after its start in which a home finds runs of an earlier home that
	// are not adopted: a worker that reports later has ended them with their lease.
	inheritanceWindow = 2 * time.Second

	// runNumberBits is the number of low bits of a run number that count the runs under one
	// fencing token; the token fills the bits above. They hold 16.7 million runs, such as 1000
	// a minute for 11 days; a home that starts more gets into the numbers of the next token.
	runNumberBits = 24
)

// Home runs the jobs of one data centre on its workers.
type Home struct {
	options    Options
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines conc.WaitGroup
	done       chan struct{}
	startedAt  time.Time

	mu                sync.Mutex
	closed            bool
	fenced            bool
	listComplete      bool // the list has all workers that may have runs of an earlier home
	inForceUntil      time.Time
	storeConfirmedAt  time.Time // when the store last named this home
	wasInForce        bool      // at the last tick
	asksWorkers       bool      // whether there is a later home
	quorumAt          time.Time // when successorQuorum of the workers had reported
	workers           map[string]*worker
	sortedWorkers     []*worker            // by id, nil after a change of workers
	racks             map[string][]*worker // sortedWorkers by rack
	heldRacks         map[string]bool      // those that tasks are held for since the last pass
	assigned          map[string]struct{}  // tasks that have a run, by name
	expectedEnds      []expectedEnd        // of the assigned runs, in their order
	jobs              map[Key]*job
	waiting           map[*job]struct{} // jobs with tasks to start
	finished          map[Key]finishedJob
	cancelled         map[SubmissionID]time.Time // when they were cancelled
	unwanted          []Key                      // jobs of earlier homes that were cancelled before they arrived here
	unclaimedEnds     map[string]lease.EndedRun  // ended runs of earlier homes, by task
	dispatchedAt      time.Time
	tickedAt          time.Duration // by Options.Clock
	behind            bool          // the last tick came too late
	lag               time.Duration
	unclaimedEndsAt   time.Time // when the last of them was reported
	lastRun           int64
	reviewedAt        time.Time
	typicalMilliCores int                     // mean need of CPU of a task, in thousandths of a core
	runRatios         learn.Estimator         // run time over the declared one, by queue
	meanRuns          learn.Estimator         // run time, by queue
	callerTimeouts    learn.Timeouts          // by queue
	responseTimes     plan.ResponseTimes      // of starts, and of other requests if they were late
	resendBudget      *budget.Budget          // of starts without a response
	speeds            map[string]*speed.Model // by pool; only its workers run the same tasks
	uneven            bool                    // some worker is faster or slower than usual
	activity          activity
	emptyReported     bool                     // that a drained data centre has no run left
	ledgers           map[string]*share.Ledger // by service
}

// finishedJob is the kept outcome of a job.
type finishedJob struct {
	outcome Outcome
	at      time.Time
}

// New starts a home that has no workers yet; SetWorkers adds them.
func New(o Options) *Home {
	if o.Clock == nil {
		o.Clock = pause.SinceBoot
	}
	if o.ConfirmedAt == nil {
		o.ConfirmedAt = time.Now
	}
	if o.Confirm == nil {
		o.Confirm = func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &Home{
		options:       o,
		ctx:           ctx,
		cancel:        cancel,
		done:          make(chan struct{}),
		startedAt:     time.Now(),
		tickedAt:      o.Clock(),
		workers:       map[string]*worker{},
		assigned:      map[string]struct{}{},
		jobs:          map[Key]*job{},
		waiting:       map[*job]struct{}{},
		finished:      map[Key]finishedJob{},
		cancelled:     map[SubmissionID]time.Time{},
		unclaimedEnds: map[string]lease.EndedRun{},
		ledgers:       map[string]*share.Ledger{},
		lastRun:       o.Token << runNumberBits,
		resendBudget:  budget.New(resendsPerResponse),
		speeds:        map[string]*speed.Model{},
		activity:      activity{reportedAt: time.Now(), processorTime: processorTime()},
	}
	h.inForceUntil, h.wasInForce = h.startedAt.Add(confirmationValidity), true
	h.spawn(h.tickLoop)
	return h
}

// Token returns the fencing token of the home.
func (h *Home) Token() int64 { return h.options.Token }

// StartedAt returns when the home was started.
func (h *Home) StartedAt() time.Time { return h.startedAt }

// Done is closed when all goroutines of a closed home have ended.
func (h *Home) Done() <-chan struct{} { return h.done }

// movedReason is the reason of the result Moved.
const movedReason = "the workers have another home"

// Close gives the workers up at once. Unfinished jobs end as Moved; their runs are left to the
// next home or to the expiry of their leases.
func (h *Home) Close() {
	if !h.endJobsAsMoved() {
		return
	}
	h.cancel()
	go func() {
		defer close(h.done)
		h.goroutines.Wait()
	}()
}

// endJobsAsMoved ends all jobs. It reports false for a home that was closed before.
func (h *Home) endJobsAsMoved() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	h.closed = true
	if h.options.LearnSpeeds {
		h.options.Observer.WorkerFactors(h.options.DataCentre, nil)
	}
	p := h.newPass(time.Now())
	for _, j := range h.jobs {
		h.finish(j, h.withTaskStates(j, p, Outcome{Result: Moved, Reason: movedReason}))
	}
	return true
}

// SetWorkers replaces the workers of the home. Complete reports that the list has every worker
// on which an earlier home may have started tasks.
func (h *Home) SetWorkers(workers map[string]model.Worker, complete bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}

	now := time.Now()
	h.listComplete = complete
	for id, w := range h.workers {
		if _, ok := workers[id]; !ok && !w.removed {
			w.removed, w.removedAt = true, now
			h.options.Log.Info().Str("worker", id).Int("runs", w.tracker.Len()).Msg("worker left the list")
			w.signal()
		}
	}
	for id, info := range workers {
		w := h.workers[id]
		if w == nil || w.info.Addr != info.Addr {
			h.replaceWorker(id, info)
			continue
		}
		if w.info.State != info.State {
			h.options.Log.Info().Str("worker", id).Str("state", string(info.State)).Msg("worker changed its state")
			w.signal()
		}
		if w.info.Incarnation != info.Incarnation {
			w.signal()
		}
		if w.info.Rack != info.Rack {
			h.sortedWorkers = nil
		}
		if w.info.Pool != info.Pool {
			w.speed.Leave()
			w.speed = h.joinSpeeds(info)
		}
		w.info, w.removed = info, false
		w.speed.SetKind(speedKind(info))
		w.tracker.SetCapacity(info.Capacity)
	}
	h.dispatch(now)
}

// replaceWorker adds a worker, in place of one with the same id at another address.
func (h *Home) replaceWorker(id string, info model.Worker) {
	if old := h.workers[id]; old != nil {
		h.handleEnds(old, old.tracker.EndAll(), time.Now())
		old.cancel()
		old.speed.Leave()
	}
	w := newWorker(h, info)
	h.workers[id], h.sortedWorkers = w, nil
	h.spawn(w.renewLoop)
}

// tickLoop handles ticks until the home is closed.
func (h *Home) tickLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case due := <-ticker.C:
			h.handleTick(due)
		}
	}
}

func (h *Home) handleTick(due time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	h.isGivenUp() // before the gap is over
	h.tickedAt = h.options.Clock()
	now := time.Now()
	h.recordLag(now.Sub(due))
	h.reviewTenure(now)
	h.reportActivity(now)
	h.reportDrained(now)

	h.uneven = false
	for id, w := range h.workers {
		h.uneven = h.uneven || w.speed.Factor() != 1
		h.handleEnds(w, w.expireRuns(now), now)
		w.checkProgress(now)
		if w.removed && w.tracker.Len() == 0 && !w.tracker.HasLateStarts(now) && (w.reported || h.allRunsKnown(now) || now.Sub(w.removedAt) > maxUnreported) {
			w.cancel()
			w.speed.Leave()
			delete(h.workers, id)
			h.sortedWorkers = nil
		}
	}
	h.cancelOrphaned(now)
	for _, j := range h.jobs {
		h.endIfExpired(j, now)
	}
	if now.Sub(h.reviewedAt) >= reviewInterval {
		h.reviewedAt = now
		h.divideCapacity(now)
		h.reviewWaitingJobs(now)
	}
	for id, f := range h.finished {
		if now.Sub(f.at) > outcomeRetention {
			delete(h.finished, id)
		}
	}
	for id, at := range h.cancelled {
		if now.Sub(at) > cancelRetention {
			delete(h.cancelled, id)
		}
	}
	if now.Sub(h.unclaimedEndsAt) > outcomeRetention {
		clear(h.unclaimedEnds)
	}
	if now.Sub(h.startedAt) > inheritanceWindow {
		h.unwanted = nil
	}
	if len(h.waiting) > 0 {
		h.dispatch(now)
	}
}

// maxLag is the scheduling delay of a tick above which new jobs are refused. A process that is
// further behind answers all jobs late, and each further job makes it worse.
const maxLag = 100 * time.Millisecond

func (h *Home) recordLag(lag time.Duration) {
	h.lag = plan.UpdateLag(h.lag, lag)
	h.activity.maxLag = max(h.activity.maxLag, lag)
	if behind := lag > maxLag; behind != h.behind {
		h.behind = behind
		h.options.Log.Warn().Bool("behind", behind).Int64("lagMillis", lag.Milliseconds()).Int("jobs", len(h.jobs)).
			Int("waitingJobs", len(h.waiting)).Msg("processor is short")
	}
}

// spawn runs a function in a goroutine of the home. A panic in it gives the home up; the next
// home gets the active runs from the workers.
func (h *Home) spawn(f func()) {
	h.goroutines.Go(func() {
		recovered := panics.Try(f)
		if recovered == nil {
			return
		}
		h.options.Log.Error().Err(recovered.AsError()).Str("home", h.options.DataCentre).Msg("home panicked and is given up")
		go h.options.OnFenced()
	})
}

// fence gives the home up after a worker reported a later one.
func (h *Home) fence(worker string) {
	if h.fenced {
		return
	}
	h.fenced = true
	h.options.Log.Warn().Str("home", h.options.DataCentre).Str("worker", worker).
		Int64("token", h.options.Token).Msg("a worker has a later home")
	go h.options.OnFenced()
}

// isGivenUp reports whether there may be a later home: a worker reported one, or this home has not ticked for
// so long that others act in its place. On waking, its events come in any order: an end may free capacity
// for a job whose cancel is still unread, or whose origin was lost meanwhile. The lock is held.
func (h *Home) isGivenUp() bool {
	gap := h.options.Clock() - h.tickedAt
	if h.fenced || gap <= MaxTickGap {
		return h.fenced
	}
	h.fenced = true
	h.options.Log.Warn().Str("home", h.options.DataCentre).Int64("token", h.options.Token).
		Int64("gapMillis", gap.Milliseconds()).Msg("home stood still and is given up")
	go h.options.OnFenced()
	return true
}

func (h *Home) nextRunNumber() int64 {
	h.lastRun++
	return h.lastRun
}

// randomFloat returns a random number in [0, 1).
func randomFloat() float64 { return rand.Float64() }
