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

	// Running counts the attempts of this instance, Used what they claim.
	Running int
	Used    model.Needs

	// Heard is when the worker last answered.
	Heard time.Time

	// Leaving is set by the platform's list or by the worker itself and is
	// taken back by neither.
	Leaving bool

	// FullUntil is when a worker that refused for want of a slot is tried again.
	FullUntil time.Time

	Health Health
}

// Free returns the number of slots that this instance may still fill.
func (w *Worker) Free(now time.Time) int {
	if w.Leaving || now.Before(w.FullUntil) {
		return 0
	}
	return max(0, w.Health.Allowed(w.Info.Slots, now)-w.Running)
}

// Fits reports whether the worker has room for needs beside what runs.
func (w *Worker) Fits(needs model.Needs) bool {
	capacity := w.Info.Capacity
	return w.Used.Cores+needs.Cores <= capacity.Cores &&
		w.Used.MemoryMB+needs.MemoryMB <= capacity.MemoryMB &&
		w.Used.Accelerators+needs.Accelerators <= capacity.Accelerators
}

// Claim takes a slot and the needs of a task.
func (w *Worker) Claim(needs model.Needs) {
	w.Running++
	w.Used.Cores += needs.Cores
	w.Used.MemoryMB += needs.MemoryMB
	w.Used.Accelerators += needs.Accelerators
}

// Release gives back what Claim took.
func (w *Worker) Release(needs model.Needs) {
	w.Running--
	w.Used.Cores -= needs.Cores
	w.Used.MemoryMB -= needs.MemoryMB
	w.Used.Accelerators -= needs.Accelerators
}

// CouldHold reports whether an idle worker of that capacity fits needs.
func CouldHold(capacity, needs model.Needs) bool {
	return needs.Cores <= capacity.Cores &&
		needs.MemoryMB <= capacity.MemoryMB &&
		needs.Accelerators <= capacity.Accelerators
}
