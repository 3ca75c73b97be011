package home

import (
	"context"
	"time"

	"foxtailmux/lease"
	"foxtailmux/model"
	"foxtailmux/plan"
	"foxtailmux/speed"
)

const (
	// requestTimeout is how long a stop or a renewal waits for its response, in addition to the
	// time that a renewal waits at the worker. A worker responds within a few milliseconds; the
	// rest is for machines that are slow for a moment.
	requestTimeout = 60 * time.Millisecond

	// lossyTimeout is how long a request to a lossy worker, which loses single requests, waits
	// for its response. It is several times the usual 2 ms, since most requests that take
	// longer are lost.
	lossyTimeout = 20 * time.Millisecond

	// lossyRenewalWait is how long a renewal waits at a lossy worker for the end of a run. If
	// its response is lost, the end is noticed that much later.
	lossyRenewalWait = 20 * time.Millisecond

	// maxRenewalWait is how long a renewal waits at the worker for the end of a run. Two of
	// them fit into a lease of one second, with one response lost.
	maxRenewalWait = 350 * time.Millisecond

	// minRenewalWait is the least wait of a renewal, for runs that last longer than expected.
	minRenewalWait = 60 * time.Millisecond

	// The time between renewals on an unresponsive worker grows from minRenewalRetry to
	// maxRenewalRetry, or to maxIdleRetry where no run is left. It starts small, since a
	// healthy worker is unused for that time after a single lost response.
	minRenewalRetry = 5 * time.Millisecond
	maxRenewalRetry = 100 * time.Millisecond
	maxIdleRetry    = 500 * time.Millisecond

	// describeRetry is the time between requests to a worker whose row describes another incarnation
	// than the one that last responded.
	describeRetry = 250 * time.Millisecond

	// ackDelay is how long the acknowledgement of the last ended runs on an idle worker is
	// delayed. It needs a request of its own.
	ackDelay = 500 * time.Millisecond

	// adoptionWindow is how long the runs of an earlier home are kept until their origins
	// submit the jobs again.
	adoptionWindow = 300 * time.Millisecond
)

// assignment is the task that a run executes, with its job.
type assignment struct {
	job  *job
	task *task
}

// worker is one worker of the home. Its fields are guarded by the home's lock.
type worker struct {
	home     *Home
	info     model.Worker
	endpoint Endpoint
	ctx      context.Context
	cancel   context.CancelFunc
	notify   chan struct{}

	tracker     *lease.Tracker
	health      plan.Health
	speed       *speed.Worker
	assignments map[string]assignment
	reported    bool // it has reported its runs
	reportedAt  time.Time
	acceptedAt  time.Time // when the last renewal that it accepted was sent
	removed     bool      // from the list of workers
	removedAt   time.Time
	resolving   bool // a goroutine resolves unconfirmed runs
	checking    bool // a progress check is in flight
}

func newWorker(h *Home, info model.Worker) *worker {
	ctx, cancel := context.WithCancel(h.ctx)
	w := &worker{
		home:        h,
		info:        info,
		ctx:         ctx,
		cancel:      cancel,
		notify:      make(chan struct{}, 1),
		tracker:     lease.NewTracker(info.Capacity, h.options.MaxLease),
		assignments: map[string]assignment{},
		speed:       h.joinSpeeds(info),
	}
	w.endpoint = h.options.Connect(info, w.handleLateResponse)
	return w
}

// assign assigns the run of a task on the worker to the task's job.
func (w *worker) assign(j *job, t *task) {
	a := assignment{job: j, task: t}
	t.far = !w.isNear(&j.batch.Steps[t.step])
	t.pace = w.home.pace(w, j, t.step)
	w.assignments[t.name] = a
	w.home.assigned[t.name] = struct{}{}
	w.home.addExpectedEnd(newExpectedEnd(w, a))
}

// unassign removes the assignment of a run that has ended or is given up.
func (w *worker) unassign(task string) {
	a, ok := w.assignments[task]
	if !ok {
		return
	}
	delete(w.assignments, task)
	delete(w.home.assigned, task)
	w.home.removeExpectedEnd(newExpectedEnd(w, a))
	if len(w.assignments) == 0 {
		w.health.RecordIdle()
	}
}

// isUsable reports whether new tasks may start on the worker. Their starts would extend the lease of a run
// whose stop was missed.
func (w *worker) isUsable() bool {
	return w.reported && !w.removed && w.info.State == model.Live && w.isDescribed() && !w.tracker.HasMissedStop()
}

// isDescribed reports whether the row of the worker describes the incarnation that responds. A worker
// may restart under its id with less capacity or other labels.
func (w *worker) isDescribed() bool { return w.info.Incarnation == w.tracker.Incarnation() }

// RequestBytes is the size on the wire of a request without the specification of its task:
// headers, names and the overhead of the network.
const RequestBytes = 420

// timeoutFor returns the timeout of a request that is sent now, and the part of it that the
// request queues for the links that it takes. Usual is the timeout without queueing. All bytes
// recorded as sent count, since other requests may get to the link first; the lock makes sure
// that all starts of a dispatch are recorded before.
func (w *worker) timeoutFor(usual time.Duration, links ...*plan.Link) (timeout, queued time.Duration) {
	h := w.home
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for _, l := range links {
		queued += l.Delay(0, now)
	}
	if w.isLossy(now) {
		usual = lossyTimeout
	}
	return max(plan.ResponseTimeout(usual, h.lag), h.responseTimes.Timeout(usual)) + queued, queued
}

// isLossy reports whether the worker loses single requests. While the responses of all workers
// are late, missed responses are late as well, and the worker is not lossy. The lock is held.
func (w *worker) isLossy(now time.Time) bool {
	return w.health.IsLossy(now) && w.home.responseTimes.Timeout(lossyTimeout) == lossyTimeout
}

// handleLateResponse records a response that arrived after its timeout.
func (w *worker) handleLateResponse(took time.Duration) {
	h := w.home
	h.mu.Lock()
	defer h.mu.Unlock()
	h.responseTimes.Record(took)
	w.health.RecordLateResponse()
}

// signal makes renewLoop check at once whether a renewal is due.
func (w *worker) signal() {
	select {
	case w.notify <- struct{}{}:
	default:
	}
}
