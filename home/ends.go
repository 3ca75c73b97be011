package home

import (
	"fmt"
	"slices"
	"time"

	"foxtailmux/lease"
)

// handleEnds processes the runs that ended on a worker. The lock is held.
func (h *Home) handleEnds(w *worker, ends []lease.EndedRun, now time.Time) {
	for _, e := range ends {
		a, ok := w.assignments[e.Task]
		if !ok || a.task.run != e.Run || a.task.state != taskRunning {
			continue
		}
		w.unassign(e.Task)
		h.handleEnd(w, a, e, now)
	}
	if len(ends) > 0 {
		h.dispatch(now)
	}
}

// handleEnd completes or requeues the task of a run that ended.
func (h *Home) handleEnd(w *worker, a assignment, e lease.EndedRun, now time.Time) {
	j, t := a.job, a.task
	switch e.Reason {
	case lease.Done:
		h.taskDone(w, j, t, now)
	case lease.Failed:
		h.taskFailed(w, j, t, now)
	default:
		h.options.Observer.Retried(string(e.Reason))
		h.options.Log.Info().Str("job", j.batch.ID).Str("task", t.name).Int64("run", e.Run).
			Str("worker", w.info.ID).Str("ending", string(e.Reason)).Msg("run ended without a result")
		h.requeue(j, t, now)
	}
}

// taskDone records the run time of a task that succeeded, and finishes the job after its last task.
func (h *Home) taskDone(w *worker, j *job, t *task, now time.Time) {
	ran := now.Sub(t.startedAt)
	w.health.RecordCompletion(ran, assignment{j, t}.expectedRun())
	if !t.adopted {
		h.learnRun(w, j, t, ran, now)
	}
	j.setDone(t)
	if h.complete(j) {
		h.finish(j, Outcome{Result: Succeeded})
		return
	}
	if j.unfinished[t.step] == 0 {
		h.waiting[j] = struct{}{} // later steps may start
	}
}

// learnRun learns from the run time of a task that succeeded.
func (h *Home) learnRun(w *worker, j *job, t *task, ran time.Duration, now time.Time) {
	t.usualRun = h.usualTime(t, j, ran)
	if h.options.LearnSpeeds {
		w.speed.Observe(ran, h.usualRunAt(w, j, t.step), now)
	}
	h.meanRuns.Observe(j.route.Name, t.usualRun)
	if declared := j.batch.Steps[t.step].Estimate; declared > 0 {
		h.runRatios.Observe(j.route.Name, time.Duration(float64(t.usualRun)/float64(declared)*float64(ratioUnit)))
	}
}

// attributeFailure records a failed or slow run against its worker, unless the job had such
// runs on other workers too. It reports whether the worker is probably at fault.
func (j *job) attributeFailure(w *worker, now time.Time) bool {
	if !slices.Contains(j.failedOrSlowOn, w) {
		j.failedOrSlowOn = append(j.failedOrSlowOn, w)
	}
	if len(j.failedOrSlowOn) == 1 {
		w.health.RecordFailure(j.batch.ID, now)
		return true
	}
	for _, other := range j.failedOrSlowOn {
		other.health.RetractFailure(j.batch.ID)
	}
	return false
}

// taskFailed requeues a task whose run failed, or fails the job after the last attempt of its queue.
func (h *Home) taskFailed(w *worker, j *job, t *task, now time.Time) {
	j.attributeFailure(w, now)
	t.failures++
	t.markTried(w.info.ID)
	h.options.Log.Info().Str("job", j.batch.ID).Str("task", t.name).Int64("run", t.run).Str("worker", w.info.ID).
		Int("failures", t.failures).Int("attempts", j.route.Attempts).Msg("run failed")
	if t.failures < j.route.Attempts {
		h.options.Observer.Retried("failed")
		h.requeue(j, t, now)
		return
	}
	t.state = taskDone
	reason := fmt.Sprintf("task %s failed %d times", t.name, t.failures)
	h.abort(j, Outcome{Result: Failed, Reason: reason})
}
