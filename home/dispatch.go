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
	// manyWaiting is the number of waiting jobs above which starts are gathered for
	// gatherPause, since each look at all of them costs more than an event
	// brings; the pause is small against the wait with that many.
	manyWaiting = 32
	gatherPause = 5 * time.Millisecond
)

// dispatch starts waiting tasks where there is room. The lock is held.
func (h *Home) dispatch(now time.Time) {
	if h.closed || h.fenced || len(h.waiting) == 0 {
		return
	}
	if len(h.waiting) > manyWaiting && now.Sub(h.dispatchedAt) < gatherPause {
		return // the next event or tick comes soon
	}
	h.dispatchedAt = now

	var open []*unit
	largest := 0 // gap, in thousandths of a core
	for _, u := range h.units {
		if free := u.book.Free().TotalMilliCores(); free > 0 && u.usable() && u.health.State(now) != plan.Ejected {
			open = append(open, u)
			largest = max(largest, free)
		}
	}
	if len(open) == 0 {
		return
	}
	slices.SortFunc(open, func(a, b *unit) int { return strings.Compare(a.worker.ID, b.worker.ID) })

	for _, j := range h.inOrder(now) {
		h.startTasks(j, open, largest, now)
	}
}

func (h *Home) inOrder(now time.Time) []*job {
	type ranked struct {
		job   *job
		entry plan.WaitingJob
	}
	list := make([]ranked, 0, len(h.waiting))
	for j := range h.waiting {
		list = append(list, ranked{j, j.waitingEntry()})
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

func (h *Home) startTasks(j *job, open []*unit, largest int, now time.Time) {
	waits := false
	full := -1 // step that found no room
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != taskWaiting {
			continue
		}
		waits = true
		if t.held && !h.listed(now) {
			continue
		}
		if h.strays(t.name) {
			continue // its end leads to the next look
		}
		t.held = false
		if t.step == full || j.batch.Steps[t.step].Needs.TotalMilliCores() > largest || !j.ready(t.step) {
			continue
		}
		u := h.place(j, t, open, now)
		if u == nil {
			full = t.step
			continue
		}
		h.order(j, t, u, now)
	}
	if !waits {
		delete(h.waiting, j)
	}
}

// strays reports whether a run of a task that belongs to no job here is not over
// yet, such as one of an earlier home that is being stopped.
func (h *Home) strays(task string) bool {
	for _, u := range h.units {
		if u.book.Len() > len(u.owners) && u.book.Has(task) {
			return true
		}
	}
	return false
}

// ready reports whether the steps before one are done.
func (j *job) ready(step int) bool {
	for _, earlier := range j.batch.Steps[step].After {
		if j.left[earlier] > 0 {
			return false
		}
	}
	return true
}

func (h *Home) place(j *job, t *task, open []*unit, now time.Time) *unit {
	step := j.batch.Steps[t.step]
	candidates := make([]plan.Candidate, len(open))
	for i, u := range open {
		c := plan.Candidate{Free: u.book.Free(), Health: u.health.State(now), NearData: step.Rack != "" && step.Rack == u.worker.Rack}
		switch {
		case !u.serves(j.route, step), h.atLimit(j, t.step, step.MaxPerWorker, u):
			c.Health = plan.Ejected
		case t.tried[u.worker.ID]:
			c.Health = max(c.Health, plan.Suspect) // better than never
		}
		candidates[i] = c
	}
	if best := plan.Place(step.Needs, candidates); best >= 0 {
		return open[best]
	}
	return nil
}

// atLimit reports whether a worker runs as many tasks of a step as it may.
func (h *Home) atLimit(j *job, step, limit int, u *unit) bool {
	if limit <= 0 {
		return false
	}
	n := 0
	for i := range j.tasks {
		if t := &j.tasks[i]; t.step == step && u.book.Has(t.name) {
			n++
		}
	}
	return n >= limit
}

// order enters the start of a task and sends it.
func (h *Home) order(j *job, t *task, u *unit, now time.Time) {
	t.state, t.unit, t.run, t.startAt = taskRunning, u, h.nextRun(), now
	j.started = true
	step := j.batch.Steps[t.step]
	until := u.book.GrantLease(now)
	u.book.RecordStart(lease.Run{Task: t.name, Number: t.run, Needs: step.Needs}, until, now)
	u.health.RecordStart()
	u.owners[t.name] = owner{job: j, task: t}
	h.options.Observer.TaskStarted()
	h.options.Observer.QueueWait(now.Sub(t.readyAt))

	s := lease.Start{Task: t.name, Run: t.run, Spec: j.batch.Spec, Until: until, Token: h.options.Token}
	w, via := u.worker, j.sending
	h.noteSent(s, via, now)
	h.spawn(func() { u.start(w, s, via) })
	u.wakeUp()
}

// again puts a task back to those that wait.
func (h *Home) again(j *job, t *task, now time.Time) {
	t.state, t.unit, t.readyAt = taskWaiting, nil, now
	if h.jobs[j.key] == j {
		h.waiting[j] = struct{}{}
	}
}

// serves reports whether a worker is one for a step of a queue.
func (u *unit) serves(r model.Route, s model.Step) bool {
	if u.worker.Pool != r.Service {
		return false
	}
	return s.Label == "" || slices.Contains(u.worker.Labels, s.Label)
}
