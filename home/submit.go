package home

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"foxtailmux/model"
	"foxtailmux/plan"
)

// Result is how a home answers a job.
type Result string

// The verdicts. Refused promises that no task of the job ran or will. Moved
// means that the home is no longer one, and the job may have run in part.
// Redirected means that nothing ran and another data centre has room. Busy
// answers a job that asked to start at once or not at all, NoRoom one that
// would be refused and that several data centres together may have room for.
// Cancelled answers a job whose caller went away or whose time is over. Lost
// means that the job may have run in part, and that its home is out of reach or
// that it can't end in time.
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
)

// Outcome is the answer to a job.
type Outcome struct {
	Result         Result        `json:"verdict"`
	Reason         string        `json:"reason,omitempty"`
	RetryAfter     time.Duration `json:"retryAfter,omitempty"` // of Refused and NoRoom
	StartableTasks int           `json:"room,omitempty"`       // tasks that could start here, of NoRoom
	DataCentre     string        `json:"dataCentre,omitempty"` // of Redirected
	Done           []string      `json:"done,omitempty"`       // tasks that are done, of Moved
	MaybeRunning   []string      `json:"begun,omitempty"`      // tasks that may still run, of Moved
}

// Submission is a job for a home. Age is the time since its receipt, Left how
// long its caller still waits.
type Submission struct {
	Batch    model.Batch   `json:"batch"`
	Route    model.Route   `json:"route"`
	Origin   string        `json:"origin"` // instance that holds the caller's connection
	Age      time.Duration `json:"age"`
	TimeLeft time.Duration `json:"left"`

	// Resumed tells that an earlier home may have started tasks of the job.
	Resumed bool `json:"resumed,omitempty"`
	// Immediate asks to start at once or to answer Busy.
	Immediate bool `json:"spill,omitempty"`
	// NoRedirect asks not to be redirected.
	NoRedirect bool `json:"settled,omitempty"`
	// Part is the share of the tasks that is run; without one, all are.
	Part *Part `json:"part,omitempty"`
	// Done are the tasks that an earlier home saw done, and Begun those that it
	// may have left running; without Told, any other task may run too.
	Done          []string `json:"done,omitempty"`
	MaybeRunning  []string `json:"begun,omitempty"`
	TasksReported bool     `json:"told,omitempty"`

	// SpecBytes is the length in bytes of the specification if the origin keeps it and
	// sends the starts itself, through Relay.
	SpecBytes     int            `json:"withheld,omitempty"`
	OriginStarter *OriginStarter `json:"-"`
}

// sending returns how the starts of the job leave.
func (s Submission) sending() sending { return sending{relay: s.OriginStarter, withheld: s.SpecBytes} }

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
		return nil, Outcome{Result: Moved, Reason: "the workers have another home"}
	}
	if j := h.jobs[s.Key()]; j != nil {
		j.origin, j.entered = s.Origin, time.Now()
		j.sending, j.batch.Spec, j.misses = s.sending(), s.Batch.Spec, 0
		return j, Outcome{}
	}
	if f, ok := h.finished[s.Key()]; ok && f.outcome.Result == Succeeded {
		return nil, f.outcome
	}

	now := time.Now()
	if h.behind && !s.Resumed {
		return nil, h.refused("the home has no processor time left", time.Second)
	}
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
		h.finish(j, Outcome{Result: Succeeded})
		return j, Outcome{}
	}
	h.dispatch(now)
	return j, Outcome{}
}

// admit decides whether a new job is taken.
func (h *Home) admit(j *job, s Submission, now time.Time) (Outcome, bool) {
	if !h.listed(now) {
		return Outcome{}, true // what the workers have room for is not known yet
	}
	if reason := h.unfit(j); reason != "" {
		return h.refused(reason, 0), false
	}

	times := j.times(now)
	backlog := h.backlog(j, now)
	wait := backlog.EstimateWait(j.width())
	if wait == 0 {
		return Outcome{}, true
	}
	if s.Immediate {
		return Outcome{Result: Busy}, false
	}
	if !s.NoRedirect {
		if dc, ok := h.options.FreeDataCentre(j.width()); ok {
			return Outcome{Result: Redirected, DataCentre: dc}, false
		}
	}
	if !plan.Admit(wait, times) {
		h.options.Log.Info().Str("job", j.key).Int("claim", j.width()).Int("free", backlog.Free).Int("ahead", backlog.Ahead).
			Int("capacity", backlog.Capacity).Int64("waitMillis", wait.Milliseconds()).Int64("ageMillis", times.Age.Milliseconds()).
			Int64("chainMillis", times.CriticalPath.Milliseconds()).Int64("objectiveMillis", times.Objective.Milliseconds()).
			Msg("job not admitted")
		reason := fmt.Sprintf("the backlog takes %d ms, the job has %d ms", wait.Milliseconds(), (j.objective - times.CriticalPath).Milliseconds())
		o := h.refused(reason, wait)
		if len(j.batch.Steps) == 1 && s.Part == nil {
			o.Result = NoCapacity
			o.StartableTasks = h.room(j, now)
		}
		return o, false
	}
	return Outcome{}, true
}

func (h *Home) refused(reason string, wait time.Duration) Outcome {
	return Outcome{Result: Refused, Reason: reason, RetryAfter: plan.RetryAfter(wait, draw())}
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
