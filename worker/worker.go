package worker

import (
	"time"

	"foxtailmux/model"
)

// Worker is the state of one worker as this entry instance sees it. The scheduler's lock
// guards its fields.
type Worker struct {
	Info   model.Worker
	Client *Client

	// Owner is the ID of the entry instance that owns the worker's slots.
	Owner string

	// Running is the number of attempts that this instance runs on the worker, Reserved
	// the resources that they reserve.
	Running  int
	Reserved model.Resources

	// LastResponse is the time of the worker's last response.
	LastResponse time.Time

	// Leaving is set when the platform's list or the worker itself announces that the
	// worker is leaving. It is never reset.
	Leaving bool

	// PausedUntil is until when the worker gets no tasks, after it refused one for lack of
	// a free slot or could not be reached.
	PausedUntil time.Time

	Health Health

	// Slowdown is an exponentially weighted average of the ratio of run time to expected
	// run time; 0 before the first run.
	Slowdown float64
}

const (
	// maxSlowdown limits the influence of a single long run on the average.
	maxSlowdown = 10.0

	// slowdownWeight is the weight of a new run in the average, probedSlowdownWeight that
	// of a run that probes an ejected worker.
	slowdownWeight       = 0.15
	probedSlowdownWeight = 0.5
)

// ObserveRun records the run time of a task and the expected one in Slowdown. Runs without
// an expected run time are not recorded.
func (w *Worker) ObserveRun(run, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(maxSlowdown, run.Seconds()/expected.Seconds())
	if w.Slowdown == 0 {
		w.Slowdown = 1
	}
	weight := slowdownWeight
	if w.Health.probing {
		weight = probedSlowdownWeight
	}
	w.Slowdown += weight * (ratio - w.Slowdown)
}

// FreeSlots returns the number of slots on which this instance may start tasks now.
func (w *Worker) FreeSlots(now time.Time) int {
	if now.Before(w.PausedUntil) {
		return 0
	}
	return max(0, w.UsableSlots(now)-w.Running)
}

// UsableSlots returns the number of slots, free or not, that the worker's health permits to
// use for new tasks; 0 if the worker is leaving.
func (w *Worker) UsableSlots(now time.Time) int {
	if w.Leaving {
		return 0
	}
	return w.Health.AllowedRuns(w.Info.Slots, now)
}

// Fits reports whether the worker's free capacity covers the needs of a task.
func (w *Worker) Fits(needs model.Resources) bool {
	return w.Reserved.Plus(needs).Within(w.Info.Capacity)
}

// Reserve takes a slot and reserves the resources that a task needs.
func (w *Worker) Reserve(needs model.Resources) {
	w.Running++
	w.Reserved = w.Reserved.Plus(needs)
}

// Release returns a slot and the resources that Reserve took.
func (w *Worker) Release(needs model.Resources) {
	w.Running--
	w.Reserved = w.Reserved.Minus(needs)
}
