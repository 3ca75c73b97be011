package home

import (
	"time"

	"github.com/phuslu/log"

	"foxtailmux/model"
	"foxtailmux/near"
	"foxtailmux/plan"
)

// farFactor returns how many times as long a task takes on a worker outside the rack of its data, 1
// where nothing is known about that.
func (h *Home) farFactor() float64 { return max(h.options.FarFactor, 1) }

// isNear reports whether a worker is in the rack of the data of a step's tasks. Tasks of a step that
// names no rack are near on all workers.
func (w *worker) isNear(s *model.Step) bool { return s.Rack == "" || s.Rack == w.info.Rack }

// setFarSteps finds the steps of a new job whose tasks run far from their data on all workers, and
// lengthens their estimates. The objective of the job is that of tasks near their data.
func (h *Home) setFarSteps(j *job) {
	factor := h.farFactor()
	if factor == 1 {
		return
	}
	for i, s := range j.batch.Steps {
		if s.Rack == "" || len(h.workersInRack(s.Rack)) > 0 {
			continue
		}
		if j.farSteps == nil {
			j.farSteps = make([]bool, len(j.batch.Steps))
		}
		j.farSteps[i] = true
		j.estimates[i] = scale(j.estimates[i], factor)
	}
}

// isFarStep reports whether the estimate of a step is that of a run far from its data.
func (j *job) isFarStep(step int) bool { return j.farSteps != nil && j.farSteps[step] }

// expectedRunElsewhere returns the run time that is expected of a task if it is moved to another worker,
// which may be in another rack.
func (h *Home) expectedRunElsewhere(j *job, t *task) time.Duration {
	if j.batch.Steps[t.step].Rack == "" || j.isFarStep(t.step) {
		return j.estimates[t.step]
	}
	return scale(j.estimates[t.step], h.farFactor())
}

// indexRacks sets the workers by rack.
func (h *Home) indexRacks() {
	h.racks = map[string][]*worker{}
	for _, w := range h.sortedWorkers {
		h.racks[w.info.Rack] = append(h.racks[w.info.Rack], w)
	}
}

// workersInRack returns the workers of a rack in the order of their ids.
func (h *Home) workersInRack(rack string) []*worker {
	h.workersByID()
	return h.racks[rack]
}

// rackPass is what a pass knows of one rack whose workers are wanted.
type rackPass struct {
	workers  []*worker
	forecast *near.Forecast
}

// rack returns what a pass knows of a rack.
func (h *Home) rack(name string, p *pass, now time.Time) *rackPass {
	if r := p.racks[name]; r != nil {
		return r
	}
	r := &rackPass{workers: h.workersInRack(name)}
	free := make([]model.Resources, len(r.workers))
	var releases []near.Release
	for i, w := range r.workers {
		free[i] = w.tracker.Free()
		for _, a := range w.assignments {
			if in, ok := near.ReleaseIn(now.Sub(a.task.startedAt), a.expectedRun()); ok {
				releases = append(releases, near.Release{In: in, Worker: i, Resources: a.job.batch.Steps[a.task.step].Needs})
			}
		}
	}
	r.forecast = near.NewForecast(free, releases)
	if p.racks == nil {
		p.racks = map[string]*rackPass{}
	}
	p.racks[name] = r
	return r
}

// isHeldForRack decides whether a task that could start waits for a place in the rack of its data. It is
// decided anew in each pass: whenever a place comes free, and after a run did not end when expected.
func (h *Home) isHeldForRack(j *job, t *task, p *pass, now time.Time) bool {
	step := j.batch.Steps[t.step]
	factor := h.farFactor()
	if step.Rack == "" || factor == 1 || j.isFarStep(t.step) {
		return false
	}
	workers := h.workersInRack(step.Rack)
	usable := func(i int) bool {
		w := workers[i]
		return w.isUsable() && w.health.State(now) == plan.Healthy && w.canServe(&j.route, &step) &&
			!t.triedOn[w.info.ID] && !h.atLimit(j, t.step, step.MaxPerWorker, w)
	}
	for i, w := range workers {
		if step.Needs.Within(w.tracker.Free()) && usable(i) {
			return false
		}
	}
	r := h.rack(step.Rack, p, now)
	in, i, ok := r.forecast.Next(step.Needs, usable)
	if !ok {
		return false
	}
	run := j.estimates[t.step]
	var held time.Duration
	if t.held {
		held = now.Sub(t.heldSince)
	}
	if !near.Hold(near.Task{Run: run, FarFactor: factor, Held: held}, in) {
		return false
	}
	if !t.held && h.place(j, t, p, now) == nil {
		return false // it waits in any case
	}
	r.forecast.Take(i, step.Needs, in, run)
	if p.heldRacks == nil {
		p.heldRacks = map[string]bool{}
	}
	p.heldRacks[step.Rack] = true
	if !t.held {
		t.held, t.heldSince = true, now
	}
	j.hadPlace = true
	return true
}

// recordRackStart tells the forecast of a rack that a task was started there in this pass.
func (h *Home) recordRackStart(j *job, t *task, w *worker, p *pass) {
	r := p.racks[w.info.Rack]
	if r == nil {
		return
	}
	for i := range r.workers {
		if r.workers[i] == w {
			r.forecast.Take(i, j.batch.Steps[t.step].Needs, 0, assignment{j, t}.expectedRun())
		}
	}
}

// placements counts the runs of a job's tasks whose data are in a rack.
type placements struct {
	rack      string // of the first step that names one
	near, far int
	held      int // part of both that was held for a place near the data
	heldFar   int // part of far that was held in vain
}

// recordPlacement counts the start of a run whose data are in a rack.
func (h *Home) recordPlacement(j *job, t *task) {
	s := j.batch.Steps[t.step]
	if s.Rack == "" {
		return
	}
	c := &j.placements
	if c.rack == "" {
		c.rack = s.Rack
	}
	if t.far {
		c.far++
	} else {
		c.near++
	}
	if t.held {
		c.held++
	}
	if t.held && t.far {
		c.heldFar++
	}
	h.options.Observer.TaskPlaced(!t.far, t.held)
	t.held = false
}

// addTo adds the counts to a log line, for jobs whose data are in a rack.
func (c *placements) addTo(l *log.Entry) {
	if c.rack != "" {
		l.Str("rack", c.rack).Int("nearRuns", c.near).Int("farRuns", c.far).Int("heldRuns", c.held).Int("heldFarRuns", c.heldFar)
	}
}
