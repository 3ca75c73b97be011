package home

import (
	"maps"
	"slices"
	"time"

	"foxtailmux/model"
	"foxtailmux/plan"
	"foxtailmux/speed"
)

// speedKind returns the kind by which workers are taken for equally fast until more is known: its
// pool and its first label.
func speedKind(info model.Worker) string {
	if len(info.Labels) == 0 {
		return info.Pool
	}
	return info.Pool + "/" + info.Labels[0]
}

// distanceFactor returns how many times its estimate a task of a step takes on a worker of usual speed, for
// the worker's distance from the data.
func (h *Home) distanceFactor(w *worker, j *job, step int) float64 {
	if j.isFarStep(step) || w.isNear(&j.batch.Steps[step]) {
		return 1
	}
	return h.farFactor()
}

// pace returns how many times its estimate a task of a step takes on a worker.
func (h *Home) pace(w *worker, j *job, step int) float64 {
	return w.speed.Factor() * h.distanceFactor(w, j, step)
}

// usualTime returns how long the run of a task would have lasted near its data on a worker of usual speed.
// Run times are learned as such, since the shares of far runs and of slow workers change with the load.
func (h *Home) usualTime(t *task, j *job, ran time.Duration) time.Duration {
	factor := t.pace
	if j.isFarStep(t.step) {
		factor *= h.farFactor()
	}
	return time.Duration(float64(ran) / factor)
}

// usualRunAt returns the expected run time of a task of a job on a worker of usual speed at the
// distance of this one.
func (h *Home) usualRunAt(w *worker, j *job, step int) time.Duration {
	return scale(j.estimates[step], h.distanceFactor(w, j, step))
}

// expectedRunOn returns the expected run time of a task of a job on a worker.
func (h *Home) expectedRunOn(w *worker, j *job, step int) time.Duration {
	return scale(j.estimates[step], h.pace(w, j, step))
}

// expectedRun returns the expected run time of the present run of the task.
func (a assignment) expectedRun() time.Duration {
	return scale(a.job.estimates[a.task.step], a.task.pace)
}

func scale(d time.Duration, factor float64) time.Duration {
	if factor == 1 {
		return d
	}
	return time.Duration(float64(d) * factor)
}

// timeFor returns how long a task of a step may take for the job to meet its objective, if the
// steps after it run as estimated.
func (j *job) timeFor(step int, now time.Time) time.Duration {
	t := j.timing(now)
	return t.Objective - t.Age - (j.remainingPath() - j.estimates[step])
}

// measuredObjective returns the objective of a job as its caller counts it: by the time that its
// tasks take on near workers of usual speed, which is known once they have ended. It returns 0
// for a job without success, or with tasks that an earlier home ran.
func (j *job) measuredObjective() time.Duration {
	if j.outcome.Result != Succeeded || len(j.tasks) == 0 {
		return 0
	}
	runs := make([]time.Duration, len(j.batch.Steps))
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.usualRun == 0 {
			return 0
		}
		runs[t.step] = max(runs[t.step], t.usualRun)
	}
	return plan.Objective(j.route, plan.CriticalPath(j.batch.Steps, runs))
}

// maxAwaitedEnds bounds the expected ends that are considered for one task.
const maxAwaitedEnds = 64

// awaitsFasterWorker reports whether a task that is placed on w waits instead for a faster worker
// that becomes free in time, and counts that worker's place as taken for the rest of the pass. Behind a
// backlog no task waits: all of them would be considered again at each event, when the processor of the
// home is what limits the starts.
func (h *Home) awaitsFasterWorker(j *job, t *task, w *worker, p *pass, now time.Time) bool {
	if !h.uneven || len(h.waiting) > batchingThreshold {
		return false
	}
	run, left := h.expectedRunOn(w, j, t.step), j.timeFor(t.step, now)
	if run <= left {
		return false
	}
	step, passedOver := &j.batch.Steps[t.step], 0
	for _, e := range h.expectedEnds[:min(len(h.expectedEnds), maxAwaitedEnds)] {
		in := e.at.Sub(now)
		if in > left {
			return false
		}
		if in < 0 {
			in = -in // a run that takes longer than expected is probably a long one
		}
		if e.worker == w || t.triedOn[e.worker.info.ID] || e.worker.health.State(now) != plan.Healthy || !e.worker.isUsable() || !e.worker.canServe(&j.route, step) ||
			!step.Needs.Within(e.worker.tracker.Free().Plus(e.needs)) ||
			!plan.AwaitFaster(run, left, in+h.expectedRunOn(e.worker, j, t.step)) {
			continue
		}
		if passedOver++; passedOver > p.awaited {
			p.awaited++
			j.hadPlace = true
			return true
		}
	}
	return false
}

// reportSpeeds reports the learned speeds by kind.
func (h *Home) reportSpeeds() {
	if !h.options.LearnSpeeds {
		return
	}
	factors := map[string]float64{}
	for _, k := range h.speedKinds() {
		factors[k.Name] = k.Factor
	}
	h.options.Observer.WorkerFactors(h.options.DataCentre, factors)
}

// joinSpeeds adds a worker to what is learned of the speeds in its pool. Pools are not compared: their
// workers run tasks of different services, whose estimates are learned at the same time.
func (h *Home) joinSpeeds(info model.Worker) *speed.Worker {
	m := h.speeds[info.Pool]
	if m == nil {
		m = speed.NewModel()
		h.speeds[info.Pool] = m
	}
	return m.Join(speedKind(info))
}

// speedKinds sums up the workers of all pools by kind.
func (h *Home) speedKinds() []speed.Kind {
	var list []speed.Kind
	for _, pool := range slices.Sorted(maps.Keys(h.speeds)) {
		list = append(list, h.speeds[pool].Kinds()...)
	}
	return list
}
