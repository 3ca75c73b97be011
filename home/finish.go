package home

import (
	"fmt"
	"slices"
	"time"

	"foxtailmux/plan"
)

const callerLeft = "its caller went away"

// Cancel ends the job with a key whose caller has left and stops its runs, if the job is unfinished
// and the submission is its last one. A submission that has not arrived yet, since requests of one
// connection are handled at the same time, is refused when it does. Of a job that is not here, runs of an
// earlier home are stopped as soon as their workers report them.
func (h *Home) Cancel(k Key, id SubmissionID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if id.Number > 0 {
		h.cancelled[id] = time.Now()
	}
	j := h.jobs[k]
	if j == nil && time.Since(h.startedAt) < inheritanceWindow {
		h.unwanted = append(h.unwanted, k)
	}
	ends := j != nil && j.lastSubmission == id
	l := h.options.Log.Info().Stringer("job", k).Str("home", h.options.DataCentre).Int64("token", h.options.Token).
		Bool("unfinished", j != nil).Bool("ends", ends)
	id.addTo(l).Msg("cancel received")
	if ends {
		h.abort(j, Outcome{Result: Cancelled, Reason: callerLeft})
	}
}

// CancelAnnounced cancels submissions that their origin's heartbeat names. Homes in other data centres get
// the heartbeat, too.
func (h *Home) CancelAnnounced(ids []SubmissionID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	var unknown []SubmissionID
	for _, id := range ids {
		if _, ok := h.cancelled[id]; !ok {
			h.cancelled[id] = now
			unknown = append(unknown, id)
		}
	}
	if len(unknown) == 0 {
		return
	}
	for _, j := range h.jobs {
		if !slices.Contains(unknown, j.lastSubmission) {
			continue
		}
		l := h.options.Log.Info().Stringer("job", j.key).Str("home", h.options.DataCentre).Int64("token", h.options.Token)
		j.lastSubmission.addTo(l).Msg("cancel announced")
		h.abort(j, Outcome{Result: Cancelled, Reason: callerLeft})
	}
}

// isUnwanted reports whether a task belongs to a job that was cancelled before it arrived at this home.
func (h *Home) isUnwanted(task string) bool {
	return slices.ContainsFunc(h.unwanted, func(k Key) bool { return k.hasTask(task) })
}

// cancelSubmission ends a job whose caller has left, unless it has been submitted again since it had
// been submitted that many times.
func (h *Home) cancelSubmission(j *job, submissions int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.jobs[j.key] == j && j.submissions == submissions {
		h.abort(j, Outcome{Result: Cancelled, Reason: callerLeft})
	}
}

// cancelOrphaned cancels the jobs of origins that were not heard for OriginTimeout, so that none of their
// runs is left when the callers submit the jobs again. A home that is given up leaves the jobs to the next one.
func (h *Home) cancelOrphaned(now time.Time) {
	if h.options.LastMessage == nil || h.fenced {
		return
	}
	for _, j := range h.jobs {
		h.recordHeard(j, now)
		if now.Sub(j.heardAt) > h.options.OriginTimeout {
			h.abort(j, Outcome{Result: Cancelled, Reason: "the instance of its caller is not heard"})
		}
	}
}

// abort ends a job and stops its runs.
func (h *Home) abort(j *job, o Outcome) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state == taskRunning {
			t.worker.stop(t.name, t.run)
		}
	}
	h.finish(j, o)
}

// finish sets the outcome of a job and removes the job.
func (h *Home) finish(j *job, o Outcome) {
	if h.jobs[j.key] != j {
		return
	}
	delete(h.jobs, j.key)
	delete(h.waiting, j)
	if len(h.finished) < maxKeptOutcomes {
		h.finished[j.key] = finishedJob{outcome: o, at: time.Now()}
	}
	j.outcome = o
	close(j.ended)
	h.logEnd(j)
}

// logEnd logs the end of a job. All its durations count from the arrival of the job at its origin. The fields that
// tell two runs of one task apart come first, since records of incidents cut lines off.
func (h *Home) logEnd(j *job) {
	l := h.options.Log.Info().Str("job", j.key.ID)
	if p := j.key.Part; p.Count > 0 {
		l.Str("part", fmt.Sprintf("%d+%d", p.First, p.Count))
	}
	l.Int64("tookMillis", time.Since(j.arrivedAt).Milliseconds()).Str("origin", j.lastSubmission.Origin).
		Int64("lastStartMillis", j.lastStart().Milliseconds()).Int64("token", h.options.Token).
		Int64("submission", j.lastSubmission.Number).Int("submissions", j.submissions)
	j.trail.addTo(l, j.arrivedAt)
	j.placements.addTo(l)
	l.Int64("acceptedMillis", j.ageAtEntry.Milliseconds())
	if j.transit != UnknownTransit {
		l.Int64("transitMillis", j.transit.Milliseconds())
	}
	if o := j.measuredObjective(); o > 0 {
		l.Int64("measuredObjectiveMillis", o.Milliseconds())
	}
	l.Str("verdict", string(j.outcome.Result)).Str("reason", j.outcome.Reason).Bool("resumed", j.resumed).
		Str("home", h.options.DataCentre).Str("originIncarnation", j.lastSubmission.Incarnation).Str("queue", j.route.Name).
		Int64("objectiveMillis", j.objective.Milliseconds()).Int("tasks", len(j.tasks)).Bool("started", j.started).Msg("job ended")
}

// lastStart returns the time from the arrival of a job to the latest start of a task of its first
// step, 0 if there was none.
func (j *job) lastStart() time.Duration {
	last := j.arrivedAt
	for i := range j.tasks {
		if t := &j.tasks[i]; t.step == 0 && t.startedAt.After(last) {
			last = t.startedAt
		}
	}
	return last.Sub(j.arrivedAt)
}

// complete reports whether all tasks of a job are done.
func (h *Home) complete(j *job) bool {
	for _, n := range j.unfinished {
		if n > 0 {
			return false
		}
	}
	return true
}

// endIfExpired ends a job whose caller no longer waits or can't get its answer in time, and
// refuses a job that has not started and is of no more use.
func (h *Home) endIfExpired(j *job, now time.Time) {
	switch {
	case now.After(j.deadline):
		h.abort(j, Outcome{Result: Cancelled, Reason: "its time is over"})
	case j.started && j.isInfeasible(now):
		h.abort(j, Outcome{Result: Lost, Reason: "some of its tasks can't end in its time"})
	case !j.asWaiting().Expired(now):
	case j.resumed:
		h.abort(j, Outcome{Result: Lost, Reason: "an earlier home may have begun it, and there is no room in time"})
	default:
		h.finish(j, h.newRefusal("no room in time", plan.CriticalPath(j.batch.Steps, j.estimates)))
	}
}

// isInfeasible reports whether a waiting task of a job can't end in time.
func (j *job) isInfeasible(now time.Time) bool {
	left := j.deadline.Sub(now)
	for i := range j.tasks {
		if t := &j.tasks[i]; t.state == taskWaiting && plan.Infeasible(j.estimates[t.step], left) {
			return true
		}
	}
	return false
}

// withTaskStates adds the states of a job's tasks to an outcome, for a later home.
func (h *Home) withTaskStates(j *job, p *pass, o Outcome) Outcome {
	for i := range j.tasks {
		switch t := &j.tasks[i]; {
		case t.state == taskDone:
			o.Done = append(o.Done, t.name)
		case t.state == taskRunning, t.maybeRunning, h.hasLeftRun(t, p.now), h.hasOtherRun(t.name, p):
			o.MaybeRunning = append(o.MaybeRunning, t.name)
			if !t.maybeRunning {
				o.LeftRuns = append(o.LeftRuns, h.leftRunsOf(t, p.now)...)
			}
		}
	}
	return o
}
