package home

import (
	"time"

	"foxtailmux/plan"
)

// Cancel ends a job and stops what runs of it.
func (h *Home) Cancel(id, reason string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if j := h.jobs[id]; j != nil {
		h.abort(j, Outcome{Result: Cancelled, Reason: reason})
	}
}

// CancelOrphaned cancels the jobs of instances that were last heard longer ago than
// the limit. A job itself is a sign of life too: it may arrive before the next
// heartbeat of an instance that has just started or woken up.
func (h *Home) CancelOrphaned(heardAt func(instance string) time.Time, limit time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for _, j := range h.jobs {
		last := heardAt(j.origin)
		if j.entered.After(last) {
			last = j.entered
		}
		if now.Sub(last) > limit {
			h.abort(j, Outcome{Result: Cancelled, Reason: "the instance of its caller is not heard"})
		}
	}
}

// abort ends a job and stops its runs.
func (h *Home) abort(j *job, o Outcome) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == taskRunning {
			t.unit.stop(t.name, t.run)
		}
	}
	h.finish(j, o)
}

// finish gives a job its outcome.
func (h *Home) finish(j *job, o Outcome) {
	if h.jobs[j.key] != j {
		return
	}
	delete(h.jobs, j.key)
	delete(h.waiting, j)
	if len(h.finished) < maxFinished {
		h.finished[j.key] = finished{outcome: o, at: time.Now()}
	}
	j.outcome = o
	close(j.over)
	h.options.Log.Info().
		Str("job", j.key).Str("queue", j.route.Name).Str("verdict", string(o.Result)).Str("reason", o.Reason).
		Int64("tookMillis", time.Since(j.arrived).Milliseconds()).Int64("objectiveMillis", j.objective.Milliseconds()).
		Int("tasks", len(j.tasks)).Bool("started", j.started).Msg("job ended")
}

func (h *Home) complete(j *job) bool {
	for _, n := range j.left {
		if n > 0 {
			return false
		}
	}
	return true
}

// expire ends a job whose caller no longer waits or can't get its answer in time,
// and refuses one that has not started and can be of no more use.
func (h *Home) expire(j *job, now time.Time) {
	switch {
	case now.After(j.deadline):
		h.abort(j, Outcome{Result: Cancelled, Reason: "its time is over"})
	case j.started && j.hopeless(now):
		h.abort(j, Outcome{Result: Lost, Reason: "some of its tasks can't end in its time"})
	case !j.waitingEntry().Expired(now):
	case j.resumed:
		h.abort(j, Outcome{Result: Lost, Reason: "an earlier home may have begun it, and there is no room in time"})
	default:
		h.finish(j, h.refused("no room in time", plan.CriticalPath(j.batch.Steps, j.estimates)))
	}
}

// hopeless reports whether a task of a job that waits can't end in time.
func (j *job) hopeless(now time.Time) bool {
	left := j.deadline.Sub(now)
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == taskWaiting && plan.Infeasible(j.estimates[t.step], left) {
			return true
		}
	}
	return false
}

// tell returns what a later home has to know of the tasks.
func (j *job) tell(o Outcome) Outcome {
	for i := range j.tasks {
		switch t := &j.tasks[i]; {
		case t.state == taskDone:
			o.Done = append(o.Done, t.name)
		case t.state == taskRunning, t.held:
			o.MaybeRunning = append(o.MaybeRunning, t.name)
		}
	}
	return o
}
