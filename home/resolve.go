package home

import (
	"time"

	"foxtailmux/lease"
)

// stop gives a run up and sends its stop in a goroutine. The lock is held.
func (w *worker) stop(task string, run int64) {
	w.unassign(task)
	if !w.tracker.Has(task) {
		return
	}
	w.tracker.MarkUnwanted(task, run)
	w.home.spawn(func() { w.sendStop(task, run) })
	w.signal()
}

// sendStop sends a stop and handles its reply. It reports whether the worker responded and
// accepts requests of this home.
func (w *worker) sendStop(task string, run int64) bool {
	h := w.home
	h.options.Link.RecordSend(RequestBytes, time.Now())
	timeout, _ := w.timeoutFor(requestTimeout, h.options.Link)
	sentAt := time.Now()
	reply, err := w.endpoint.Stop(lease.Stop{Task: task, Run: run, Token: h.options.Token}, timeout)
	if err == nil {
		err = w.checkReply(reply, sentAt)
	}

	h.mu.Lock()
	defer h.mu.Unlock()
	h.activity.stops++
	if w.ctx.Err() != nil {
		return false
	}
	now := time.Now()
	if err != nil {
		w.recordNoResponse("stop", err, now)
		w.markStopMissed(task, run, now)
		w.startResolving()
		return false
	}
	switch reply.Refusal {
	case lease.Accepted, lease.Outdated:
		w.tracker.MarkStopping(task, run, now)
	case lease.Fenced:
		h.fence(w.info.ID)
		return false
	default: // the worker refuses the stop, and the run may go on
		w.markStopMissed(task, run, now)
	}
	w.startResolving()
	return true
}

// markStopMissed records that a stop got no response or was refused. The lock is held.
func (w *worker) markStopMissed(task string, run int64, now time.Time) {
	w.tracker.MarkUnconfirmed(task, run, now)
	w.tracker.MarkStopMissed(task, run)
}

// startResolving starts a goroutine that resolves unconfirmed and stopping runs, unless there
// is one. The lock is held.
func (w *worker) startResolving() {
	if w.resolving {
		return
	}
	w.resolving = true
	w.home.spawn(w.resolveRuns)
}

const (
	// stopCheckInterval is the time between two checks of a run that is being stopped; a worker
	// needs up to 50 ms to stop one.
	stopCheckInterval = 40 * time.Millisecond

	// maxResolveRetry is the time between two requests to an unresponsive worker, unless
	// probeInterval lengthens it. A lossy worker gets the next request after minRenewalRetry.
	maxResolveRetry = 60 * time.Millisecond
)

// resolveRetryDelay returns the delay before the next request to a worker that did not respond.
func (w *worker) resolveRetryDelay() time.Duration {
	w.home.mu.Lock()
	defer w.home.mu.Unlock()
	if w.isLossy(time.Now()) {
		return minRenewalRetry
	}
	return w.home.probeInterval(maxResolveRetry)
}

// resolveRuns requests reports and sends stops until no run is unconfirmed or stopping.
func (w *worker) resolveRuns() {
	for w.ctx.Err() == nil {
		if err := w.renew(false); err != nil {
			w.sleep(w.resolveRetryDelay(), nil)
		}
		stops, more := w.unconfirmedRuns()
		if !more {
			return
		}
		for _, s := range stops {
			w.sendStop(s.Task, s.Number)
		}
		if len(stops) == 0 {
			w.sleep(stopCheckInterval, nil)
		}
	}
}

// unconfirmedRuns returns the runs that need a stop request, and whether any run is still
// unconfirmed or stopping. It records against a responsive worker that it did not carry out a
// start, or the stop of a run that is being moved.
func (w *worker) unconfirmedRuns() ([]lease.Run, bool) {
	w.home.mu.Lock()
	defer w.home.mu.Unlock()
	now := time.Now()
	stops, more := w.tracker.Unconfirmed(now)
	w.resolving = more
	for _, s := range stops {
		if a, ok := w.assignments[s.Task]; ok && a.task.run == s.Number && !w.health.IsUnresponsive(now) {
			w.health.RecordIgnoredRequest(now)
			a.task.markTried(w.info.ID)
		}
	}
	return stops, more
}
