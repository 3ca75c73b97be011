package home

import (
	"errors"
	"time"

	"foxtailmux/lease"
	"foxtailmux/plan"
)

// unanswered notes an order that failed on the way. The lock is held.
func (u *unit) unanswered(op string, err error, now time.Time) {
	if u.health.Trust(now) != plan.Avoided {
		u.home.options.Log.Warn().Err(err).Str("worker", u.worker.ID).Str("order", op).
			Int64("heardMillisAgo", now.Sub(u.book.HeardAt()).Milliseconds()).Msg("order not answered")
	}
	u.health.Silent()
}

// answered notes that the worker answers. The lock is held.
func (u *unit) answered() {
	if u.health.Answered() {
		u.home.options.Log.Info().Str("worker", u.worker.ID).Msg("worker answers again")
	}
}

// sent reports whether an order may have reached the worker.
func sent(err error) bool {
	var told interface{ Sent() bool }
	return !errors.As(err, &told) || told.Sent()
}

// start sends one start and takes its answer.
func (u *unit) start(s lease.Start) {
	reply, err := u.endpoint.Start(s, orderTimeout)

	h := u.home
	h.mu.Lock()
	defer h.mu.Unlock()
	if u.ctx.Err() != nil {
		return
	}
	now := time.Now()
	if err != nil {
		u.unanswered("start", err, now)
		if sent(err) {
			u.book.Doubt(s.Task, s.Run)
			u.settle()
			return
		}
		u.notStarted(s, "not sent", now)
		u.wakeUp()
		return
	}

	u.book.Heard(reply.Clock, now)
	switch reply.Refusal {
	case lease.Accepted:
		u.answered()
		u.health.Accepted()
		u.book.Confirm(s.Task, s.Run, now)
	case lease.Fenced:
		h.fence(u.worker.ID)
	case lease.OtherWorker:
		u.replaced(now)
	default:
		u.refused(s, reply.Refusal, now)
	}
}

// refused takes a start that the worker did not carry out.
func (u *unit) refused(s lease.Start, why lease.Refusal, now time.Time) {
	if why != lease.Late && why != lease.Outdated {
		u.health.Unwell(now)
	}
	u.notStarted(s, string(why), now)
}

// notStarted puts the task of a start that was not carried out back.
func (u *unit) notStarted(s lease.Start, reason string, now time.Time) {
	h := u.home
	o, ok := u.owners[s.Task]
	u.book.Drop(s.Task, s.Run)
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
