package home

import (
	"math"
	"time"

	"foxtailmux/model"
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
		if j.started || j.resumed || j.hadPlace {
			ahead += milliCores
			continue
		}
		b, ok := backlogs[j.route.Service]
		if !ok {
			b = h.usableCapacity(j, now)
			h.addExpectedReleases(&b, math.MaxInt, now)
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
	return len(h.workers) > 0 || h.workersKnown(now)
}

// backlog describes the capacity and the load that a new job finds. Of the running tasks it
// describes those that the job has to wait for.
func (h *Home) backlog(j *job, now time.Time) plan.Backlog {
	b := h.usableCapacity(j, now)
	b.Ahead = h.aheadOf(j, now)
	h.addExpectedReleases(&b, b.Missing(j.initialMilliCores()), now)
	return b
}

// aheadOf returns the CPU, in thousandths of a core, that the waiting tasks of more urgent jobs
// need.
func (h *Home) aheadOf(j *job, now time.Time) int {
	mine, total := h.waitingJob(j), 0
	for other := range h.waiting {
		if plan.Compare(h.waitingJob(other), mine, now) <= 0 {
			total += other.waitingMilliCores()
		}
	}
	return total
}

// canStart reports whether new tasks may start on a worker now.
func (w *worker) canStart(now time.Time) bool {
	return w.isUsable() && w.health.State(now) != plan.Ejected
}

// usableCapacity describes to a job the capacity of the usable workers.
func (h *Home) usableCapacity(j *job, now time.Time) plan.Backlog {
	var b plan.Backlog
	for _, w := range h.workers {
		if w.canStart(now) {
			b.Capacity += w.tracker.Capacity().TotalMilliCores()
			b.Free += h.usableFreeMilliCores(w, j)
		}
	}
	return b
}

// StartableTasks returns how many tasks of a job's first step could start here early enough for
// the job to end in time, 0 for a job without steps.
func (h *Home) StartableTasks(s Submission) int {
	if len(s.Batch.Steps) == 0 {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.activity.questions++
	if h.isDrained() {
		return 0
	}
	now := time.Now()
	j := h.newJob(s, now)
	return h.startableTasks(j, h.aheadOf(j, now), now)
}

// startableTasks returns how many tasks of a job's first step could start early enough for the
// job to end in time, behind the tasks that already wait, which need ahead thousandths of a core.
// Used for wide jobs at high load: no data centre has free capacity for all of their tasks at
// once, but short tasks end all the time.
func (h *Home) startableTasks(j *job, ahead int, now time.Time) int {
	needs := j.batch.Steps[0].Needs
	if needs.TotalMilliCores() <= 0 {
		return 0
	}
	released := h.releasedBy(now.Add(plan.Slack(j.timing(now))))
	n := 0
	for _, w := range h.workers {
		if w.canStart(now) && w.canServe(&j.route, &j.batch.Steps[0]) && !w.tracker.HasInherited() {
			n += wholeFits(needs, w.tracker.Free().Plus(released[w]), len(j.tasks))
		}
	}
	return max(n-(ahead+needs.TotalMilliCores()-1)/needs.TotalMilliCores(), 0)
}

// wholeFits returns how many times needs fit into free resources, at most limit.
func wholeFits(needs, free model.Resources, limit int) int {
	n := 0
	for n < limit && needs.Within(free) {
		free = free.Minus(needs)
		n++
	}
	return n
}

// usableFreeMilliCores returns the free CPU of a worker, in thousandths of a core, that whole
// tasks of a job's first step can use, since a gap smaller than a task is of no use to the job.
// It counts no more tasks than the job has.
func (h *Home) usableFreeMilliCores(w *worker, j *job) int {
	if len(j.batch.Steps) == 0 {
		return 0
	}
	needs := j.batch.Steps[0].Needs
	if !w.canServe(&j.route, &j.batch.Steps[0]) || needs.TotalMilliCores() <= 0 {
		return 0
	}
	return wholeFits(needs, w.tracker.Free(), len(j.tasks)) * needs.TotalMilliCores()
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
