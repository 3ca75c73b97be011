package sched

import (
	"time"

	"foxtailmux/model"
	"foxtailmux/queue"
	"foxtailmux/worker"
)

const (
	// refusalPause is the time without new tasks after a worker refused to start
	// one, for example since it had no free slot.
	refusalPause = 5 * time.Millisecond

	// unreachablePause is the time without new tasks after a start request could
	// not be sent to a worker, for example since no connection could be opened.
	unreachablePause = 200 * time.Millisecond
)

// attempt sends a start request to a worker, waits for the reply and delivers
// the outcome or requeues the task. The lease of the task ends at the job's
// deadline.
func (s *Scheduler) attempt(w *worker.Worker, j *queue.Job, it *queue.Item) {
	left := time.Until(j.Deadline)
	if left <= 0 || j.Context.Err() != nil {
		s.releaseAndDispatch(w, it)
		it.Deliver(endedOutcome(j))
		return
	}

	it.Request.LeaseMillis = max(1, left.Milliseconds())
	reply, err := w.Client.Start(j.Context, it.Request)
	s.finishAttempt(w, j, it, reply, err)
}

// reserve takes a slot and the needed resources of a worker for an item. The
// lock is held, as it is for unreserve.
func (s *Scheduler) reserve(w *worker.Worker, it *queue.Item) {
	w.Reserve(it.Request.Needs)
	s.inFlight[w.Info.Pool] += it.ExpectedRun
}

func (s *Scheduler) unreserve(w *worker.Worker, it *queue.Item) {
	w.Release(it.Request.Needs)
	s.inFlight[w.Info.Pool] -= it.ExpectedRun
}

func (s *Scheduler) releaseAndDispatch(w *worker.Worker, it *queue.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.unreserve(w, it)
	s.dispatch()
}

// finishAttempt releases the worker's slot and records its health and run time.
// It requeues the task if the task certainly wasn't started and the job hasn't
// ended, else it delivers the outcome.
func (s *Scheduler) finishAttempt(w *worker.Worker, j *queue.Job, it *queue.Item, reply model.TaskReply, err error) {
	s.mu.Lock()
	s.unreserve(w, it)
	if err == nil {
		w.LastResponse = time.Now()
	}
	if err == nil && reply.Outcome == model.OutcomeDone {
		s.observeRun(w, it, time.Duration(reply.RunMillis)*time.Millisecond)
	}
	if reply.Leaving {
		w.Leaving = true
	}

	notRun := s.recordAttempt(w, reply, err)
	requeued := notRun && j.Context.Err() == nil
	if requeued {
		s.requeue(j, it, err)
	}
	s.dispatch()
	s.mu.Unlock()

	switch {
	case requeued:
	case notRun:
		it.Deliver(endedOutcome(j))
	default:
		it.Deliver(queue.Outcome{Reply: reply, Err: err})
	}
}

// recordAttempt updates the worker's health by the result of an attempt and
// reports whether the task certainly wasn't started. The lock is held.
func (s *Scheduler) recordAttempt(w *worker.Worker, reply model.TaskReply, err error) bool {
	now := time.Now()

	switch {
	case worker.NotSent(err):
		s.recordFailure(w, now)
		s.pauseWorker(w, now, unreachablePause)
		return true
	case err != nil:
		s.observer.Message("needed", "start")
		s.observer.TaskStarted()
		s.recordFailure(w, now)
		return false
	case reply.Outcome == model.OutcomeNotRun:
		s.observer.Message("wasted", "refusedStart")
		s.pauseWorker(w, now, refusalPause)
		return true
	case reply.Outcome == model.OutcomeFailed:
		s.recordFailure(w, now)
	case reply.Outcome == model.OutcomeDone && s.isStraggler(w):
		s.recordFailureWithLimit(w, now, 1)
	case reply.Outcome == model.OutcomeDone:
		w.Health.RecordSuccess()
	}

	s.observer.Message("needed", "start")
	s.observer.TaskStarted()
	return false
}

// pauseWorker sends no new tasks to a worker for d and dispatches again after
// that. The lock is held.
func (s *Scheduler) pauseWorker(w *worker.Worker, now time.Time, d time.Duration) {
	w.PausedUntil = now.Add(d)
	time.AfterFunc(d, s.redispatch)
}

func (s *Scheduler) redispatch() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.dispatch()
}

// recordFailure counts a failure of a worker and ejects the worker when the
// configured number of failures in a row is reached. The lock is held.
func (s *Scheduler) recordFailure(w *worker.Worker, now time.Time) {
	s.recordFailureWithLimit(w, now, s.document.Ejection.Failures)
}

// recordFailureWithLimit counts a failure of a worker and ejects the worker, so that it gets
// no tasks until its backoff is over, if it has that many failures in a row or
// fails when it is probed after an ejection. No worker is ejected if mayEject
// returns false. The lock is held.
func (s *Scheduler) recordFailureWithLimit(w *worker.Worker, now time.Time, failures int) {
	e := s.document.Ejection
	rules := worker.EjectionRules{Failures: failures, Backoff: e.Backoff, MaxBackoff: e.MaxBackoff}

	if w.Health.RecordFailure(rules, s.mayEject(now), now) {
		time.AfterFunc(w.Health.Backoff, s.redispatch)
	}
}

// mayEject reports whether the share of ejected workers stays within the
// configured maximum with one more. The lock is held.
func (s *Scheduler) mayEject(now time.Time) bool {
	var ejected int
	for _, w := range s.owned {
		if w.Health.Ejected(now) {
			ejected++
		}
	}
	return float64(ejected+1) <= s.document.Ejection.MaxShare*float64(len(s.owned))
}

func (s *Scheduler) requeue(j *queue.Job, it *queue.Item, err error) {
	reason := "notRun"
	if err != nil {
		reason = "notSent"
	}
	s.observer.Retried(reason)

	it.Request.Attempt++
	s.queue.PushFront(j, it)
}
