package home

import (
	"slices"
	"time"

	"foxtailmux/model"
	"foxtailmux/plan"
)

// job is a job in progress. Its fields are guarded by the home's lock.
type job struct {
	key       string
	batch     model.Batch
	route     model.Route
	origin    string
	arrived   time.Time // at the instance of its caller
	entered   time.Time // here
	deadline  time.Time
	objective time.Duration
	resumed   bool
	sending   sending
	misses    int // starts that the origin did not send

	estimates []time.Duration // of a task, by step
	tasks     []task
	left      []int // tasks that are not done, by step
	started   bool
	badOn     []*unit // workers on which runs failed or were slow

	outcome Outcome
	over    chan struct{}
}

// task is one task of a job. At most one run of it is ordered at a time.
type task struct {
	name     string
	step     int
	failures int
	state    taskState
	unit     *unit // that its run is on
	run      int64
	readyAt  time.Time
	startAt  time.Time
	held     bool            // an earlier home may have left a run of it on a worker
	tried    map[string]bool // workers on which a run failed or stood still
}

type taskState int

const (
	taskWaiting taskState = iota
	taskRunning
	taskDone
)

func (h *Home) newJob(s Submission, now time.Time) *job {
	j := &job{
		key:      s.Key(),
		batch:    s.Batch,
		route:    s.Route,
		origin:   s.Origin,
		arrived:  now.Add(-s.Age),
		entered:  now,
		deadline: now.Add(s.TimeLeft),
		resumed:  s.Resumed,
		sending:  s.sending(),
		over:     make(chan struct{}),
	}
	for i, step := range s.Batch.Steps {
		j.estimates = append(j.estimates, h.estimate(s.Route.Name, step.Estimate))
		part := Part{Count: step.Replicas}
		if s.Part != nil {
			part = *s.Part
		}
		j.left = append(j.left, part.Count)
		for k := range part.Count {
			j.tasks = append(j.tasks, task{name: s.Batch.TaskName(i, part.First+k), step: i, readyAt: now})
		}
	}
	j.objective = plan.Objective(s.Route, plan.CriticalPath(s.Batch.Steps, j.estimates))
	return j
}

// inherit notes what an earlier home told of the tasks.
func (j *job) inherit(s Submission) {
	for i := range j.tasks {
		t := &j.tasks[i]
		switch {
		case slices.Contains(s.Done, t.name):
			j.setDone(t)
			j.started = true
		case s.Resumed && (!s.TasksReported || slices.Contains(s.MaybeRunning, t.name)):
			t.held = true
		}
	}
}

func (j *job) setDone(t *task) {
	t.state = taskDone
	j.left[t.step]--
}

// ratioUnit is the declared time that stands for a ratio of 1 in the learned
// ratios.
const ratioUnit = time.Second

// estimate corrects a declared run time by what its queue's tasks took.
func (h *Home) estimate(queue string, declared time.Duration) time.Duration {
	if declared <= 0 {
		return h.means.Expect(queue, declared)
	}
	ratio := h.ratios.Expect(queue, ratioUnit).Seconds() / ratioUnit.Seconds()
	return time.Duration(float64(declared) * ratio)
}

// width is the processor claim of the tasks that can start first, in
// thousandths of a core.
func (j *job) width() int {
	total := 0
	for i := range j.tasks {
		if s := j.batch.Steps[j.tasks[i].step]; len(s.After) == 0 {
			total += s.Needs.TotalMilliCores()
		}
	}
	return total
}

// waitingEntry describes the job to the decisions.
func (j *job) waitingEntry() plan.WaitingJob {
	return plan.WaitingJob{
		Arrived:   j.arrived,
		Objective: j.objective,
		Remaining: j.remaining(),
		Priority:  j.route.Priority,
		Started:   j.started,
	}
}

// times tells the decisions whether the job is still of use.
func (j *job) times(now time.Time) plan.JobTiming {
	return plan.JobTiming{
		CriticalPath:  plan.CriticalPath(j.batch.Steps, j.estimates),
		Objective:     j.objective,
		CallerTimeout: j.deadline.Sub(j.arrived),
		Age:           now.Sub(j.arrived),
	}
}

// remaining is the longest chain of steps that are not done.
func (j *job) remaining() time.Duration {
	if len(j.estimates) == 1 {
		return j.estimates[0]
	}
	estimates := make([]time.Duration, len(j.estimates))
	for i, e := range j.estimates {
		if j.left[i] > 0 {
			estimates[i] = e
		}
	}
	return plan.CriticalPath(j.batch.Steps, estimates)
}
