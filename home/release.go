package home

import (
	"cmp"
	"slices"
	"time"

	"foxtailmux/model"
	"foxtailmux/plan"
)

// expectedEnd is the end that is expected of a run which is assigned to a job.
type expectedEnd struct {
	at       time.Time
	run      int64
	task     string
	worker   *worker
	needs    model.Resources
	estimate time.Duration // run time
}

func compareEnds(a, b expectedEnd) int {
	return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.run, b.run))
}

// newExpectedEnd returns the expected end of the present run of a task.
func newExpectedEnd(w *worker, a assignment) expectedEnd {
	estimate := a.expectedRun()
	return expectedEnd{
		at:       a.task.startedAt.Add(estimate),
		run:      a.task.run,
		task:     a.task.name,
		worker:   w,
		needs:    a.job.batch.Steps[a.task.step].Needs,
		estimate: estimate,
	}
}

// addExpectedEnd inserts the expected end of a run that was assigned. The ends are kept in order,
// so that a job that finds no free capacity costs little where many tasks run.
func (h *Home) addExpectedEnd(e expectedEnd) {
	i, _ := slices.BinarySearchFunc(h.expectedEnds, e, compareEnds)
	h.expectedEnds = slices.Insert(h.expectedEnds, i, e)
}

func (h *Home) removeExpectedEnd(e expectedEnd) {
	if i, ok := slices.BinarySearchFunc(h.expectedEnds, e, compareEnds); ok {
		h.expectedEnds = slices.Delete(h.expectedEnds, i, i+1)
	}
}

// addExpectedReleases describes the running tasks on the usable workers that end first and together
// release an amount of CPU, in thousandths of a core.
func (h *Home) addExpectedReleases(b *plan.Backlog, milliCores int, now time.Time) {
	if milliCores <= 0 {
		return
	}
	var runs time.Duration
	b.ExpectedReleases = make([]plan.ExpectedRelease, 0, len(h.expectedEnds))
	for _, e := range h.expectedEnds {
		if milliCores <= 0 {
			break
		}
		if !e.worker.canStart(now) {
			continue
		}
		released := e.needs.TotalMilliCores()
		b.ExpectedReleases = append(b.ExpectedReleases, plan.ExpectedRelease{MilliCores: released, In: max(e.at.Sub(now), 0)})
		runs += e.estimate
		milliCores -= released
	}
	if len(b.ExpectedReleases) > 0 {
		b.MeanRun = runs / time.Duration(len(b.ExpectedReleases))
	}
}

// releasedBy returns the resources that confirmed runs are expected to release until a time, by
// worker.
func (h *Home) releasedBy(until time.Time) map[*worker]model.Resources {
	released := map[*worker]model.Resources{}
	for _, e := range h.expectedEnds {
		if e.at.After(until) {
			break
		}
		if e.worker.tracker.IsRunning(e.task) {
			released[e.worker] = released[e.worker].Plus(e.needs)
		}
	}
	return released
}
