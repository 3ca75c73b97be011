package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rotisserie/eris"

	"foxtailmux/budget"
	"foxtailmux/config"
	"foxtailmux/model"
	"foxtailmux/queue"
	"foxtailmux/quota"
)

// fakeScheduler delivers the outcome that the test's function returns for each
// attempt.
type fakeScheduler struct {
	mu      sync.Mutex
	starts  map[string]int
	outcome func(ctx context.Context, r model.StartRequest) queue.Outcome
	refuses bool
}

func (s *fakeScheduler) NeverFits(_ string, needs model.Resources) bool {
	return needs.Accelerators > 4
}

func (s *fakeScheduler) Submit(j *queue.Job) error {
	if s.refuses {
		return eris.New("full")
	}
	for _, it := range j.Items {
		go s.run(j, it)
	}
	return nil
}

func (s *fakeScheduler) run(j *queue.Job, it *queue.Item) {
	s.mu.Lock()
	s.starts[it.Request.TaskID]++
	s.mu.Unlock()
	it.Deliver(s.outcome(j.Context, it.Request))
}

type noopObserver struct{}

func (noopObserver) Retried(string) {}

func newRunner(outcome func(context.Context, model.StartRequest) queue.Outcome) (*Runner, *fakeScheduler) {
	document := config.Default()
	document.Services = []config.Service{
		{Name: "quote", Pool: "p", MaxTasks: 10},
		{Name: "preview", Pool: "p", MayRepeat: true},
	}
	document.Teams = []config.Team{
		{Name: "counter"},
		{Name: "small", MaxOpenJobs: 1},
	}

	s := &fakeScheduler{starts: map[string]int{}, outcome: outcome}
	return &Runner{
		Scheduler:     s,
		Quota:         quota.NewLimiter(),
		Budget:        budget.New(1),
		Observer:      noopObserver{},
		Configuration: func() *config.Version { return &config.Version{Number: 1, Document: document} },
	}, s
}

func quoteJob(tasks int) model.Job {
	return model.Job{Team: "counter", Service: "quote", Tasks: make([]model.Task, tasks), DeadlineMillis: 1000}
}

func echo(_ context.Context, r model.StartRequest) queue.Outcome {
	return queue.Outcome{Reply: model.TaskReply{
		Outcome: model.OutcomeDone,
		Result:  json.RawMessage(fmt.Sprintf("%q", r.TaskID)),
	}}
}

func lost(context.Context, model.StartRequest) queue.Outcome {
	return queue.Outcome{Err: eris.New("lost")}
}

func TestAnswerHoldsEveryResultInOrder(t *testing.T) {
	r, _ := newRunner(echo)

	want := model.Answer{
		JobID: "j", Result: model.Complete, Ran: model.RanYes,
		Tasks: []json.RawMessage{json.RawMessage(`"j-0"`), json.RawMessage(`"j-1"`), json.RawMessage(`"j-2"`)},
	}
	if diff := cmp.Diff(want, r.Run(t.Context(), "j", quoteJob(3))); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
}

func TestOneFailedTaskFailsTheWholeJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := newRunner(func(ctx context.Context, s model.StartRequest) queue.Outcome {
			if s.TaskID == "j-1" {
				return queue.Outcome{Reply: model.TaskReply{Outcome: model.OutcomeFailed, Reason: "broken"}}
			}
			return echo(ctx, s)
		})

		want := model.Fail("j", model.RanYes, model.FailWorkerError, "a task failed: broken")
		if diff := cmp.Diff(want, r.Run(t.Context(), "j", quoteJob(3))); diff != "" {
			t.Errorf("answer (-want +got):\n%s", diff)
		}
	})
}

func TestLostReplyIsMaybeAndNotRepeated(t *testing.T) {
	r, s := newRunner(lost)

	got := r.Run(t.Context(), "j", quoteJob(1))
	want := model.Fail("j", model.RanMaybe, model.FailWorkerLost, "the outcome of a task is unknown")
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(map[string]int{"j-0": 1}, s.starts); diff != "" {
		t.Errorf("starts (-want +got):\n%s", diff)
	}
}

func TestRepeatableJobIsRepeatedWithinTheBudget(t *testing.T) {
	r, s := newRunner(func(ctx context.Context, q model.StartRequest) queue.Outcome {
		if q.Attempt == 1 {
			return lost(ctx, q)
		}
		return echo(ctx, q)
	})
	job := model.Job{Team: "counter", Service: "preview", Repeatable: true, Tasks: make([]model.Task, 1)}

	if got := r.Run(t.Context(), "j", job); got.Result != model.Complete {
		t.Errorf("answer is %+v, want complete", got)
	}
	if diff := cmp.Diff(map[string]int{"j-0": 2}, s.starts); diff != "" {
		t.Errorf("starts (-want +got):\n%s", diff)
	}

	r.Budget = budget.New(0)
	if got := r.Run(t.Context(), "k", job); got.Result != model.Failed {
		t.Errorf("answer without a budget is %+v, want failed", got)
	}
}

func TestDeadlineAnswerReportsWhetherTasksMayHaveRun(t *testing.T) {
	queued := func(ctx context.Context, _ model.StartRequest) queue.Outcome {
		<-ctx.Done()
		return queue.Outcome{Err: ctx.Err(), NotRun: true}
	}
	stalled := func(context.Context, model.StartRequest) queue.Outcome {
		time.Sleep(time.Hour)
		return queue.Outcome{Err: eris.New("too late")}
	}

	for name, c := range map[string]struct {
		outcome func(context.Context, model.StartRequest) queue.Outcome
		ran     model.Ran
	}{
		"still queued": {queued, model.RanNo},
		"on a worker":  {stalled, model.RanMaybe},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, _ := newRunner(c.outcome)
				began := time.Now()

				got := r.Run(t.Context(), "j", quoteJob(2))
				if diff := cmp.Diff(c.ran, got.Ran); diff != "" {
					t.Errorf("ran (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(model.FailDeadline, got.Error.Kind); diff != "" {
					t.Errorf("kind (-want +got):\n%s", diff)
				}
				if late := time.Since(began) - time.Second; late > cancelGrace {
					t.Errorf("answered %v after the deadline", late)
				}
				time.Sleep(2 * time.Hour)
			})
		})
	}
}

func TestCancelledJobFailsAsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := newRunner(func(ctx context.Context, _ model.StartRequest) queue.Outcome {
			<-ctx.Done()
			return queue.Outcome{Reply: model.TaskReply{Outcome: model.OutcomeCancelled}}
		})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)

		got := r.Run(ctx, "j", quoteJob(1))
		want := model.Fail("j", model.RanYes, model.FailCancelled, "the job was cancelled")
		if diff := cmp.Diff(want.Error.Kind, got.Error.Kind); diff != "" {
			t.Errorf("kind (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(want.Ran, got.Ran); diff != "" {
			t.Errorf("ran (-want +got):\n%s", diff)
		}
	})
}

func TestRefusedJobsNeverRun(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*model.Job)
		kind   model.FailureKind
	}{
		"unknown service":                {func(j *model.Job) { j.Service = "none" }, model.FailBadRequest},
		"unknown team":                   {func(j *model.Job) { j.Team = "none" }, model.FailBadRequest},
		"no tasks":                       {func(j *model.Job) { j.Tasks = nil }, model.FailBadRequest},
		"too many tasks":                 {func(j *model.Job) { j.Tasks = make([]model.Task, 11) }, model.FailBadRequest},
		"negative deadline":              {func(j *model.Job) { j.DeadlineMillis = -1 }, model.FailBadRequest},
		"deadline too long":              {func(j *model.Job) { j.DeadlineMillis = 1e9 }, model.FailBadRequest},
		"negative needs":                 {func(j *model.Job) { j.Tasks[0].Needs.Cores = -1 }, model.FailBadRequest},
		"negative expected run time":     {func(j *model.Job) { j.Tasks[0].ExpectedMillis = -1 }, model.FailBadRequest},
		"repeat not allowed":             {func(j *model.Job) { j.Repeatable = true }, model.FailBadRequest},
		"needs too large for any worker": {func(j *model.Job) { j.Tasks[1].Needs.Accelerators = 5 }, model.FailNeverFits},
	} {
		t.Run(name, func(t *testing.T) {
			r, s := newRunner(echo)
			job := quoteJob(2)
			c.change(&job)

			got := r.Run(t.Context(), "j", job)
			if diff := cmp.Diff(model.RanNo, got.Ran); diff != "" {
				t.Errorf("ran (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.kind, got.Error.Kind); diff != "" {
				t.Errorf("kind (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(map[string]int{}, s.starts); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
		})
	}
}

func TestFullQueueRefusesWithRetryAfter(t *testing.T) {
	r, s := newRunner(echo)
	s.refuses = true

	got := r.Run(t.Context(), "j", quoteJob(1))
	want := &model.Failure{Kind: model.FailOverloaded, Reason: "full", RetryAfterMillis: 200}
	if diff := cmp.Diff(want, got.Error); diff != "" {
		t.Errorf("failure (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(model.RanNo, got.Ran); diff != "" {
		t.Errorf("ran (-want +got):\n%s", diff)
	}
}

func TestQuotaIsReleased(t *testing.T) {
	release := make(chan struct{})
	r, _ := newRunner(func(ctx context.Context, q model.StartRequest) queue.Outcome {
		<-release
		return echo(ctx, q)
	})
	job := quoteJob(1)
	job.Team = "small"

	first := make(chan model.Answer)
	go func() { first <- r.Run(context.Background(), "a", job) }()
	for r.Quota.OpenJobs()["small"] == 0 {
		time.Sleep(time.Millisecond)
	}

	if got := r.Run(t.Context(), "b", job); got.Error == nil || got.Error.Kind != model.FailQuota {
		t.Errorf("second job: %+v, want a quota failure", got)
	}
	close(release)
	<-first
	if got := r.Run(t.Context(), "c", job); got.Result != model.Complete {
		t.Errorf("third job: %+v, want complete", got)
	}
}

func TestTaskRemovedFromItsQueueIsResubmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tries := 0
		r, s := newRunner(func(ctx context.Context, q model.StartRequest) queue.Outcome {
			tries++
			if tries < 3 {
				return queue.Outcome{Err: eris.New("no worker"), NotRun: true}
			}
			return echo(ctx, q)
		})

		if got := r.Run(t.Context(), "j", quoteJob(1)); got.Result != model.Complete {
			t.Errorf("answer is %+v, want complete", got)
		}
		if diff := cmp.Diff(map[string]int{"j-0": 3}, s.starts); diff != "" {
			t.Errorf("submissions (-want +got):\n%s", diff)
		}
	})
}

func TestTaskWithoutAWorkerFailsAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := newRunner(func(context.Context, model.StartRequest) queue.Outcome {
			return queue.Outcome{Err: eris.New("no worker"), NotRun: true}
		})

		got := r.Run(t.Context(), "j", quoteJob(1))
		want := model.Fail("j", model.RanNo, model.FailNoWorker, "no worker takes a task: no worker")
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("answer (-want +got):\n%s", diff)
		}
	})
}
