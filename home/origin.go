package home

import (
	"fmt"
	"time"

	"foxtailmux/lease"
	"foxtailmux/model"
	"foxtailmux/plan"
)

// OriginStarter sends the start requests of a job from its origin, the instance that holds the
// caller's connection. The origin keeps the specification, so that its bytes leave through the
// origin's link, once for each task, and not through the link of the home.
type OriginStarter struct {
	Link  *plan.Link // of the origin
	Start func(w model.Worker, s lease.Start, timeout time.Duration) (lease.Reply, error)
}

// OriginError is a failed start by an OriginStarter that is not the worker's fault. JobUnknown
// is set if the origin no longer has the job and started nothing.
type OriginError struct {
	Op         string
	JobUnknown bool
	Err        error
}

// Error returns the operation and the cause.
func (e *OriginError) Error() string { return fmt.Sprintf("home: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *OriginError) Unwrap() error { return e.Err }

// Sent reports whether the start may have reached the worker.
func (e *OriginError) Sent() bool { return !e.JobUnknown }

const (
	// originRequestBytes is the size on the wire of a request to an origin with its response.
	originRequestBytes = 350

	// maxOriginMisses is the number of starts without a response from the origin after which
	// their job is given up. Each takes 180 ms or more, so that a job is given up within the
	// second after which an origin without heartbeats counts as dead.
	maxOriginMisses = 3
)

// startPath is the way that the start requests of a job take.
type startPath struct {
	starter   *OriginStarter // nil sends them from the home
	specBytes int            // length of the specification that the origin keeps
}

// recordSend records the bytes of a start on the links that it takes.
func (h *Home) recordSend(s lease.Start, path startPath, now time.Time) {
	if path.starter == nil {
		h.options.Link.RecordSend(RequestBytes+len(s.Spec), now)
		return
	}
	h.options.Link.RecordSend(originRequestBytes, now)
	path.starter.Link.RecordSend(RequestBytes+path.specBytes, now)
}

// sendStart sends a start once, and records the response time. A response that belongs to an earlier
// request counts as none.
func (w *worker) sendStart(info model.Worker, s lease.Start, path startPath) (lease.Reply, error) {
	sentAt := time.Now()
	s.Earliest = w.earliestClock(sentAt)
	link := w.home.options.Link
	var timeout, queued time.Duration
	var reply lease.Reply
	var err error
	if path.starter == nil {
		timeout, queued = w.timeoutFor(startTimeout, link)
		reply, err = w.endpoint.Start(s, timeout)
	} else {
		timeout, queued = w.timeoutFor(startTimeout, link, path.starter.Link)
		reply, err = path.starter.Start(info, s, timeout)
	}
	if err != nil {
		return reply, err
	}
	w.home.recordResponseTime(time.Since(sentAt) - queued)
	return reply, w.checkReply(reply, sentAt)
}

// earliestClock returns the least value that the worker's clock can have at a local time, 0 if the clock is
// not known.
func (w *worker) earliestClock(at time.Time) int64 {
	w.home.mu.Lock()
	defer w.home.mu.Unlock()
	if !w.tracker.Clock.Known() {
		return 0
	}
	return w.tracker.Clock.Earliest(at)
}

// checkReply records the reply to a request, so that no lease is granted by a clock that the reply has shown to be
// wrong. It returns errOutdated for the reply to a request sent at sentAt that belongs to an earlier
// request.
func (w *worker) checkReply(r lease.Reply, sentAt time.Time) error {
	w.home.mu.Lock()
	defer w.home.mu.Unlock()
	if err := w.checkOutdated(w.tracker.IsOutdated(r.Clock, sentAt)); err != nil {
		return err
	}
	w.tracker.RecordResponse(r.Clock, time.Now())
	return nil
}

// checkOutdated returns errOutdated for an outdated response. Its connection, which is idle now, would
// bring the response to its request to a later one. The lock is held.
func (w *worker) checkOutdated(outdated bool) error {
	if !outdated {
		return nil
	}
	w.endpoint.Close()
	return errOutdated
}

// handleOriginError handles a start that failed at the origin. The lock is held.
func (h *Home) handleOriginError(a assignment, path startPath, e *OriginError) {
	j := a.job
	if j.startPath.starter != path.starter {
		return // the job was submitted again by another instance
	}
	j.originMisses++
	h.options.Log.Warn().Err(e).Stringer("job", j.key).Str("origin", j.lastSubmission.Origin).Int("misses", j.originMisses).Msg("origin did not start a task")
	if e.JobUnknown || j.originMisses >= maxOriginMisses {
		h.abort(j, Outcome{Result: Cancelled, Reason: "the instance of its caller does not start its tasks"})
	}
}
