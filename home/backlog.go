package home

import (
	"time"

	"foxtailmux/plan"
)

// reviewWaitingJobs refuses waiting jobs that can no longer end in time with the present
// backlog: capacity that was expected at their arrival, such as a worker, may be missing now.
func (h *Home) reviewWaitingJobs(now time.Time) {
	if len(h.waiting) == 0 || !h.capacityKnown(now) {
		return
	}
	ahead := 0
	backlogs := map[string]plan.Backlog{} // by service, whose tasks have similar needs
	for _, j := range h.jobsByUrgency(now) {
		milliCores := j.waitingMilliCores()
		if j.started || j.resumed {
			ahead += milliCores
			continue
		}
		b, ok := backlogs[j.route.Service]
		if !ok {
			b = h.usableCapacity(j, now)
			backlogs[j.route.Service] = b
		}
		b.Ahead = ahead
		wait := b.EstimateWait(milliCores)
		if !plan.Keep(wait, j.timing(now)) {
			h.finish(j, h.newRefusal("the backlog leaves no time", wait))
			continue
		}
		ahead += milliCores
	}
}

// capacityKnown reports whether each worker has reported its runs or has left a request without
// a response. Workers that don't respond have no usable capacity: a home that waited for them
// would accept more jobs than the others can run. Used for the first second of a home, when
// callers return together after a loss of all instances.
func (h *Home) capacityKnown(now time.Time) bool {
	for _, w := range h.workers {
		if !w.reported && !w.removed && !w.health.IsUnresponsive(now) {
			return false
		}
	}
	return len(h.workers) > 0 || h.allRunsKnown(now)
}

// backlog describes the capacity and the load that a new job finds.
func (h *Home) backlog(j *job, now time.Time) plan.Backlog {
	b := h.usableCapacity(j, now)
	mine := j.asWaiting()
	for other := range h.waiting {
		if plan.Compare(other.asWaiting(), mine, now) <= 0 {
			b.Ahead += other.waitingMilliCores()
		}
	}
	return b
}

// usableCapacity describes to a job the capacity of the usable workers and the running tasks on
// them.
func (h *Home) usableCapacity(j *job, now time.Time) plan.Backlog {
	var b plan.Backlog
	var runs time.Duration
	for _, w := range h.workers {
		if !w.isUsable() || w.health.State(now) == plan.Ejected {
			continue
		}
		capacity := w.tracker.Capacity().TotalMilliCores()
		b.Capacity += capacity
		b.Free += h.usableFreeMilliCores(w, j)
		for _, p := range w.tracker.Progress() {
			a, ok := w.assignments[p.Task]
			if !ok {
				continue
			}
			estimate := a.job.estimates[a.task.step]
			b.ExpectedReleases = append(b.ExpectedReleases, plan.ExpectedRelease{MilliCores: p.Needs.TotalMilliCores(), In: max(estimate-now.Sub(p.StartedAt), 0)})
			runs += estimate
		}
	}
	if len(b.ExpectedReleases) > 0 {
		b.MeanRun = runs / time.Duration(len(b.ExpectedReleases))
	}
	return b
}

// startableTasks returns the number of tasks of a job's first step that could start now, behind
// the tasks that already wait.
func (h *Home) startableTasks(j *job, now time.Time) int {
	needs := j.batch.Steps[0].Needs.TotalMilliCores()
	if needs <= 0 {
		return 0
	}
	b := h.backlog(j, now)
	return max(b.Free-b.Ahead, 0) / needs
}

// usableFreeMilliCores returns the free CPU of a worker, in thousandths of a core, that whole
// tasks of a job's first step can use, since a gap smaller than a task is of no use to the job.
// It counts no more tasks than the job has.
func (h *Home) usableFreeMilliCores(w *worker, j *job) int {
	if len(j.batch.Steps) == 0 {
		return 0
	}
	needs := j.batch.Steps[0].Needs
	if !w.canServe(j.route, j.batch.Steps[0]) || needs.TotalMilliCores() <= 0 {
		return 0
	}
	free, n := w.tracker.Free(), 0
	for needs.Within(free) && n < len(j.tasks) {
		free = free.Minus(needs)
		n++
	}
	return n * needs.TotalMilliCores()
}

// waitingMilliCores returns the CPU, in thousandths of a core, that the waiting tasks need.
func (j *job) waitingMilliCores() int {
	total := 0
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == taskWaiting {
			total += j.batch.Steps[t.step].Needs.TotalMilliCores()
		}
	}
	return total
}
