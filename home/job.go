package home

import (
	"slices"
	"time"

	"foxtailmux/model"
	"foxtailmux/plan"
)

// job is an unfinished job. Its fields are guarded by the home's lock.
type job struct {
	key            Key
	batch          model.Batch
	route          model.Route
	lastSubmission SubmissionID
	request        RequestID     // its last one
	requestedAt    time.Time     // when that arrived at its origin
	arrivedAt      time.Time     // at its origin
	waitedBefore   time.Duration // estimated wait of its caller before that, in earlier submissions
	sentAt         time.Time     // by its origin, when it was last submitted here
	heardAt        time.Time     // when its origin was last heard, as of heardCheckedAt
	heardCheckedAt time.Time
	ageAtEntry     time.Duration // when it was first submitted here
	transit        time.Duration // of that submission, or UnknownTransit
	deadline       time.Time
	objective      time.Duration
	resumed        bool
	startPath      startPath
	originMisses   int // starts that the origin failed to send
	submissions    int
	trail          trail
	placements     placements
	farSteps       []bool // steps without a worker in the rack of their data, nil if there are none
	hadPlace       bool   // a task was held for a place near its data, or on a faster worker, when it could have started elsewhere

	estimates      []time.Duration // run time of one task, by step
	tasks          []task
	unfinished     []int // unfinished tasks, by step
	started        bool
	failedOrSlowOn []*worker // workers on which runs failed or were slow

	outcome Outcome
	ended   chan struct{} // closed when outcome is set
}

// task is one task of a job. It has at most one run at a time.
type task struct {
	name         string
	step         int
	failures     int
	state        taskState
	worker       *worker // of its run
	run          int64
	readyAt      time.Time
	startedAt    time.Time
	far          bool // its run is outside the rack of its data
	held         bool // it has waited for a place in that rack
	heldSince    time.Time
	pace         float64         // of its run: expected run time over that on a near worker of usual speed
	usualRun     time.Duration   // measured run time at such a worker, once done
	adopted      bool            // an earlier home has started its run, at a time that is not known
	maybeRunning bool            // an earlier home may have left a run of it on any worker
	leftRuns     []LeftRun       // runs of it that an earlier home has left
	triedOn      map[string]bool // workers on which a run failed, was too slow or did not start
}

type taskState int

const (
	taskWaiting taskState = iota
	taskRunning
	taskDone
)

func (h *Home) newJob(s Submission, now time.Time) *job {
	j := &job{
		key:            s.Key(),
		batch:          s.Batch,
		route:          s.Route,
		lastSubmission: s.ID(),
		request:        s.RequestID(),
		requestedAt:    now.Add(-s.Age),
		arrivedAt:      now.Add(-s.Age),
		sentAt:         s.sentBefore(now),
		ageAtEntry:     s.Age,
		transit:        s.Transit,
		deadline:       now.Add(s.TimeLeft),
		resumed:        s.Resumed,
		startPath:      s.startPath(),
		ended:          make(chan struct{}),
	}
	for i, step := range s.Batch.Steps {
		j.estimates = append(j.estimates, h.estimate(s.Route.Name, step.Estimate))
		part := Part{Count: step.Replicas}
		if s.Part != nil {
			part = *s.Part
		}
		j.unfinished = append(j.unfinished, part.Count)
		for k := range part.Count {
			j.tasks = append(j.tasks, task{name: s.Batch.TaskName(i, part.First+k), step: i, readyAt: now})
		}
	}
	j.objective = plan.Objective(s.Route, plan.CriticalPath(s.Batch.Steps, j.estimates))
	h.setFarSteps(j)
	if usual, ok := h.callerTimeouts.Usual(s.Route.Name); ok {
		j.waitedBefore = plan.WaitedBefore(s.Age+s.TimeLeft, usual)
	}
	return j
}

// restoreTaskStates sets the states of the waiting tasks that an earlier home reported.
func (j *job) restoreTaskStates(s Submission) {
	for i := range j.tasks {
		t := &j.tasks[i]
		switch {
		case t.state != taskWaiting:
		case slices.Contains(s.Done, t.name):
			j.setDone(t)
			j.started = true
		case s.Resumed && (!s.TasksReported || slices.Contains(s.MaybeRunning, t.name)):
			t.addLeftRuns(s)
		}
	}
}

// joinTaskStates adds what an earlier home has begun of a submission to the job that it joins, which may
// have come from an origin that knows of no earlier home.
func (h *Home) joinTaskStates(j *job, s Submission) {
	if !s.Resumed {
		return
	}
	j.resumed = true
	j.restoreTaskStates(s)
	h.findLeftRuns(s)
	if h.complete(j) {
		h.finish(j, Outcome{Result: Succeeded})
	}
}

func (j *job) setDone(t *task) {
	t.state = taskDone
	j.unfinished[t.step]--
}

// ratioUnit represents a ratio of 1 in runRatios, which estimates durations.
const ratioUnit = time.Second

// estimate corrects the declared run time of a task by the run times learned for its queue.
// Without a declared run time it returns the learned one.
func (h *Home) estimate(queue string, declared time.Duration) time.Duration {
	if declared <= 0 {
		return h.meanRuns.Expect(queue, declared)
	}
	ratio := h.runRatios.Expect(queue, ratioUnit).Seconds() / ratioUnit.Seconds()
	return time.Duration(float64(declared) * ratio)
}

// initialMilliCores returns the CPU, in thousandths of a core, that the tasks of the steps
// without dependencies need.
func (j *job) initialMilliCores() int {
	total := 0
	for i := range j.tasks {
		if s := j.batch.Steps[j.tasks[i].step]; len(s.After) == 0 {
			total += s.Needs.TotalMilliCores()
		}
	}
	return total
}

// asWaiting describes the job for the ordering of waiting jobs.
func (j *job) asWaiting() plan.WaitingJob {
	return plan.WaitingJob{
		Arrived:   j.arrivedAt.Add(-j.waitedBefore),
		Objective: j.objective,
		Remaining: j.remainingPath(),
		Priority:  j.route.Priority,
		Started:   j.started,
	}
}

// timing describes the times of the job for its admission.
func (j *job) timing(now time.Time) plan.JobTiming {
	return plan.JobTiming{
		CriticalPath:  plan.CriticalPath(j.batch.Steps, j.estimates),
		Objective:     j.objective,
		CallerTimeout: j.deadline.Sub(j.arrivedAt) + j.waitedBefore,
		Age:           now.Sub(j.arrivedAt) + j.waitedBefore,
	}
}

// remainingPath returns the run time of the critical path of the unfinished steps.
func (j *job) remainingPath() time.Duration {
	if len(j.estimates) == 1 {
		return j.estimates[0]
	}
	estimates := make([]time.Duration, len(j.estimates))
	for i, e := range j.estimates {
		if j.unfinished[i] > 0 {
			estimates[i] = e
		}
	}
	return plan.CriticalPath(j.batch.Steps, estimates)
}
