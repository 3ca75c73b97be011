package home

import (
	"time"

	"foxtailmux/lease"
	"foxtailmux/plan"
)

// checkProgress stops runs of an earlier home that are unwanted or were not adopted in time, and moves runs
// that last too long. The lock is held.
func (w *worker) checkProgress(now time.Time) {
	if !w.reported {
		return
	}
	if expired := now.Sub(w.reportedAt) > adoptionWindow; expired || len(w.home.unwanted) > 0 {
		for _, f := range w.tracker.Inherited() {
			if !expired && !w.home.isUnwanted(f.Task) {
				continue
			}
			w.home.options.Log.Info().Str("task", f.Task).Int64("run", f.Number).Str("worker", w.info.ID).
				Msg("run of an earlier home stopped")
			w.tracker.MarkUnwanted(f.Task, f.Number)
			w.tracker.MarkStopping(f.Task, f.Number, now)
			w.home.spawn(func() { w.sendStop(f.Task, f.Number) })
		}
	}
	for p := range w.tracker.Progress() {
		a, ok := w.assignments[p.Task]
		if !ok || p.Stopping || a.task.run != p.Number {
			continue
		}
		estimate := a.expectedRun()
		if now.Before(plan.ProgressCheckAt(p.StartedAt, estimate)) {
			continue
		}
		w.moveIfSlow(a, p, estimate, now)
	}
}

// progressCheckInterval is the least time between two progress checks of a worker; the platform
// charges for each request.
const progressCheckInterval = 60 * time.Millisecond

// moveIfSlow moves a run that is stalled or too slow. It decides on recent progress only, and
// requests it otherwise.
func (w *worker) moveIfSlow(a assignment, p lease.Progress, estimate time.Duration, now time.Time) {
	age := now.Sub(w.tracker.LastReport())
	if age > progressCheckInterval {
		w.requestProgress()
		return
	}
	if !plan.ShouldMove(now.Sub(p.StartedAt), p.Percent, w.home.expectedRunElsewhere(a.job, a.task)) {
		return
	}
	h := w.home
	switch {
	case h.uneven && w.speed.WasUsualSince(p.StartedAt.Add(estimate)) && !plan.Stalled(now.Sub(p.PercentAt), estimate):
		return // the task is long, not the worker slow
	case plan.Stalled(now.Sub(p.PercentAt), estimate):
		w.health.RecordStall(now)
	case !a.job.attributeFailure(w, now):
		return // the estimate is at fault, not the worker
	case !h.fitsElsewhere(w, a, now):
		return
	}
	h.options.Log.Warn().Str("job", a.job.batch.ID).Str("task", p.Task).Int64("run", p.Number).Str("worker", w.info.ID).
		Int("percent", p.Percent).Int64("elapsedMillis", now.Sub(p.StartedAt).Milliseconds()).
		Int64("estimateMillis", estimate.Milliseconds()).Msg("run makes no headway and is moved")
	h.options.Observer.Retried("stalled")
	w.move(a, p, now)
}

// move stops a run; its task is requeued when the run has certainly ended.
func (w *worker) move(a assignment, p lease.Progress, now time.Time) {
	a.task.markTried(w.info.ID)
	w.tracker.MarkStopping(p.Task, p.Number, now)
	w.home.spawn(func() { w.sendStop(p.Task, p.Number) })
}

// markTried records that a run of the task failed, was too slow or did not start on a worker.
func (t *task) markTried(worker string) {
	if t.triedOn == nil {
		t.triedOn = map[string]bool{}
	}
	t.triedOn[worker] = true
}

// fitsElsewhere reports whether a task fits on another healthy worker.
func (h *Home) fitsElsewhere(except *worker, a assignment, now time.Time) bool {
	step := a.job.batch.Steps[a.task.step]
	for _, w := range h.workers {
		if w != except && w.isUsable() && w.health.State(now) == plan.Healthy && w.canServe(&a.job.route, &step) && step.Needs.Within(w.tracker.Free()) {
			return true
		}
	}
	return false
}

// requestProgress requests the progress of the runs in a goroutine. The lock is held.
func (w *worker) requestProgress() {
	if w.checking {
		return
	}
	w.checking = true
	w.home.spawn(func() {
		_ = w.renew(false) // renew logs and records the failure
		w.home.mu.Lock()
		defer w.home.mu.Unlock()
		w.checking = false
	})
}
