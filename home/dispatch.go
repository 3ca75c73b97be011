package home

import (
	"slices"
	"strings"
	"time"

	"foxtailmux/lease"
	"foxtailmux/model"
	"foxtailmux/plan"
)

const (
	// batchingThreshold is the number of waiting jobs above which events are gathered for
	// batchingInterval before tasks are started, since each pass over so many jobs costs more
	// than a single event brings. The interval is small against the wait behind so many jobs.
	batchingThreshold = 32
	batchingInterval  = 5 * time.Millisecond
)

// dispatch starts waiting tasks on workers with free capacity. The lock is held.
func (h *Home) dispatch(now time.Time) {
	if h.closed || h.fenced || len(h.waiting) == 0 {
		return
	}
	if len(h.waiting) > batchingThreshold && now.Sub(h.dispatchedAt) < batchingInterval {
		return // the next event or tick comes soon
	}
	h.dispatchedAt = now

	var available []*worker
	largestFree := 0 // free capacity of one worker, in thousandths of a core
	for _, w := range h.workers {
		if free := w.tracker.Free().TotalMilliCores(); free > 0 && w.isUsable() && w.health.State(now) != plan.Ejected {
			available = append(available, w)
			largestFree = max(largestFree, free)
		}
	}
	if len(available) == 0 {
		return
	}
	slices.SortFunc(available, func(a, b *worker) int { return strings.Compare(a.info.ID, b.info.ID) })

	for _, j := range h.jobsByUrgency(now) {
		h.startWaitingTasks(j, available, largestFree, now)
	}
}

// jobsByUrgency returns the waiting jobs, the most urgent first.
func (h *Home) jobsByUrgency(now time.Time) []*job {
	type ranked struct {
		job   *job
		entry plan.WaitingJob
	}
	list := make([]ranked, 0, len(h.waiting))
	for j := range h.waiting {
		list = append(list, ranked{j, j.asWaiting()})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if c := plan.Compare(a.entry, b.entry, now); c != 0 {
			return c
		}
		return strings.Compare(a.job.batch.ID, b.job.batch.ID)
	})
	jobs := make([]*job, len(list))
	for i, r := range list {
		jobs[i] = r.job
	}
	return jobs
}

// startWaitingTasks starts the waiting tasks of a job that fit on the available workers. No
// worker has more free CPU than largestFree, in thousandths of a core. A task that may still run
// on a worker is held back until that run is known and has ended.
func (h *Home) startWaitingTasks(j *job, available []*worker, largestFree int, now time.Time) {
	hasWaiting := false
	fullStep := -1 // step that fits on no worker
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != taskWaiting {
			continue
		}
		hasWaiting = true
		if t.maybeRunning && !h.allRunsKnown(now) {
			continue
		}
		if h.hasOtherRun(t.name) {
			continue // the end of that run triggers the next pass
		}
		t.maybeRunning = false
		if t.step == fullStep || j.batch.Steps[t.step].Needs.TotalMilliCores() > largestFree || !j.isReady(t.step) {
			continue
		}
		w := h.place(j, t, available, now)
		if w == nil {
			fullStep = t.step
			continue
		}
		h.startTask(j, t, w, now)
	}
	if !hasWaiting {
		delete(h.waiting, j)
	}
}

// hasOtherRun reports whether a worker may still have a run of a task that is assigned to no
// job here, such as one of an earlier home that is being stopped.
func (h *Home) hasOtherRun(task string) bool {
	for _, w := range h.workers {
		if w.tracker.Len() > len(w.assignments) && w.tracker.Has(task) {
			return true
		}
	}
	return false
}

// isReady reports whether the steps that a step depends on are done.
func (j *job) isReady(step int) bool {
	for _, earlier := range j.batch.Steps[step].After {
		if j.unfinished[earlier] > 0 {
			return false
		}
	}
	return true
}

// place returns the best worker for a task, nil if it fits on none.
func (h *Home) place(j *job, t *task, available []*worker, now time.Time) *worker {
	step := j.batch.Steps[t.step]
	candidates := make([]plan.Candidate, len(available))
	for i, w := range available {
		c := plan.Candidate{Free: w.tracker.Free(), Health: w.health.State(now), NearData: step.Rack != "" && step.Rack == w.info.Rack}
		switch {
		case !w.canServe(j.route, step), h.atLimit(j, t.step, step.MaxPerWorker, w):
			c.Health = plan.Ejected
		case t.triedOn[w.info.ID]:
			c.Health = max(c.Health, plan.Suspect) // still better than not at all
		}
		candidates[i] = c
	}
	if best := plan.Place(step.Needs, candidates); best >= 0 {
		return available[best]
	}
	return nil
}

// atLimit reports whether a worker has as many tasks of a step as it may.
func (h *Home) atLimit(j *job, step, limit int, w *worker) bool {
	if limit <= 0 {
		return false
	}
	n := 0
	for i := range j.tasks {
		if t := &j.tasks[i]; t.step == step && w.tracker.Has(t.name) {
			n++
		}
	}
	return n >= limit
}

// startTask records the start of a task on a worker and sends it.
func (h *Home) startTask(j *job, t *task, w *worker, now time.Time) {
	t.state, t.worker, t.run, t.startedAt = taskRunning, w, h.nextRunNumber(), now
	j.started = true
	h.activity.starts++
	step := j.batch.Steps[t.step]
	until := w.tracker.GrantLease(now)
	w.tracker.RecordStart(lease.Run{Task: t.name, Number: t.run, Needs: step.Needs}, until, now)
	w.health.RecordStart()
	w.assignments[t.name] = assignment{job: j, task: t}
	h.options.Observer.TaskStarted()
	h.options.Observer.QueueWait(now.Sub(t.readyAt))

	s := lease.Start{Task: t.name, Run: t.run, Spec: j.batch.Spec, Until: until, Token: h.options.Token}
	info, path := w.info, j.startPath
	h.recordSend(s, path, now)
	h.spawn(func() { w.start(info, s, path) })
	w.signal()
}

// requeue makes a task wait for a start again.
func (h *Home) requeue(j *job, t *task, now time.Time) {
	t.state, t.worker, t.readyAt = taskWaiting, nil, now
	if h.jobs[j.key] == j {
		h.waiting[j] = struct{}{}
	}
}

// canServe reports whether a worker is in the pool of a queue and carries the label of a step.
func (w *worker) canServe(r model.Route, s model.Step) bool {
	if w.info.Pool != r.Service {
		return false
	}
	return s.Label == "" || slices.Contains(w.info.Labels, s.Label)
}
