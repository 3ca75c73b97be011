package runner

import (
	"errors"
	"fmt"
	"time"

	"foxtailmux/config"
	"foxtailmux/model"
	"foxtailmux/quota"
)

// jobRules are the settings and limits from the configuration that apply to one
// job.
type jobRules struct {
	service     config.Service
	team        config.Team
	deadline    time.Duration
	repeatable  bool
	maxAttempts int
}

// checkJob returns the rules for a job, or a failure if the configuration does not
// allow the job or all workers are too small for one of its tasks.
func (r *Runner) checkJob(document *config.Document, job model.Job) (jobRules, *model.Failure) {
	service, ok := document.Service(job.Service)
	if !ok {
		return jobRules{}, badRequest("service %q does not exist", job.Service)
	}
	team, ok := document.Team(job.Team)
	if !ok {
		return jobRules{}, badRequest("team %q does not exist", job.Team)
	}

	if failure := checkTasks(service, job); failure != nil {
		return jobRules{}, failure
	}
	for i, t := range job.Tasks {
		if r.Scheduler.NeverFits(service.Pool, t.Needs) {
			reason := fmt.Sprintf("task %d needs more than any worker of pool %q has", i, service.Pool)
			return jobRules{}, &model.Failure{Kind: model.FailNeverFits, Reason: reason}
		}
	}

	return jobRules{
		service:     service,
		team:        team,
		deadline:    deadlineOf(service, job),
		repeatable:  job.Repeatable && service.MayRepeat,
		maxAttempts: document.Retry.MaxAttempts,
	}, nil
}

func checkTasks(service config.Service, job model.Job) *model.Failure {
	if len(job.Tasks) == 0 {
		return badRequest("the job has no tasks")
	}
	if len(job.Tasks) > service.MaxTasks {
		return badRequest("the job has %d tasks, service %q allows %d", len(job.Tasks), service.Name, service.MaxTasks)
	}
	if job.Repeatable && !service.MayRepeat {
		return badRequest("tasks of service %q may not be repeated", service.Name)
	}

	deadline := time.Duration(job.DeadlineMillis) * time.Millisecond
	if deadline < 0 || deadline > service.MaxDeadline {
		return badRequest("deadlineMillis is %d, service %q allows 0 to %d", job.DeadlineMillis, service.Name, service.MaxDeadline.Milliseconds())
	}
	return checkNeeds(job)
}

func checkNeeds(job model.Job) *model.Failure {
	for i, t := range job.Tasks {
		if t.Needs.Cores < 0 || t.Needs.MemoryMB < 0 || t.Needs.Accelerators < 0 {
			return badRequest("task %d has negative needs", i)
		}
		if t.ExpectedMillis < 0 {
			return badRequest("task %d has a negative expectedMillis", i)
		}
	}
	return nil
}

func deadlineOf(service config.Service, job model.Job) time.Duration {
	if job.DeadlineMillis == 0 {
		return service.DefaultDeadline
	}
	return time.Duration(job.DeadlineMillis) * time.Millisecond
}

func badRequest(format string, args ...any) *model.Failure {
	return &model.Failure{Kind: model.FailBadRequest, Reason: fmt.Sprintf(format, args...)}
}

// refusal returns the answer to a job of which no task was started.
func refusal(id string, f model.Failure) model.Answer {
	return model.Answer{JobID: id, Result: model.Failed, Ran: model.RanNo, Error: &f}
}

func quotaFailure(err error) model.Failure {
	f := model.Failure{Kind: model.FailQuota, Reason: err.Error()}

	var e *quota.Error
	if errors.As(err, &e) {
		f.RetryAfterMillis = e.RetryAfter.Milliseconds()
	}
	return f
}
