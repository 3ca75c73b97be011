package sched

import (
	"slices"
	"time"

	"foxtailmux/queue"
	"foxtailmux/worker"
)

// stragglerFactor is how many times slower than the median of the other workers
// of its pool a worker must be to be ejected.
const stragglerFactor = 3.0

// observeRun records the run time of a task. Run times on an ejected worker are
// left out of the estimate for the service, since they reflect the worker's
// fault. The lock is held.
func (s *Scheduler) observeRun(w *worker.Worker, it *queue.Item, run time.Duration) {
	w.ObserveRun(run, it.ExpectedRun)
	if !w.Health.Ejected(time.Now()) {
		s.estimator.Observe(it.Request.Service, run)
	}
}

// isStraggler reports whether a worker is slower than its expected run times and
// more than stragglerFactor times slower than the median of the other owned
// workers of its pool. The lock is held.
func (s *Scheduler) isStraggler(w *worker.Worker) bool {
	if w.Slowdown <= 1 {
		return false
	}

	var others []float64
	for _, o := range s.owned {
		if o != w && o.Info.Pool == w.Info.Pool && o.Slowdown > 0 {
			others = append(others, o.Slowdown)
		}
	}
	if len(others) == 0 {
		return false
	}
	slices.Sort(others)
	return w.Slowdown > stragglerFactor*others[len(others)/2]
}
