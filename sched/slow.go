package sched

import (
	"slices"
	"time"

	"foxtailmux/queue"
	"foxtailmux/worker"
)

// slowFactor is how much slower than the median of its pool a worker must be
// to be ejected.
const slowFactor = 3.0

// learn records how long a task ran. What an ejected worker shows says
// nothing of the service. The lock is held.
func (s *Scheduler) learn(w *worker.Worker, it *queue.Item, run time.Duration) {
	w.ObserveRun(run, it.ExpectedRun)
	if !w.Health.Ejected(time.Now()) {
		s.estimator.Observe(it.Request.Service, run)
	}
}

// straggles reports whether a worker is much slower than the others of its
// pool. The lock is held.
func (s *Scheduler) straggles(w *worker.Worker) bool {
	if w.Slowness <= 1 {
		return false
	}

	var others []float64
	for _, o := range s.owned {
		if o != w && o.Info.Pool == w.Info.Pool && o.Slowness > 0 {
			others = append(others, o.Slowness)
		}
	}
	if len(others) == 0 {
		return false
	}
	slices.Sort(others)
	return w.Slowness > slowFactor*others[len(others)/2]
}
