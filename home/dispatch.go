package home

import (
	"maps"
	"math"
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
	if h.closed || len(h.waiting) == 0 || h.isGivenUp() || !h.isInForce(now) {
		return
	}
	if len(h.waiting) > batchingThreshold && now.Sub(h.dispatchedAt) < batchingInterval {
		return // the next event or tick comes soon
	}
	h.dispatchedAt = now

	p := h.newPass(now)
	if !h.handBack(p, now) || len(p.available) == 0 {
		return
	}
	defer func() { h.heldRacks = p.heldRacks }()
	for _, j := range h.jobsByUrgency(now) {
		if len(p.available) == 0 {
			return
		}
		if now.After(j.deadline) {
			continue // the next tick ends it
		}
		h.startWaitingTasks(j, p, now)
	}
}

// pass is one pass over the waiting jobs. Used for bursts on data centres with many workers: each
// event leads to a pass, so it checks a full worker once and not for each waiting task, and looks
// for a worker once for all tasks of a kind that fits on none.
type pass struct {
	now        time.Time
	least      int                   // least need of CPU of a waiting job's tasks, in thousandths of a core
	available  []*worker             // usable workers with at least that much free CPU, by id
	otherRuns  []*worker             // workers with runs that are assigned to no job
	runsKnown  bool                  // no worker can have an unreported run of an earlier home
	unplaced   map[taskKind]struct{} // kinds of tasks that fit on no worker
	candidates []plan.Candidate      // of the latest placement, kept to reuse the memory
	racks      map[string]*rackPass  // those that tasks with data there wanted a place in
	heldRacks  map[string]bool       // those that tasks are held for
	awaited    int                   // expected ends that tasks wait for though another worker is free
}

// taskKind is what a worker must have for a task. Tasks of a kind fit on the same workers unless
// their step limits the tasks on a worker.
type taskKind struct {
	service, label string
	needs          model.Resources
}

func (j *job) taskKind(step int) taskKind {
	s := j.batch.Steps[step]
	return taskKind{service: j.route.Service, label: s.Label, needs: s.Needs}
}

// newPass returns a pass over the present waiting jobs and workers.
func (h *Home) newPass(now time.Time) *pass {
	p := &pass{now: now, least: h.leastWaitingMilliCores(), runsKnown: h.allRunsKnown(now), unplaced: map[taskKind]struct{}{}}
	for _, w := range h.workersByID() {
		if w.tracker.Len() > len(w.assignments) {
			p.otherRuns = append(p.otherRuns, w)
		}
		if w.tracker.Free().TotalMilliCores() >= p.least && w.canStart(now) {
			p.available = append(p.available, w)
		}
	}
	return p
}

// leastWaitingMilliCores returns the least need of CPU of the tasks of the waiting jobs, in
// thousandths of a core, and at least 1.
func (h *Home) leastWaitingMilliCores() int {
	least := math.MaxInt
	for j := range h.waiting {
		for _, s := range j.batch.Steps {
			least = min(least, s.Needs.TotalMilliCores())
		}
	}
	return max(least, 1)
}

// recordStart removes a worker on which a task was started from the available ones if it is full.
func (p *pass) recordStart(w *worker) {
	if w.tracker.Free().TotalMilliCores() >= p.least {
		return
	}
	if i := slices.Index(p.available, w); i >= 0 {
		p.available = slices.Delete(p.available, i, i+1)
	}
}

// recordUnplaced records that a task of a step fits on no worker. Free capacity only decreases
// during a pass.
func (p *pass) recordUnplaced(j *job, step int) {
	if j.batch.Steps[step].MaxPerWorker <= 0 {
		p.unplaced[j.taskKind(step)] = struct{}{}
	}
}

// isUnplaced reports whether the tasks of a step are known to fit on no worker.
func (p *pass) isUnplaced(j *job, step int) bool {
	_, ok := p.unplaced[j.taskKind(step)]
	return ok
}

// hasOtherRun reports whether a worker may still have a run of a waiting task: one that is assigned
// to another job, such as a part of the same one, or to no job here, such as one of an earlier
// home that is being stopped.
func (h *Home) hasOtherRun(task string, p *pass) bool {
	if _, ok := h.assigned[task]; ok {
		return true
	}
	return slices.ContainsFunc(p.otherRuns, func(w *worker) bool { return w.tracker.Has(task) })
}

// workersByID returns the workers in the order of their ids.
func (h *Home) workersByID() []*worker {
	if h.sortedWorkers == nil {
		h.sortedWorkers = slices.SortedFunc(maps.Values(h.workers), func(a, b *worker) int { return strings.Compare(a.info.ID, b.info.ID) })
		h.indexRacks()
	}
	return h.sortedWorkers
}

// jobsByUrgency returns the waiting jobs, the most urgent first.
func (h *Home) jobsByUrgency(now time.Time) []*job {
	type ranked struct {
		job   *job
		entry plan.WaitingJob
	}
	list := make([]ranked, 0, len(h.waiting))
	for j := range h.waiting {
		list = append(list, ranked{j, h.waitingJob(j)})
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

// isHeldBack reports whether a task may still run on a worker, so that it has to wait until that
// run is known and has ended. The end of the run triggers the next pass.
func (h *Home) isHeldBack(t *task, p *pass) bool {
	if t.maybeRunning && !p.runsKnown || h.hasLeftRun(t, p.now) || h.hasOtherRun(t.name, p) {
		return true
	}
	t.maybeRunning, t.leftRuns = false, nil
	return false
}

// startWaitingTasks starts the waiting tasks of a job that fit on the available workers.
func (h *Home) startWaitingTasks(j *job, p *pass, now time.Time) {
	stillWaiting, originSilent := false, h.isOriginSilent(j, now)
	fullStep := -1 // step that fits on no worker
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != taskWaiting {
			continue
		}
		if t.step != fullStep && p.isUnplaced(j, t.step) {
			fullStep = t.step
		}
		if t.step == fullStep || !j.isReady(t.step) || originSilent || h.isHeldBack(t, p) {
			stillWaiting = true
			continue
		}
		if h.isHeldForRack(j, t, p, now) {
			stillWaiting = true
			continue
		}
		w := h.place(j, t, p, now)
		if w == nil {
			p.recordUnplaced(j, t.step)
			fullStep, stillWaiting = t.step, true
			continue
		}
		if h.awaitsFasterWorker(j, t, w, p, now) {
			stillWaiting = true
			continue
		}
		h.startTask(j, t, w, now)
		h.recordRackStart(j, t, w, p)
		p.recordStart(w)
	}
	if !stillWaiting {
		delete(h.waiting, j)
	}
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

// place returns the best available worker for a task, nil if it fits on none.
func (h *Home) place(j *job, t *task, p *pass, now time.Time) *worker {
	step := &j.batch.Steps[t.step]
	p.candidates = p.candidates[:0]
	for _, w := range p.available {
		c := plan.Candidate{
			Free: w.tracker.Free(), Health: w.health.State(now), NearData: step.Rack != "" && step.Rack == w.info.Rack,
			Wanted: h.heldRacks[w.info.Rack],
		}
		switch {
		case !w.canServe(&j.route, step), h.atLimit(j, t.step, step.MaxPerWorker, w):
			c.Health = plan.Ejected
		case t.triedOn[w.info.ID]:
			c.Health = max(c.Health, plan.Suspect) // still better than not at all
		}
		if c.Health != plan.Ejected {
			c.Run = h.expectedRunOn(w, j, t.step)
		}
		p.candidates = append(p.candidates, c)
	}
	if best := plan.Place(step.Needs, j.timeFor(t.step, now), p.candidates); best >= 0 {
		return p.available[best]
	}
	return nil
}

// atLimit reports whether a worker has as many tasks of a step as it may, those of other parts of the
// job included.
func (h *Home) atLimit(j *job, step, limit int, w *worker) bool {
	if limit <= 0 {
		return false
	}
	n, prefix := 0, j.batch.TaskName(step, 0)
	prefix = prefix[:len(prefix)-1]
	for _, r := range w.tracker.Runs() {
		if strings.HasPrefix(r.Task, prefix) {
			n++
		}
	}
	return n >= limit
}

// startTask records the start of a task on a worker and sends it.
func (h *Home) startTask(j *job, t *task, w *worker, now time.Time) {
	t.state, t.worker, t.run, t.startedAt, t.adopted = taskRunning, w, h.nextRunNumber(), now, false
	j.started = true
	h.recordBegin(j, t.step, now)
	j.trail.addRun(t, false)
	h.activity.starts++
	step := j.batch.Steps[t.step]
	w.assign(j, t)
	until := w.tracker.GrantLease(now, w.leaseLimit(now))
	w.tracker.RecordStart(lease.Run{Task: t.name, Number: t.run, Needs: step.Needs}, until, now)
	w.health.RecordStart()
	h.recordPlacement(j, t)
	h.options.Observer.TaskStarted()
	h.options.Observer.QueueWait(now.Sub(t.readyAt))

	s := lease.Start{Task: t.name, Run: t.run, Spec: j.batch.Spec, Until: until, Token: h.options.Token, Incarnation: w.info.Incarnation}
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
func (w *worker) canServe(r *model.Route, s *model.Step) bool {
	if w.info.Pool != r.Service {
		return false
	}
	return s.Label == "" || slices.Contains(w.info.Labels, s.Label)
}
