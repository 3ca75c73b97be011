package home

import (
	"errors"
	"time"

	"foxtailmux/lease"
	"foxtailmux/model"
	"foxtailmux/plan"
)

// recordNoResponse records a request that got no response. The lock is held.
func (w *worker) recordNoResponse(op string, err error, now time.Time) {
	w.home.activity.unanswered++
	if w.health.State(now) != plan.Ejected {
		w.home.options.Log.Warn().Err(err).Str("worker", w.info.ID).Str("order", op).
			Int64("heardMillisAgo", now.Sub(w.tracker.LastResponse()).Milliseconds()).Msg("order not answered")
	}
	w.health.RecordNoResponse()
	w.signal()
}

// recordResponse records a response of the worker. The lock is held.
func (w *worker) recordResponse(now time.Time) {
	if w.health.RecordResponse(now) {
		w.home.options.Log.Info().Str("worker", w.info.ID).Msg("worker answers again")
	}
}

// mayHaveArrived reports whether a failed request may have reached the worker.
func mayHaveArrived(err error) bool {
	var sender interface{ Sent() bool }
	return !errors.As(err, &sender) || sender.Sent()
}

// isConnecting reports whether a request failed since no connection to the worker was ready in time.
func isConnecting(err error) bool {
	var c interface{ Connecting() bool }
	return errors.As(err, &c) && c.Connecting()
}

// seemsToBe reports whether the worker is of that incarnation, as far as its reports tell.
func (w *worker) seemsToBe(incarnation int64) bool {
	w.home.mu.Lock()
	defer w.home.mu.Unlock()
	return w.tracker.Incarnation() == incarnation
}

// recordResponseTime records the time of a response to a start, without the time that the
// request queued for the links, and adds to the budget of resends.
func (h *Home) recordResponseTime(took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.responseTimes.Record(max(took, 0))
	h.resendBudget.Deposit(1)
}

const (
	// startTimeout is the time without a response after which a start is sent again. Healthy
	// workers respond to 999 of 1000 starts within 25 ms.
	startTimeout = 30 * time.Millisecond

	// maxStartSends bounds the sends of one start. On a worker that loses half of its requests,
	// 3% of the starts are lost that many times in a row.
	maxStartSends = 5

	// resendsPerResponse is the number of starts that may be sent again for each response that
	// arrives: while a saturated link lets no response through, further starts keep it
	// saturated. Where half of all requests are lost there is one response for each resend.
	resendsPerResponse = 3
)

// start sends a start and handles its reply. A start without a response is sent again with the
// same run number, so that the worker carries it out only once.
func (w *worker) start(info model.Worker, s lease.Start, path startPath) {
	for sends := 1; ; sends++ {
		reply, err := w.sendStart(info, s, path)
		if err == nil && reply.Refusal == lease.OtherIncarnation && w.seemsToBe(s.Incarnation) {
			_ = w.renew(false) // learns of the restart before the task is placed anew
		}
		if !w.mayResend(&s, sends, err, path) {
			w.handleStartReply(s, reply, err, sends > 1, path)
			return
		}
	}
}

// mayResend decides whether a start is sent again, and renews its lease if so.
func (w *worker) mayResend(s *lease.Start, sends int, err error, path startPath) bool {
	var origin *OriginError
	if err == nil || !mayHaveArrived(err) || sends == maxStartSends || errors.As(err, &origin) {
		return false
	}
	h := w.home
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	a, ok := w.assignments[s.Task]
	if !ok || a.task.run != s.Run || w.ctx.Err() != nil || h.isGivenUp() || !h.isInForce(now) || w.removed || w.tracker.HasMissedStop() {
		return false
	}
	if !h.resendBudget.Withdraw() {
		return false
	}
	until, ok := w.tracker.RecordResend(s.Task, s.Run, now, w.leaseLimit(now))
	if !ok {
		return false
	}
	h.activity.resends++
	w.recordNoResponse("start", err, now)
	s.Until = until
	h.recordSend(*s, path, now)
	return true
}

// handleStartReply handles the reply to a start, or the error if there was none.
func (w *worker) handleStartReply(s lease.Start, reply lease.Reply, err error, resent bool, path startPath) {
	h := w.home
	h.mu.Lock()
	defer h.mu.Unlock()
	if w.ctx.Err() != nil {
		return
	}
	now := time.Now()
	if err != nil {
		w.handleStartError(s, err, resent, path, now)
		return
	}

	switch reply.Refusal {
	case lease.Accepted:
		w.recordResponse(now)
		w.health.RecordAcceptedStart()
		w.tracker.ConfirmStart(s.Task, s.Run, now)
	case lease.Fenced:
		h.fence(w.info.ID)
	case lease.OtherWorker:
		w.handleOtherWorker(now)
	default:
		w.handleStartRefusal(s, reply.Refusal, resent, now)
	}
}

// handleStartError handles a start without a reply.
func (w *worker) handleStartError(s lease.Start, err error, resent bool, path startPath, now time.Time) {
	a, ok := w.assignments[s.Task]
	var origin *OriginError
	switch {
	case isConnecting(err): // whether the worker responds is up to the renewals, of which there are some while it has a run
		if ok && a.task.run == s.Run {
			a.task.markTried(w.info.ID)
		}
	case !errors.As(err, &origin):
		w.recordNoResponse("start", err, now)
	case ok && a.task.run == s.Run:
		w.home.handleOriginError(a, path, origin)
	}
	if resent || mayHaveArrived(err) {
		w.tracker.MarkUnconfirmed(s.Task, s.Run, now)
		w.startResolving()
	} else {
		w.requeueNotStarted(s, "not sent", now)
		w.signal()
	}
}

// handleStartRefusal handles a start that the worker refused.
func (w *worker) handleStartRefusal(s lease.Start, refusal lease.Refusal, resent bool, now time.Time) {
	switch {
	case refusal == lease.Late, refusal == lease.Outdated:
	case refusal == lease.OtherIncarnation && w.tracker.Incarnation() != s.Incarnation: // the next one is as good as any
	default:
		w.health.RecordUnavailable(now)
	}
	switch {
	case !resent && refusal != lease.Outdated:
		w.requeueNotStarted(s, string(refusal), now)
	case resent && refusal == lease.Outdated:
		// An earlier send was carried out and the run has ended: the next report lists the
		// reason.
		w.tracker.ConfirmStart(s.Task, s.Run, now)
		w.signal()
	default:
		// An earlier send was or may still be carried out. No run is outdated at its first send: such a
		// refusal is a second response to another start, and the run may begin.
		w.tracker.MarkUnconfirmed(s.Task, s.Run, now)
		w.startResolving()
	}
}

// requeueNotStarted requeues the task of a start that was not carried out.
func (w *worker) requeueNotStarted(s lease.Start, reason string, now time.Time) {
	h := w.home
	a, ok := w.assignments[s.Task]
	w.tracker.Remove(s.Task, s.Run)
	if !ok || a.task.run != s.Run {
		return
	}
	w.unassign(s.Task)
	h.options.Observer.Retried(reason)
	h.options.Log.Info().Str("job", a.job.batch.ID).Str("task", s.Task).Int64("run", s.Run).
		Str("worker", w.info.ID).Str("reason", reason).Msg("task not started")
	h.requeue(a.job, a.task, now)
	h.dispatch(now)
}
