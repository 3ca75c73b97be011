package home

import (
	"time"

	"foxtailmux/plan"
)

// review refuses waiting jobs that the present backlog leaves no use: what
// was expected when they came, such as a worker, may be gone.
func (h *Home) review(now time.Time) {
	if len(h.waiting) == 0 || !h.listed(now) {
		return
	}
	ahead := 0
	backlogs := map[string]plan.Backlog{} // by service; claims of tasks are alike
	for _, j := range h.inOrder(now) {
		claim := j.waitingProcessor()
		if j.started || j.resumed {
			ahead += claim
			continue
		}
		b, ok := backlogs[j.route.Service]
		if !ok {
			b = h.capacity(j, now)
			backlogs[j.route.Service] = b
		}
		b.Ahead = ahead
		wait := b.EstimateWait(claim)
		if !plan.Keep(wait, j.times(now)) {
			h.finish(j, h.refused("the backlog leaves no time", wait))
			continue
		}
		ahead += claim
	}
}

// backlog describes what a new job finds.
func (h *Home) backlog(j *job, now time.Time) plan.Backlog {
	b := h.capacity(j, now)
	mine := j.waitingEntry()
	for other := range h.waiting {
		if plan.Compare(other.waitingEntry(), mine, now) <= 0 {
			b.Ahead += other.waitingProcessor()
		}
	}
	return b
}

// capacity describes the workers, and what runs on them, to a job.
func (h *Home) capacity(j *job, now time.Time) plan.Backlog {
	var b plan.Backlog
	var runs time.Duration
	for _, u := range h.units {
		if !u.usable() || u.health.State(now) == plan.Ejected {
			continue
		}
		capacity := u.book.Capacity().TotalMilliCores()
		b.Capacity += capacity
		b.Free += h.usableRoom(u, j)
		for _, p := range u.book.Progress() {
			o, ok := u.owners[p.Task]
			if !ok {
				continue
			}
			estimate := o.job.estimates[o.task.step]
			b.Running = append(b.Running, plan.ExpectedRelease{MilliCores: p.Needs.TotalMilliCores(), In: max(estimate-now.Sub(p.StartedAt), 0)})
			runs += estimate
		}
	}
	if len(b.Running) > 0 {
		b.MeanRun = runs / time.Duration(len(b.Running))
	}
	return b
}

// room is the number of tasks of a job's first step that could start now,
// behind what waits already.
func (h *Home) room(j *job, now time.Time) int {
	needs := j.batch.Steps[0].Needs.TotalMilliCores()
	if needs <= 0 {
		return 0
	}
	b := h.backlog(j, now)
	return max(b.Free-b.Ahead, 0) / needs
}

// usableRoom is the free processor time of a worker in whole tasks of a job's
// first step, since a gap smaller than a task is of no use to it.
func (h *Home) usableRoom(u *unit, j *job) int {
	if len(j.batch.Steps) == 0 {
		return 0
	}
	needs := j.batch.Steps[0].Needs
	if !u.serves(j.route, j.batch.Steps[0]) || needs.TotalMilliCores() <= 0 {
		return 0
	}
	free, n := u.book.Free(), 0
	for needs.Within(free) && n < len(j.tasks) {
		free = free.Minus(needs)
		n++
	}
	return n * needs.TotalMilliCores()
}

func (j *job) waitingProcessor() int {
	total := 0
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == taskWaiting {
			total += j.batch.Steps[t.step].Needs.TotalMilliCores()
		}
	}
	return total
}
