package home

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"foxtailmux/model"
	"foxtailmux/plan"
)

// Verdict is how a home answers a job.
type Verdict string

// The verdicts. Refused promises that no task of the job ran or will. Moved
// means that the home is no longer one, and the job may have run in part.
// Redirected means that nothing ran and another data centre has room. Busy
// answers a job that asked to start at once or not at all, Crowded one that
// would be refused and that several data centres together may have room for.
// Cancelled answers a
// job whose caller went away or whose time is over. Lost means that its home is
// out of reach and that the job may have run in part.
const (
	Succeeded  Verdict = "succeeded"
	Failed     Verdict = "failed"
	Refused    Verdict = "refused"
	Moved      Verdict = "moved"
	Redirected Verdict = "redirected"
	Busy       Verdict = "busy"
	Crowded    Verdict = "crowded"
	Cancelled  Verdict = "cancelled"
	Lost       Verdict = "lost"
)

// Outcome is the answer to a job.
type Outcome struct {
	Verdict    Verdict       `json:"verdict"`
	Reason     string        `json:"reason,omitempty"`
	RetryAfter time.Duration `json:"retryAfter,omitempty"` // of Refused and Crowded
	Room       int           `json:"room,omitempty"`       // tasks that could start here, of Crowded
	DataCentre string        `json:"dataCentre,omitempty"` // of Redirected
	Done       []string      `json:"done,omitempty"`       // tasks that are done, of Moved
	Begun      []string      `json:"begun,omitempty"`      // tasks that may still run, of Moved
}

// Submission is a job for a home. Age is the time since its receipt, Left how
// long its caller still waits.
type Submission struct {
	Batch  model.Batch   `json:"batch"`
	Route  model.Route   `json:"route"`
	Origin string        `json:"origin"` // instance that holds the caller's connection
	Age    time.Duration `json:"age"`
	Left   time.Duration `json:"left"`

	// Resumed tells that an earlier home may have started tasks of the job.
	Resumed bool `json:"resumed,omitempty"`
	// Spill asks to start at once or to answer Busy.
	Spill bool `json:"spill,omitempty"`
	// Settled asks not to be redirected.
	Settled bool `json:"settled,omitempty"`
	// Part is the share of the tasks that is run; without one, all are.
	Part *Part `json:"part,omitempty"`
	// Done are the tasks that an earlier home saw done, and Begun those that it
	// may have left running; without Told, any other task may run too.
	Done  []string `json:"done,omitempty"`
	Begun []string `json:"begun,omitempty"`
	Told  bool     `json:"told,omitempty"`
}

// Part is a share of the tasks of a job with one step: Count of them, from
// First on.
type Part struct {
	First int `json:"first"`
	Count int `json:"count"`
}

// Key identifies a job, or a part of one, at a home.
func (s Submission) Key() string {
	if s.Part == nil {
		return s.Batch.ID
	}
	return s.Batch.ID + "#" + strconv.Itoa(s.Part.First)
}

// job is a job in progress. Its fields are guarded by the home's lock.
type job struct {
	key       string
	batch     model.Batch
	route     model.Route
	origin    string
	arrived   time.Time
	deadline  time.Time
	objective time.Duration
	resumed   bool

	estimates []time.Duration // of a task, by step
	tasks     []task
	left      []int // tasks that are not done, by step
	started   bool

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

// Submit runs a job and returns its outcome. When ctx ends first, the job is
// cancelled.
func (h *Home) Submit(ctx context.Context, s Submission) Outcome {
	j, outcome := h.enter(s)
	if j == nil {
		return outcome
	}

	select {
	case <-j.over:
	case <-ctx.Done():
		h.Cancel(s.Key(), "its caller went away")
		<-j.over
	}
	return j.outcome
}

// enter takes a job in, or joins the one with its id.
func (h *Home) enter(s Submission) (*job, Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.closed || h.fenced {
		return nil, Outcome{Verdict: Moved, Reason: "the workers have another home"}
	}
	if j := h.jobs[s.Key()]; j != nil {
		j.origin = s.Origin
		return j, Outcome{}
	}
	if f, ok := h.finished[s.Key()]; ok && f.outcome.Verdict == Succeeded {
		return nil, f.outcome
	}

	now := time.Now()
	j := h.newJob(s, now)
	h.noteTypical(j)
	j.inherit(s)
	h.adopt(j, now)
	if !j.started && !j.resumed {
		if refusal, ok := h.admit(j, s, now); !ok {
			return nil, refusal
		}
	}
	h.jobs[j.key] = j
	h.waiting[j] = struct{}{}
	if len(j.tasks) == 0 || h.complete(j) {
		h.finish(j, Outcome{Verdict: Succeeded})
		return j, Outcome{}
	}
	h.dispatch(now)
	return j, Outcome{}
}

func (h *Home) newJob(s Submission, now time.Time) *job {
	j := &job{
		key:      s.Key(),
		batch:    s.Batch,
		route:    s.Route,
		origin:   s.Origin,
		arrived:  now.Add(-s.Age),
		deadline: now.Add(s.Left),
		resumed:  s.Resumed,
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
	j.objective = plan.Objective(s.Route, plan.Chain(s.Batch.Steps, j.estimates))
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
		case s.Resumed && (!s.Told || slices.Contains(s.Begun, t.name)):
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

// admit decides whether a new job is taken.
func (h *Home) admit(j *job, s Submission, now time.Time) (Outcome, bool) {
	if !h.listed(now) {
		return Outcome{}, true // what the workers have room for is not known yet
	}
	if reason := h.unfit(j); reason != "" {
		return h.refused(reason, 0), false
	}

	chain := plan.Chain(j.batch.Steps, j.estimates)
	backlog := h.backlog(j, now)
	wait := backlog.Wait(j.width())
	if wait == 0 {
		return Outcome{}, true
	}
	if s.Spill {
		return Outcome{Verdict: Busy}, false
	}
	if !s.Settled {
		if dc, ok := h.options.Elsewhere(j.width()); ok {
			return Outcome{Verdict: Redirected, DataCentre: dc}, false
		}
	}
	if !plan.Admit(wait, chain, j.objective, now.Sub(j.arrived)) {
		reason := fmt.Sprintf("the backlog takes %d ms, the job has %d ms", wait.Milliseconds(), (j.objective - chain).Milliseconds())
		o := h.refused(reason, wait)
		if len(j.batch.Steps) == 1 && s.Part == nil {
			o.Verdict = Crowded
			o.Room = h.room(j, now)
		}
		return o, false
	}
	return Outcome{}, true
}

func (h *Home) refused(reason string, wait time.Duration) Outcome {
	return Outcome{Verdict: Refused, Reason: reason, RetryAfter: plan.RetryAfter(wait, draw())}
}

// width is the processor claim of the tasks that can start first, in
// thousandths of a core.
func (j *job) width() int {
	total := 0
	for i := range j.tasks {
		if s := j.batch.Steps[j.tasks[i].step]; len(s.After) == 0 {
			total += s.Needs.Processor()
		}
	}
	return total
}

// unfit returns why no worker in use could ever run a step of the job.
func (h *Home) unfit(j *job) string {
	for i, s := range j.batch.Steps {
		suits := false
		for _, u := range h.units {
			if u.serves(j.route, s) && s.Needs.Within(u.book.Capacity()) {
				suits = true
				break
			}
		}
		if !suits {
			return fmt.Sprintf("no worker can run step %d", i)
		}
	}
	return ""
}

// Cancel ends a job and stops what runs of it.
func (h *Home) Cancel(id, reason string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if j := h.jobs[id]; j != nil {
		h.abort(j, Outcome{Verdict: Cancelled, Reason: reason})
	}
}

// DropOrigin cancels the jobs of an instance that is no longer heard.
func (h *Home) DropOrigin(instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, j := range h.jobs {
		if j.origin == instance {
			h.abort(j, Outcome{Verdict: Cancelled, Reason: "the instance of its caller is not heard"})
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
		Str("job", j.key).Str("queue", j.route.Name).Str("verdict", string(o.Verdict)).Str("reason", o.Reason).
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

// expire ends a job whose caller no longer waits, and refuses one that has not
// started and can be of no more use.
func (h *Home) expire(j *job, now time.Time) {
	switch {
	case now.After(j.deadline):
		h.abort(j, Outcome{Verdict: Cancelled, Reason: "its time is over"})
	case !j.waitingEntry().Expired(now):
	case j.resumed:
		h.abort(j, Outcome{Verdict: Lost, Reason: "an earlier home may have begun it, and there is no room in time"})
	default:
		h.finish(j, h.refused("no room in time", plan.Chain(j.batch.Steps, j.estimates)))
	}
}

// waitingEntry describes the job to the decisions.
func (j *job) waitingEntry() plan.Waiting {
	return plan.Waiting{
		Arrived:   j.arrived,
		Objective: j.objective,
		Remaining: j.remaining(),
		Priority:  j.route.Priority,
		Started:   j.started,
	}
}

// remaining is the longest chain of steps that are not done.
func (j *job) remaining() time.Duration {
	estimates := make([]time.Duration, len(j.estimates))
	for i, e := range j.estimates {
		if j.left[i] > 0 {
			estimates[i] = e
		}
	}
	return plan.Chain(j.batch.Steps, estimates)
}

// Origins returns the instances that jobs in progress came from.
func (h *Home) Origins() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []string
	for _, j := range h.jobs {
		if !slices.Contains(list, j.origin) {
			list = append(list, j.origin)
		}
	}
	return list
}

// tell returns what a later home has to know of the tasks.
func (j *job) tell(o Outcome) Outcome {
	for i := range j.tasks {
		switch t := &j.tasks[i]; {
		case t.state == taskDone:
			o.Done = append(o.Done, t.name)
		case t.state == taskRunning, t.held:
			o.Begun = append(o.Begun, t.name)
		}
	}
	return o
}
