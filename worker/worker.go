package worker

import (
	"time"

	"foxtailmux/model"
)

// Worker is what this instance knows of one worker. The scheduler that owns
// it guards its fields.
type Worker struct {
	Info   model.Worker
	Client *Client

	// Home is the instance that is the worker's home.
	Home string

	// Running counts the attempts of this instance, Used what they claim.
	Running int
	Used    model.Resources

	// Heard is when the worker last answered.
	Heard time.Time

	// Leaving is set by the platform's list or by the worker itself and is
	// taken back by neither.
	Leaving bool

	// FullUntil is when a worker that refused for want of a slot is tried again.
	FullUntil time.Time

	Health Health

	// Slowness is a decaying mean of run times over what was expected of them;
	// 0 before the first.
	Slowness float64
}

const (
	// maxSlowness bounds what one long task may show of its worker.
	maxSlowness = 10.0

	// slownessDecay is the weight of a new run time, probeDecay that of one on
	// a worker that is being probed.
	slownessDecay = 0.15
	probeDecay    = 0.5
)

// ObserveRun records how long a task ran and what was expected of it.
func (w *Worker) ObserveRun(run, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(maxSlowness, run.Seconds()/expected.Seconds())
	if w.Slowness == 0 {
		w.Slowness = 1
	}
	weight := slownessDecay
	if w.Health.probing {
		weight = probeDecay
	}
	w.Slowness += weight * (ratio - w.Slowness)
}

// Free returns the number of slots that this instance may still fill.
func (w *Worker) Free(now time.Time) int {
	if now.Before(w.FullUntil) {
		return 0
	}
	return max(0, w.Usable(now)-w.Running)
}

// Usable returns the number of slots that the worker's health leaves to new
// tasks, whether they are free or not.
func (w *Worker) Usable(now time.Time) int {
	if w.Leaving {
		return 0
	}
	return w.Health.Allowed(w.Info.Slots, now)
}

// Fits reports whether the worker has room for needs beside what runs.
func (w *Worker) Fits(needs model.Resources) bool {
	return w.Used.Plus(needs).Within(w.Info.Capacity)
}

// Claim takes a slot and the needs of a task.
func (w *Worker) Claim(needs model.Resources) {
	w.Running++
	w.Used = w.Used.Plus(needs)
}

// Release gives back what Claim took.
func (w *Worker) Release(needs model.Resources) {
	w.Running--
	w.Used = w.Used.Minus(needs)
}
