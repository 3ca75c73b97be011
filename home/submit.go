package home

import (
	"context"
	"fmt"
	"time"

	"foxtailmux/model"
	"foxtailmux/pause"
	"foxtailmux/plan"
)

// Result classifies the outcome of a job.
type Result string

// Results of a job at a home. Failed: a task failed as often as the queue allows. Refused: no
// task of the job ran or will run. Moved: this instance is no longer the home, and some tasks
// may have run. Redirected: no task ran, and another data centre has free capacity. Busy: the
// job was to start at once or not at all, and can't start at once. NoCapacity: the job would be
// refused or late, but several data centres together may run it in time. Cancelled: the
// caller disconnected, or the time of the job is over. Lost: some tasks may have run, and the
// home is unreachable or the job can't end in time. Drained: the data centre is drained, and no task of
// the job runs there; those that were done are listed.
const (
	Succeeded  Result = "succeeded"
	Failed     Result = "failed"
	Refused    Result = "refused"
	Moved      Result = "moved"
	Redirected Result = "redirected"
	Busy       Result = "busy"
	NoCapacity Result = "noRoom"
	Cancelled  Result = "cancelled"
	Lost       Result = "lost"
	Drained    Result = "drained"
)

// Outcome is the result of a job with its details.
type Outcome struct {
	Result         Result        `json:"verdict"`
	Reason         string        `json:"reason,omitempty"`
	RetryAfter     time.Duration `json:"retryAfter,omitempty"` // with Refused and NoCapacity
	StartableTasks int           `json:"room,omitempty"`       // tasks that could start here in time, with NoCapacity
	AcceptedWhole  bool          `json:"whole,omitempty"`      // the home accepts the job as a whole, but late, with NoCapacity
	DataCentre     string        `json:"dataCentre,omitempty"` // with Redirected
	Done           []string      `json:"done,omitempty"`       // finished tasks, with Moved and Drained
	Begun          bool          `json:"hasBegun,omitempty"`   // tasks may have run, with Drained
	MaybeRunning   []string      `json:"begun,omitempty"`      // tasks that may still run, with Moved
	LeftRuns       []LeftRun     `json:"leftRuns,omitempty"`   // of those tasks of which all runs are known, with Moved
	NotTaken       bool          `json:"notTaken,omitempty"`   // the home has not begun the submission, with Moved
}

// Submission is a job that its origin, the instance that holds the caller's connection, submits
// to a home. Age is the time since its request arrived at the origin, and TimeLeft how long its caller
// still waits.
type Submission struct {
	Batch       model.Batch   `json:"batch"`
	Route       model.Route   `json:"route"`
	Origin      string        `json:"origin"`                // id of the instance
	Incarnation string        `json:"incarnation,omitempty"` // of the origin
	Number      int64         `json:"number,omitempty"`      // of the origin's submissions
	Request     int64         `json:"request,omitempty"`     // number of the caller's request at the origin
	Content     uint64        `json:"content,omitempty"`     // digest of Batch, which may come without its specification
	Age         time.Duration `json:"age"`
	TimeLeft    time.Duration `json:"left"`
	Transit     time.Duration `json:"-"` // part of Age that it was under way, UnknownTransit if the home can't tell

	// Resumed reports that an earlier home may have started tasks of the job.
	Resumed bool `json:"resumed,omitempty"`
	// Immediate requests a start at once, for a part of a job an end in time, or the result Busy.
	Immediate bool `json:"spill,omitempty"`
	// NoRedirect rules out the result Redirected, and Whole the result NoCapacity.
	NoRedirect bool `json:"settled,omitempty"`
	Whole      bool `json:"whole,omitempty"`
	// Part is the share of the tasks that is run, nil for all.
	Part *Part `json:"part,omitempty"`
	// Done lists the tasks that finished at an earlier home, and MaybeRunning those that it may
	// have left running, on any worker if LeftRuns does not name their runs. Without TasksReported,
	// any other task may run too.
	Done          []string  `json:"done,omitempty"`
	MaybeRunning  []string  `json:"begun,omitempty"`
	LeftRuns      []LeftRun `json:"leftRuns,omitempty"`
	TasksReported bool      `json:"told,omitempty"`

	// SpecBytes is the length in bytes of the specification if the origin keeps it and sends
	// the start requests itself, through OriginStarter; 0 otherwise.
	SpecBytes     int            `json:"withheld,omitempty"`
	OriginStarter *OriginStarter `json:"-"`

	// Attempts records the attempts of the origin, if it is set.
	Attempts *Attempts `json:"-"`
}

// UnknownTransit is the transit of a submission that may have been under way for any time.
const UnknownTransit time.Duration = -1

// sentBefore returns when a submission that arrives now was sent. One whose transit is unknown counts as
// sent just now.
func (s Submission) sentBefore(now time.Time) time.Time { return now.Add(-max(s.Transit, 0)) }

// startPath returns the way that the start requests of the job take.
func (s Submission) startPath() startPath {
	return startPath{starter: s.OriginStarter, specBytes: s.SpecBytes}
}

// Part is a share of the tasks of a job with one step: Count tasks from index First on.
type Part struct {
	First int `json:"first"`
	Count int `json:"count"`
}

// Submit runs a job and returns its outcome as soon as the job has ended. If ctx ends first, the
// job is cancelled, unless it was submitted again since.
func (h *Home) Submit(ctx context.Context, s Submission) Outcome {
	if pause.Check(ctx) != nil {
		return Outcome{Result: Cancelled, Reason: callerLeft}
	}
	j, submissions, outcome := h.accept(s)
	if j == nil {
		return outcome
	}

	select {
	case <-j.ended:
	case <-ctx.Done():
		h.cancelSubmission(j, submissions)
		<-j.ended
	}
	return j.outcome
}

// accept takes in a new job, or joins the unfinished job with the same key. It returns the job and
// how many times it has been submitted, or no job but an outcome if there is nothing to wait for.
func (h *Home) accept(s Submission) (j *job, submissions int, o Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if j, o = h.acceptLocked(s); j == nil {
		return nil, 0, o
	}
	j.submissions++
	return j, j.submissions, Outcome{}
}

// acceptLocked is accept for callers that hold the lock.
func (h *Home) acceptLocked(s Submission) (*job, Outcome) {
	h.activity.submissions++
	givenUp := h.isGivenUp() || h.closed
	if f, ok := h.finished[s.Key()]; ok && givenUp && f.outcome.Result == Moved {
		return nil, f.outcome // submitted again
	}
	if _, ok := h.cancelled[s.ID()]; ok {
		return nil, Outcome{Result: Cancelled, Reason: callerLeft}
	}
	if j := h.jobs[s.Key()]; j != nil {
		now := time.Now()
		j.trail.addReplaced(j.lastSubmission, now)
		j.lastSubmission, j.sentAt = s.ID(), s.sentBefore(now)
		j.recordRequest(s, now)
		j.deadline = later(j.deadline, now.Add(s.TimeLeft))
		j.startPath, j.batch.Spec, j.originMisses = s.startPath(), s.Batch.Spec, 0
		h.joinTaskStates(j, s)
		return j, Outcome{}
	}
	if givenUp {
		return nil, Outcome{Result: Moved, Reason: movedReason, NotTaken: true}
	}
	if f, ok := h.finished[s.Key()]; ok && f.outcome.Result == Succeeded {
		return nil, f.outcome
	}

	now := time.Now()
	if h.behind && !s.Resumed {
		return nil, h.newRefusal("the home has no processor time left", time.Second)
	}
	h.callerTimeouts.Observe(s.Route.Name, s.Age+s.TimeLeft)
	j := h.newJob(s, now)
	h.updateTypicalTask(j)
	h.recordOffer(j, s, now)
	j.restoreTaskStates(s)
	h.findLeftRuns(s)
	h.adoptRuns(j, h.inheritingWorkers(), now)
	if !j.started && !j.resumed {
		if refusal, ok := h.admit(j, s, now); !ok {
			return nil, refusal
		}
	}
	h.jobs[j.key] = j
	h.waiting[j] = struct{}{}
	if len(j.tasks) == 0 || h.complete(j) {
		h.finish(j, Outcome{Result: Succeeded})
		return j, Outcome{}
	}
	h.dispatch(now)
	return j, Outcome{}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// admit decides whether a new job is accepted, and returns the outcome of a job that is not.
func (h *Home) admit(j *job, s Submission, now time.Time) (Outcome, bool) {
	if h.isDrained() {
		return Outcome{Result: Drained, Reason: drainedReason}, false
	}
	if !h.isInForce(now) {
		return h.newRefusal("the home may have a successor", time.Second), false
	}
	if !h.capacityKnown(now) {
		return Outcome{}, true
	}
	if reason := h.neverFits(j); reason != "" && h.workersKnown(now) {
		return h.newRefusal(reason, 0), false
	}

	times := j.timing(now)
	backlog := h.backlog(j, now)
	wait := backlog.EstimateWait(j.initialMilliCores())
	if wait == 0 {
		return Outcome{}, true
	}
	if s.Immediate && s.Part != nil && plan.InTime(wait, times) {
		return Outcome{}, true // the home has said so when it was asked
	}
	if s.Immediate {
		return Outcome{Result: Busy}, false
	}
	if !s.NoRedirect {
		if dc, ok := h.options.FreeDataCentre(j.initialMilliCores()); ok {
			return Outcome{Result: Redirected, DataCentre: dc}, false
		}
	}
	divisible := len(j.batch.Steps) == 1 && s.Part == nil && !s.Whole
	if divisible && !plan.InTime(wait, times) || !plan.Admit(wait, times) {
		h.options.Log.Info().Stringer("job", j.key).Int("claim", j.initialMilliCores()).Int("free", backlog.Free).Int("ahead", backlog.Ahead).
			Int("capacity", backlog.Capacity).Int64("waitMillis", wait.Milliseconds()).Int64("ageMillis", times.Age.Milliseconds()).
			Int64("chainMillis", times.CriticalPath.Milliseconds()).Int64("objectiveMillis", times.Objective.Milliseconds()).
			Msg("job not admitted")
		reason := fmt.Sprintf("the backlog takes %d ms, the job has %d ms", wait.Milliseconds(), (j.objective - times.CriticalPath).Milliseconds())
		o := h.newRefusal(reason, wait)
		if divisible {
			o.Result = NoCapacity
			o.StartableTasks, o.AcceptedWhole = h.startableTasks(j, backlog.Ahead, now), plan.Admit(wait, times)
		}
		return o, false
	}
	return Outcome{}, true
}

// newRefusal returns the outcome of a refused job that would have to wait for that time.
func (h *Home) newRefusal(reason string, wait time.Duration) Outcome {
	h.activity.refusals++
	return Outcome{Result: Refused, Reason: reason, RetryAfter: plan.RetryAfter(wait, randomFloat())}
}

// neverFits returns the reason if no worker could ever run a step of the job, or "".
func (h *Home) neverFits(j *job) string {
	for i, s := range j.batch.Steps {
		fits := false
		for _, w := range h.workers {
			if w.canServe(&j.route, &s) && s.Needs.Within(w.tracker.Capacity()) {
				fits = true
				break
			}
		}
		if !fits {
			return fmt.Sprintf("no worker can run step %d", i)
		}
	}
	return ""
}
