package home

import (
	"slices"
	"time"

	"foxtailmux/lease"
	"foxtailmux/model"
	"foxtailmux/plan"
)

// takeoverWait is how long after its start a home holds back jobs that an
// earlier home may have begun, while workers have not told what they run: the
// leases of the earlier home are over then.
const takeoverMargin = 250 * time.Millisecond

// dispatch starts waiting tasks where there is room. The lock is held.
func (h *Home) dispatch(now time.Time) {
	if h.closed || h.fenced || len(h.waiting) == 0 {
		return
	}
	var open []*unit
	for _, u := range h.units {
		if u.usable(now) {
			open = append(open, u)
		}
	}
	if len(open) == 0 {
		return
	}
	slices.SortFunc(open, func(a, b *unit) int { return compareIDs(a.worker.ID, b.worker.ID) })

	for _, j := range h.inOrder(now) {
		h.startTasks(j, open, now)
	}
}

func compareIDs(a, b string) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

func (h *Home) inOrder(now time.Time) []*job {
	type ranked struct {
		job   *job
		entry plan.Waiting
	}
	list := make([]ranked, 0, len(h.waiting))
	for j := range h.waiting {
		list = append(list, ranked{j, j.waitingEntry()})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if c := plan.Compare(a.entry, b.entry, now); c != 0 {
			return c
		}
		return compareIDs(a.job.batch.ID, b.job.batch.ID)
	})
	jobs := make([]*job, len(list))
	for i, r := range list {
		jobs[i] = r.job
	}
	return jobs
}

// listed reports whether no worker can run a task of an earlier home unseen.
func (h *Home) listed(now time.Time) bool {
	if now.Sub(h.began) > h.options.MaxLease+takeoverMargin {
		return true
	}
	if h.partial {
		return false
	}
	for _, u := range h.units {
		if !u.listed {
			return false
		}
	}
	return len(h.units) > 0
}

func (h *Home) startTasks(j *job, open []*unit, now time.Time) {
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
		t.held = false
		if t.step == full || !j.ready(t.step) {
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
		c := plan.Candidate{Free: u.book.Free(), Trust: u.health.Trust(now), Near: step.Rack != "" && step.Rack == u.worker.Rack}
		switch {
		case !u.serves(j.route, step), t.tried[u.worker.ID], h.crowded(j, t.step, step.MaxPerWorker, u):
			c.Trust = plan.Avoided
		}
		candidates[i] = c
	}
	if best := plan.Place(step.Needs, candidates); best >= 0 {
		return open[best]
	}
	return nil
}

// crowded reports whether a worker runs as many tasks of a step as it may.
func (h *Home) crowded(j *job, step, limit int, u *unit) bool {
	if limit <= 0 {
		return false
	}
	n := 0
	for i := range j.tasks {
		if t := &j.tasks[i]; t.step == step && u.book.Holds(t.name) {
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
	until := u.book.Until(now)
	u.book.Order(lease.Held{Task: t.name, Run: t.run, Needs: step.Needs}, until, now)
	u.health.Started()
	u.owners[t.name] = owner{job: j, task: t}
	h.options.Observer.TaskStarted()
	h.options.Observer.QueueWait(now.Sub(t.readyAt))

	s := lease.Start{Task: t.name, Run: t.run, Spec: j.batch.Spec, Until: until, Token: h.options.Token}
	h.tasks.Go(func() { u.start(s) })
	u.wakeUp()
}

// again puts a task back to those that wait.
func (h *Home) again(j *job, t *task, now time.Time) {
	t.state, t.unit, t.readyAt = taskWaiting, nil, now
	if h.jobs[j.key] == j {
		h.waiting[j] = struct{}{}
	}
}

// review refuses waiting jobs that the present backlog leaves no use: what
// was expected when they came, such as a worker, may be gone.
func (h *Home) review(now time.Time) {
	if len(h.waiting) == 0 || !h.listed(now) {
		return
	}
	ahead := 0
	for _, j := range h.inOrder(now) {
		claim := j.waitingProcessor()
		if j.started || j.resumed {
			ahead += claim
			continue
		}
		b := h.capacity(j, now)
		b.Ahead = ahead
		wait := b.Wait(claim)
		if !plan.Keep(wait, plan.Chain(j.batch.Steps, j.estimates), j.objective, now.Sub(j.arrived)) {
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
		if !u.usable(now) || u.health.Trust(now) == plan.Avoided {
			continue
		}
		capacity := u.book.Capacity().Processor()
		b.Capacity += capacity
		b.Free += h.usableRoom(u, j)
		for _, p := range u.book.Progress() {
			o, ok := u.owners[p.Task]
			if !ok {
				continue
			}
			estimate := o.job.estimates[o.task.step]
			b.Running = append(b.Running, plan.Freeing{Processor: p.Needs.Processor(), In: max(estimate-now.Sub(p.StartedAt), 0)})
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
	needs := j.batch.Steps[0].Needs.Processor()
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
	if !u.serves(j.route, j.batch.Steps[0]) || needs.Processor() <= 0 {
		return 0
	}
	free, n := u.book.Free(), 0
	for needs.Within(free) && n < len(j.tasks) {
		free = free.Minus(needs)
		n++
	}
	return n * needs.Processor()
}

func (j *job) waitingProcessor() int {
	total := 0
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == taskWaiting {
			total += j.batch.Steps[t.step].Needs.Processor()
		}
	}
	return total
}

// adopt takes over the runs and ends of a job that an earlier home left.
func (h *Home) adopt(j *job, now time.Time) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != taskWaiting {
			continue
		}
		if end, ok := h.orphans[t.name]; ok && end.How == lease.Done {
			j.setDone(t)
			j.started = true
			continue
		}
		for _, u := range h.units {
			run, ok := u.book.Claim(t.name, j.batch.Steps[t.step].Needs, now)
			if !ok {
				continue
			}
			t.state, t.unit, t.run, t.startAt, t.held = taskRunning, u, run, now, false
			u.owners[t.name] = owner{job: j, task: t}
			j.started = true
			u.wakeUp()
			h.options.Log.Info().Str("job", j.batch.ID).Str("task", t.name).Str("worker", u.worker.ID).
				Int64("run", run).Msg("run taken over")
			break
		}
	}
}

// adoptAll looks for runs of the jobs that wait, after a worker told what it
// runs.
func (h *Home) adoptAll(now time.Time) {
	for j := range h.waiting {
		h.adopt(j, now)
		if h.complete(j) {
			h.finish(j, Outcome{Verdict: Succeeded})
		}
	}
}

// wholeTasks is the part of a gap that typical tasks fill.
func wholeTasks(free, typical int) int {
	if typical <= 0 {
		return max(free, 0)
	}
	return max(free, 0) / typical * typical
}

// typicalWeight is the weight of a new job in the typical claim of a task.
const typicalWeight = 8

// noteTypical takes a job's claim into the typical one.
func (h *Home) noteTypical(j *job) {
	if len(j.batch.Steps) == 0 {
		return
	}
	claim := j.batch.Steps[0].Needs.Processor()
	if h.typical == 0 {
		h.typical = claim
	}
	h.typical += (claim - h.typical) / typicalWeight
}

// Load returns the present load.
func (h *Home) Load() model.Room {
	h.mu.Lock()
	defer h.mu.Unlock()
	var l model.Room
	now := time.Now()
	for _, u := range h.units {
		if u.usable(now) && u.health.Trust(now) == plan.Trusted {
			l.Capacity += u.book.Capacity().Processor()
			l.Free += wholeTasks(u.book.Free().Processor(), h.typical)
		}
	}
	for j := range h.waiting {
		l.Waiting += j.waitingProcessor()
	}
	return l
}

// Pending returns the number of a queue's jobs of which no task started.
func (h *Home) Pending(queue string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for j := range h.waiting {
		if j.route.Name == queue && !j.started {
			n++
		}
	}
	return n
}

// serves reports whether a worker is one for a step of a queue.
func (u *unit) serves(r model.Route, s model.Step) bool {
	if u.worker.Pool != r.Service {
		return false
	}
	return s.Label == "" || slices.Contains(u.worker.Labels, s.Label)
}
