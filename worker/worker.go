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

	// Owner is the entry instance that owns the slots of the worker.
	Owner string

	// Running counts the attempts of this instance, Reserved what they reserve.
	Running  int
	Reserved model.Resources

	// LastResponse is when the worker last answered.
	LastResponse time.Time

	// Leaving is set by the platform's list or by the worker itself and is
	// taken back by neither.
	Leaving bool

	// FullUntil is when a worker that refused for want of a slot is tried again.
	FullUntil time.Time

	Health Health

	// Slowdown is a decaying mean of run times over what was expected of them;
	// 0 before the first.
	Slowdown float64
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
	if w.Slowdown == 0 {
		w.Slowdown = 1
	}
	weight := slownessDecay
	if w.Health.probing {
		weight = probeDecay
	}
	w.Slowdown += weight * (ratio - w.Slowdown)
}

// FreeSlots returns the number of slots that this instance may still fill.
func (w *Worker) FreeSlots(now time.Time) int {
	if now.Before(w.FullUntil) {
		return 0
	}
	return max(0, w.UsableSlots(now)-w.Running)
}

// UsableSlots returns the number of slots that the worker's health leaves to new
// tasks, whether they are free or not.
func (w *Worker) UsableSlots(now time.Time) int {
	if w.Leaving {
		return 0
	}
	return w.Health.AllowedRuns(w.Info.Slots, now)
}

// Fits reports whether the worker has room for needs beside what runs.
func (w *Worker) Fits(needs model.Resources) bool {
	return w.Reserved.Plus(needs).Within(w.Info.Capacity)
}

// Reserve takes a slot and the needs of a task.
func (w *Worker) Reserve(needs model.Resources) {
	w.Running++
	w.Reserved = w.Reserved.Plus(needs)
}

// Release gives back what Reserve took.
func (w *Worker) Release(needs model.Resources) {
	w.Running--
	w.Reserved = w.Reserved.Minus(needs)
}
