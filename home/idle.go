package home

import (
	"time"

	"foxtailmux/lease"
)

// askIfIdle asks a worker for its runs, and so for its incarnation, if it has not responded for maxSilence. It
// may have restarted with less capacity while no connection to it was open. It returns false if the worker
// gets no start: it does not respond, or its row describes another incarnation.
func (w *worker) askIfIdle() bool {
	w.asking <- struct{}{}
	defer func() { <-w.asking }()
	if !w.isSilent(time.Now()) {
		return w.mayStart()
	}
	return w.renew(false) == nil && w.mayStart()
}

// isSilent reports whether the worker has not responded for maxSilence.
func (w *worker) isSilent(now time.Time) bool {
	w.home.mu.Lock()
	defer w.home.mu.Unlock()
	return now.Sub(w.tracker.LastResponse()) > maxSilence
}

// mayStart reports whether the worker, which was picked for a start, still takes it.
func (w *worker) mayStart() bool {
	w.home.mu.Lock()
	defer w.home.mu.Unlock()
	return w.isDescribed()
}

// handleNotAsked requeues the task of a start that was not sent since the worker did not respond or has
// restarted.
func (w *worker) handleNotAsked(s lease.Start) {
	w.home.mu.Lock()
	defer w.home.mu.Unlock()
	if w.ctx.Err() == nil {
		w.requeueNotStarted(s, "not asked", time.Now())
	}
}
