package home

import (
	"time"

	"foxtailmux/lease"
	"foxtailmux/plan"
)

// checkProgress looks at runs that last longer than expected, and moves those
// that do better elsewhere. The lock is held.
func (u *unit) checkProgress(now time.Time) {
	if !u.listed {
		return
	}
	if now.Sub(u.listedAt) > claimWindow {
		for _, f := range u.book.Inherited() {
			u.home.options.Log.Info().Str("task", f.Task).Int64("run", f.Number).Str("worker", u.worker.ID).
				Msg("run of an earlier home stopped")
			u.book.MarkStopping(f.Task, f.Number, now)
			u.home.spawn(func() { u.sendStop(f.Task, f.Number) })
		}
	}
	for _, p := range u.book.Progress() {
		o, ok := u.owners[p.Task]
		if !ok || p.Stopping || o.task.run != p.Number {
			continue
		}
		estimate := o.job.estimates[o.task.step]
		if now.Before(plan.ProgressCheckAt(p.StartedAt, estimate)) {
			continue
		}
		u.reconsider(o, p, estimate, now)
	}
}

// lookInterval is the least time between two looks at a worker's progress;
// each one is a call that the platform charges for.
const lookInterval = 60 * time.Millisecond

// reconsider moves a run that lasts too long, if its progress is known freshly.
func (u *unit) reconsider(o owner, p lease.Progress, estimate time.Duration, now time.Time) {
	age := now.Sub(u.book.LastReport())
	if age > lookInterval {
		u.look()
		return
	}
	if !plan.ShouldMove(now.Sub(p.StartedAt), p.Percent, estimate) {
		return
	}
	h := u.home
	switch {
	case plan.Stalled(now.Sub(p.PercentAt), estimate):
		u.health.RecordStall(now)
	case !o.job.blame(u, now):
		return // its estimate is at fault
	case !h.roomElsewhere(u, o, now):
		return
	}
	h.options.Log.Warn().Str("job", o.job.batch.ID).Str("task", p.Task).Int64("run", p.Number).Str("worker", u.worker.ID).
		Int("percent", p.Percent).Int64("elapsedMillis", now.Sub(p.StartedAt).Milliseconds()).
		Int64("estimateMillis", estimate.Milliseconds()).Msg("run makes no headway and is moved")
	h.options.Observer.Retried("stalled")
	u.move(o, p, now)
}

// move stops a run; its task waits until the run is proven to be over.
func (u *unit) move(o owner, p lease.Progress, now time.Time) {
	o.task.mark(u.worker.ID)
	u.book.MarkStopping(p.Task, p.Number, now)
	u.home.spawn(func() { u.sendStop(p.Task, p.Number) })
}

// mark remembers that a run on a worker came to nothing.
func (t *task) mark(worker string) {
	if t.tried == nil {
		t.tried = map[string]bool{}
	}
	t.tried[worker] = true
}

func (h *Home) roomElsewhere(except *unit, o owner, now time.Time) bool {
	step := o.job.batch.Steps[o.task.step]
	for _, u := range h.units {
		if u != except && u.usable() && u.health.State(now) == plan.Healthy && u.serves(o.job.route, step) && step.Needs.Within(u.book.Free()) {
			return true
		}
	}
	return false
}

// look asks for the progress of the runs. The lock is held.
func (u *unit) look() {
	if u.looking {
		return
	}
	u.looking = true
	u.home.spawn(func() {
		_ = u.hold(false) // a failure is logged and noted by hold
		u.home.mu.Lock()
		defer u.home.mu.Unlock()
		u.looking = false
	})
}
