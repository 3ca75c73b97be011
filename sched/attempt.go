package sched

import (
	"time"

	"foxtailmux/model"
	"foxtailmux/queue"
	"foxtailmux/worker"
)

const (
	// refusalPause keeps tasks away from a worker that had no free slot.
	refusalPause = 5 * time.Millisecond

	// unreachablePause keeps tasks away from a worker that refused to connect.
	unreachablePause = 200 * time.Millisecond
)

// attempt sends one task to a worker and delivers or requeues it.
func (s *Scheduler) attempt(w *worker.Worker, j *queue.Job, it *queue.Item) {
	left := time.Until(j.Deadline)
	if left <= 0 || j.Context.Err() != nil {
		s.release(w, it)
		it.Deliver(endedOutcome(j))
		return
	}

	it.Request.LeaseMillis = max(1, left.Milliseconds())
	reply, err := w.Client.Start(j.Context, it.Request)
	s.settle(w, j, it, reply, err)
}

// claim takes a slot for an item. The lock is held, as it is for unclaim.
func (s *Scheduler) claim(w *worker.Worker, it *queue.Item) {
	w.Claim(it.Request.Needs)
	s.running[w.Info.Pool] += it.ExpectedRun
}

func (s *Scheduler) unclaim(w *worker.Worker, it *queue.Item) {
	w.Release(it.Request.Needs)
	s.running[w.Info.Pool] -= it.ExpectedRun
}

func (s *Scheduler) release(w *worker.Worker, it *queue.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.unclaim(w, it)
	s.pump()
}

// settle records what an attempt showed of the worker, then requeues a task
// that was proven not started or delivers its outcome.
func (s *Scheduler) settle(w *worker.Worker, j *queue.Job, it *queue.Item, reply model.TaskReply, err error) {
	s.mu.Lock()
	s.unclaim(w, it)
	if err == nil {
		w.Heard = time.Now()
	}
	if err == nil && reply.Outcome == model.OutcomeDone {
		s.learn(w, it, time.Duration(reply.RunMillis)*time.Millisecond)
	}
	if reply.Leaving {
		w.Leaving = true
	}

	notRun := s.judge(w, reply, err)
	requeued := notRun && j.Context.Err() == nil
	if requeued {
		s.requeue(j, it, err)
	}
	s.pump()
	s.mu.Unlock()

	switch {
	case requeued:
	case notRun:
		it.Deliver(endedOutcome(j))
	default:
		it.Deliver(queue.Outcome{Reply: reply, Err: err})
	}
}

// judge updates the worker's health and reports whether the task is proven
// not started. The lock is held.
func (s *Scheduler) judge(w *worker.Worker, reply model.TaskReply, err error) bool {
	now := time.Now()

	switch {
	case worker.NotSent(err):
		s.punish(w, now)
		s.pause(w, now, unreachablePause)
		return true
	case err != nil:
		s.observer.Message("needed", "start")
		s.observer.TaskStarted()
		s.punish(w, now)
		return false
	case reply.Outcome == model.OutcomeNotRun:
		s.observer.Message("wasted", "refusedStart")
		s.pause(w, now, refusalPause)
		return true
	case reply.Outcome == model.OutcomeFailed:
		s.punish(w, now)
	case reply.Outcome == model.OutcomeDone && s.straggles(w):
		s.eject(w, now, 1)
	case reply.Outcome == model.OutcomeDone:
		w.Health.Succeeded()
	}

	s.observer.Message("needed", "start")
	s.observer.TaskStarted()
	return false
}

// pause keeps a worker free of new tasks and wakes the queue after that.
func (s *Scheduler) pause(w *worker.Worker, now time.Time, d time.Duration) {
	w.FullUntil = now.Add(d)
	time.AfterFunc(d, s.wake)
}

func (s *Scheduler) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.pump()
}

// punish counts a failure against a worker and ejects it when they repeat.
func (s *Scheduler) punish(w *worker.Worker, now time.Time) {
	s.eject(w, now, s.document.Ejection.Failures)
}

// eject takes a worker out of the placement once it has that many failures.
func (s *Scheduler) eject(w *worker.Worker, now time.Time, failures int) {
	e := s.document.Ejection
	rules := worker.Rules{Failures: failures, Backoff: e.Backoff, MaxBackoff: e.MaxBackoff}

	if w.Health.Failed(rules, s.mayEject(now), now) {
		time.AfterFunc(w.Health.Backoff, s.wake)
	}
}

// mayEject reports whether one more ejection leaves enough workers.
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
