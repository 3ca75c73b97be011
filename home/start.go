package home

import (
	"errors"
	"time"

	"foxtailmux/lease"
	"foxtailmux/model"
	"foxtailmux/plan"
)

// unanswered notes an order that failed on the way. The lock is held.
func (u *unit) unanswered(op string, err error, now time.Time) {
	if u.health.State(now) != plan.Ejected {
		u.home.options.Log.Warn().Err(err).Str("worker", u.worker.ID).Str("order", op).
			Int64("heardMillisAgo", now.Sub(u.book.LastResponse()).Milliseconds()).Msg("order not answered")
	}
	u.health.RecordNoResponse()
}

// answered notes that the worker answers. The lock is held.
func (u *unit) answered(now time.Time) {
	if u.health.RecordResponse(now) {
		u.home.options.Log.Info().Str("worker", u.worker.ID).Msg("worker answers again")
	}
}

// sent reports whether an order may have reached the worker.
func sent(err error) bool {
	var told interface{ Sent() bool }
	return !errors.As(err, &told) || told.Sent()
}

// noteAnswer takes the time of an answer without what its order waited for the link.
func (h *Home) noteAnswer(took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers.Record(max(took, 0))
	h.repeats.Deposit(1)
}

const (
	// startTimeout is how long a start waits for its answer until it is sent
	// again. Sound workers answer 999 of 1000 starts within 25 ms.
	startTimeout = 30 * time.Millisecond

	// startTries bounds the sends of one start. Of the starts on a worker that
	// loses half of its orders, 3% are lost so often in a row.
	startTries = 5

	// repeatsPerAnswer bounds the starts that are sent again by the answers that come:
	// while a full link lets none through, more of them keep it full. Where half of
	// all orders are lost there is one answer for each repeat.
	repeatsPerAnswer = 3
)

// start sends a start and takes its answer. One without an answer is sent again
// with the same run, which the worker carries out once.
func (u *unit) start(w model.Worker, s lease.Start, via sending) {
	for try := 1; ; try++ {
		reply, err := u.sendStart(w, s, via)
		if !u.startAgain(&s, try, err, via) {
			u.started(s, reply, err, try > 1, via)
			return
		}
	}
}

// startAgain decides whether a start is sent again, and renews its lease if so.
func (u *unit) startAgain(s *lease.Start, try int, err error, via sending) bool {
	var origin *OriginError
	if err == nil || !sent(err) || try == startTries || errors.As(err, &origin) {
		return false
	}
	h := u.home
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	o, ok := u.owners[s.Task]
	if !ok || o.task.run != s.Run || u.ctx.Err() != nil || h.fenced || u.gone {
		return false
	}
	if !h.repeats.Withdraw() {
		return false
	}
	until, ok := u.book.RecordResend(s.Task, s.Run, now)
	if !ok {
		return false
	}
	u.unanswered("start", err, now)
	s.Until = until
	h.noteSent(*s, via, now)
	return true
}

// started takes the answer to a start, or that there was none.
func (u *unit) started(s lease.Start, reply lease.Reply, err error, repeated bool, via sending) {
	h := u.home
	h.mu.Lock()
	defer h.mu.Unlock()
	if u.ctx.Err() != nil {
		return
	}
	now := time.Now()
	if err != nil {
		u.startFailed(s, err, repeated, via, now)
		return
	}

	u.book.RecordResponse(reply.Clock, now)
	switch reply.Refusal {
	case lease.Accepted:
		u.answered(now)
		u.health.RecordAcceptedStart()
		u.book.ConfirmStart(s.Task, s.Run, now)
	case lease.Fenced:
		h.fence(u.worker.ID)
	case lease.OtherWorker:
		u.replaced(now)
	default:
		u.refused(s, reply.Refusal, repeated, now)
	}
}

// startFailed takes a start without an answer.
func (u *unit) startFailed(s lease.Start, err error, repeated bool, via sending, now time.Time) {
	o, ok := u.owners[s.Task]
	var origin *OriginError
	switch {
	case !errors.As(err, &origin):
		u.unanswered("start", err, now)
	case ok && o.task.run == s.Run:
		u.home.missed(o, via, origin)
	}
	if repeated || sent(err) {
		u.book.MarkUnconfirmed(s.Task, s.Run, now)
		u.settle()
	} else {
		u.notStarted(s, "not sent", now)
		u.wakeUp()
	}
}

// refused takes a start that the worker did not carry out.
func (u *unit) refused(s lease.Start, why lease.Refusal, repeated bool, now time.Time) {
	if why != lease.Late && why != lease.Outdated {
		u.health.RecordUnavailable(now)
	}
	switch {
	case !repeated:
		u.notStarted(s, string(why), now)
	case why == lease.Outdated:
		// An earlier send was carried out and the run has ended: the next report
		// lists how.
		u.book.ConfirmStart(s.Task, s.Run, now)
		u.wakeUp()
	default:
		// An earlier send may have been carried out, or will be.
		u.book.MarkUnconfirmed(s.Task, s.Run, now)
		u.settle()
	}
}

// notStarted puts the task of a start that was not carried out back.
func (u *unit) notStarted(s lease.Start, reason string, now time.Time) {
	h := u.home
	o, ok := u.owners[s.Task]
	u.book.Remove(s.Task, s.Run)
	if !ok || o.task.run != s.Run {
		return
	}
	delete(u.owners, s.Task)
	h.options.Observer.Retried(reason)
	h.options.Log.Info().Str("job", o.job.batch.ID).Str("task", s.Task).Int64("run", s.Run).
		Str("worker", u.worker.ID).Str("reason", reason).Msg("task not started")
	h.again(o.job, o.task, now)
	h.dispatch(now)
}
