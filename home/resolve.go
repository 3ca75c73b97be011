package home

import (
	"time"

	"foxtailmux/lease"
)

// stop orders the end of a run. The lock is held.
func (u *unit) stop(task string, run int64) {
	delete(u.owners, task)
	if !u.book.Has(task) {
		return
	}
	u.book.MarkUnwanted(task, run)
	u.home.spawn(func() { u.sendStop(task, run) })
	u.wakeUp()
}

func (u *unit) sendStop(task string, run int64) bool {
	h := u.home
	h.options.Link.RecordSend(RequestBytes, time.Now())
	timeout, _ := u.timeout(orderTimeout, h.options.Link)
	reply, err := u.endpoint.Stop(lease.Stop{Task: task, Run: run, Token: h.options.Token}, timeout)

	h.mu.Lock()
	defer h.mu.Unlock()
	if u.ctx.Err() != nil {
		return false
	}
	now := time.Now()
	if err != nil {
		u.unanswered("stop", err, now)
		u.book.MarkUnconfirmed(task, run, now)
		u.settle()
		return false
	}
	u.book.RecordResponse(reply.Clock, now)
	switch reply.Refusal {
	case lease.Accepted, lease.Outdated:
		u.book.MarkStopping(task, run, now)
	case lease.Fenced:
		h.fence(u.worker.ID)
		return false
	default: // it takes no stop now, and the run may go on
		u.book.MarkUnconfirmed(task, run, now)
	}
	u.settle()
	return true
}

// settle finds out what became of orders without an answer and of stops, in a
// goroutine of its own. The lock is held.
func (u *unit) settle() {
	if u.settling {
		return
	}
	u.settling = true
	u.home.spawn(u.settleAll)
}

const (
	// settlePause is the time between two looks at a run that is stopped; a
	// worker takes up to 50 ms to stop one.
	settlePause = 40 * time.Millisecond

	// maxSettleRetry is the time between two looks at a worker that does not
	// answer. One that loses single orders is asked again at once.
	maxSettleRetry = 60 * time.Millisecond
)

func (u *unit) settleRetry() time.Duration {
	u.home.mu.Lock()
	defer u.home.mu.Unlock()
	if u.lossy(time.Now()) {
		return minRetryHold
	}
	return u.home.probePause(maxSettleRetry)
}

func (u *unit) settleAll() {
	for u.ctx.Err() == nil {
		if err := u.hold(false); err != nil {
			u.sleep(u.settleRetry(), nil)
		}
		stops, more := u.unsettled()
		if !more {
			return
		}
		for _, s := range stops {
			u.sendStop(s.Task, s.Number)
		}
		if len(stops) == 0 {
			u.sleep(settlePause, nil)
		}
	}
}

// unsettled returns the runs that need a stop, and whether any run is still in
// doubt or stopping. A worker that answers and did not carry out a start is
// avoided.
func (u *unit) unsettled() ([]lease.Run, bool) {
	u.home.mu.Lock()
	defer u.home.mu.Unlock()
	now := time.Now()
	stops, more := u.book.Unconfirmed(now)
	u.settling = more
	for _, s := range stops {
		if o, ok := u.owners[s.Task]; ok && o.task.run == s.Number && !u.health.IsUnresponsive(now) {
			u.health.RecordIgnoredStart(now)
			o.task.mark(u.worker.ID)
		}
	}
	return stops, more
}
