package home

import (
	"fmt"
	"slices"
	"time"

	"foxtailmux/lease"
)

// ended takes the ends of runs on a worker. The lock is held.
func (h *Home) ended(u *unit, ends []lease.EndedRun, now time.Time) {
	for _, e := range ends {
		o, ok := u.owners[e.Task]
		if !ok || o.task.run != e.Run || o.task.state != taskRunning {
			continue
		}
		delete(u.owners, e.Task)
		h.taskEnded(u, o, e, now)
	}
	if len(ends) > 0 {
		h.dispatch(now)
	}
}

func (h *Home) taskEnded(u *unit, o owner, e lease.EndedRun, now time.Time) {
	j, t := o.job, o.task
	switch e.Reason {
	case lease.Done:
		h.taskDone(u, j, t, now)
	case lease.Failed:
		h.taskFailed(u, j, t, now)
	default:
		h.options.Observer.Retried(string(e.Reason))
		h.options.Log.Info().Str("job", j.batch.ID).Str("task", t.name).Int64("run", e.Run).
			Str("worker", u.worker.ID).Str("ending", string(e.Reason)).Msg("run ended without a result")
		h.again(j, t, now)
	}
}

func (h *Home) taskDone(u *unit, j *job, t *task, now time.Time) {
	ran := now.Sub(t.startAt)
	declared := j.batch.Steps[t.step].Estimate
	u.health.RecordCompletion(ran, j.estimates[t.step])
	h.means.Observe(j.route.Name, ran)
	if declared > 0 {
		h.ratios.Observe(j.route.Name, time.Duration(float64(ran)/float64(declared)*float64(ratioUnit)))
	}
	j.setDone(t)
	if h.complete(j) {
		h.finish(j, Outcome{Result: Succeeded})
		return
	}
	if j.left[t.step] == 0 {
		h.waiting[j] = struct{}{} // later steps may start
	}
}

// blame counts a bad run against its worker, unless the job does badly on others
// too. It reports whether the worker seems to be at fault.
func (j *job) blame(u *unit, now time.Time) bool {
	if !slices.Contains(j.badOn, u) {
		j.badOn = append(j.badOn, u)
	}
	if len(j.badOn) == 1 {
		u.health.RecordFailure(j.batch.ID, now)
		return true
	}
	for _, other := range j.badOn {
		other.health.RetractFailure(j.batch.ID)
	}
	return false
}

func (h *Home) taskFailed(u *unit, j *job, t *task, now time.Time) {
	j.blame(u, now)
	t.failures++
	t.mark(u.worker.ID)
	h.options.Log.Info().Str("job", j.batch.ID).Str("task", t.name).Int64("run", t.run).Str("worker", u.worker.ID).
		Int("failures", t.failures).Int("attempts", j.route.Attempts).Msg("run failed")
	if t.failures < j.route.Attempts {
		h.options.Observer.Retried("failed")
		h.again(j, t, now)
		return
	}
	t.state = taskDone
	reason := fmt.Sprintf("task %s failed %d times", t.name, t.failures)
	h.abort(j, Outcome{Result: Failed, Reason: reason})
}
