package home

import (
	"context"
	"time"

	"foxtailmux/lease"
	"foxtailmux/model"
	"foxtailmux/plan"
)

const (
	// orderTimeout is how long a stop or a look waits for its answer.
	// A worker answers within a few milliseconds; the rest is for machines
	// that are slow for a moment.
	orderTimeout = 60 * time.Millisecond

	// lossyTimeout is how long an order to a worker that loses single ones waits
	// for its answer. It is several times the usual 2 ms, since most of those
	// that take longer are lost.
	lossyTimeout = 20 * time.Millisecond

	// lossyHoldWait is how long a hold of such a worker waits for an end: an end
	// whose answer is lost is missed for it.
	lossyHoldWait = 20 * time.Millisecond

	// maxHoldWait is how long a hold waits at the worker for an end. Two of
	// them fit into a lease of one second with one lost answer between.
	maxHoldWait = 350 * time.Millisecond

	// minHoldWait bounds the holds of a run that lasts longer than expected.
	minHoldWait = 60 * time.Millisecond

	// The time between holds of a worker that does not answer grows from
	// minRetryHold, since a single answer that was lost leaves a sound worker
	// unused for it, to maxRetryHold, or to maxRetryIdle where nothing can run
	// any more.
	minRetryHold = 5 * time.Millisecond
	maxRetryHold = 100 * time.Millisecond
	maxRetryIdle = 500 * time.Millisecond

	// ackDelay is how long the last ends of an idle worker wait for their
	// acknowledgement, which costs a call of its own.
	ackDelay = 500 * time.Millisecond

	// claimWindow is how long the runs of an earlier home wait for their jobs
	// to be sent again by the instances that hold the callers.
	claimWindow = 300 * time.Millisecond
)

// owner is the task that a run belongs to.
type owner struct {
	job  *job
	task *task
}

// unit is one worker in use. Its fields are guarded by the home's lock.
type unit struct {
	home     *Home
	worker   model.Worker
	endpoint Endpoint
	ctx      context.Context
	cancel   context.CancelFunc
	wake     chan struct{}

	book     *lease.Tracker
	health   plan.Health
	owners   map[string]owner
	listed   bool // it told what it runs
	listedAt time.Time
	gone     bool // it left the list
	settling bool // a goroutine settles unanswered orders
	looking  bool // a look at its progress is on the way
}

func newUnit(h *Home, w model.Worker) *unit {
	ctx, cancel := context.WithCancel(h.ctx)
	u := &unit{
		home:   h,
		worker: w,
		ctx:    ctx,
		cancel: cancel,
		wake:   make(chan struct{}, 1),
		book:   lease.NewTracker(w.Capacity, h.options.MaxLease),
		owners: map[string]owner{},
	}
	u.endpoint = h.options.Connect(w, u.late)
	return u
}

// usable reports whether new tasks may start on the worker.
func (u *unit) usable() bool {
	return u.listed && !u.gone && u.worker.State == model.Live
}

// OrderBytes is what an order takes on the wire beside the specification of its task:
// headers, names and what the network adds.
const RequestBytes = 420

// timeout is how long an order that is sent now waits for its answer, and how much of it
// is the wait for the links that it takes. Usual is the time without any. What was noted
// to be sent counts whole, since other orders may get to the link first; the lock makes
// sure that all starts of a dispatch are noted.
func (u *unit) timeout(usual time.Duration, links ...*plan.Link) (timeout, queued time.Duration) {
	h := u.home
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for _, l := range links {
		queued += l.Delay(0, now)
	}
	if u.lossy(now) {
		usual = lossyTimeout
	}
	return max(plan.ResponseTimeout(usual, h.lag), h.answers.Timeout(usual)) + queued, queued
}

// lossy reports whether the worker leaves single orders unanswered. While answers come
// late from all workers, those that are missed are late too. The lock is held.
func (u *unit) lossy(now time.Time) bool {
	return u.health.IsLossy(now) && u.home.answers.Timeout(lossyTimeout) == lossyTimeout
}

// late takes an answer that came after the time-out of its order.
func (u *unit) late(took time.Duration) {
	h := u.home
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers.Record(took)
	u.health.RecordLateResponse()
}

func (u *unit) wakeUp() {
	select {
	case u.wake <- struct{}{}:
	default:
	}
}
