// Package runner runs a job: it checks the job against the configuration and the
// team's quota, submits its tasks to a scheduler, retries failed ones and builds
// the answer from their outcomes.
package runner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"foxtailmux/config"
	"foxtailmux/model"
	"foxtailmux/queue"
	"foxtailmux/quota"
)

const (
	// A task that was removed from a queue without having been started is
	// resubmitted after resubmitDelay, at most maxResubmissions times.
	maxResubmissions = 10
	resubmitDelay    = 50 * time.Millisecond
)

// cancelGrace is how long a failed job waits for the outcomes of its cancelled
// tasks, so that the answer can report whether any of them ran.
const cancelGrace = 100 * time.Millisecond

// Scheduler runs the tasks of a job and reports whether needs can never be met by
// a pool.
type Scheduler interface {
	Submit(j *queue.Job) error
	NeverFits(pool string, needs model.Resources) bool
}

// Budget limits retries to a share of the first attempts: Deposit counts first
// attempts, Withdraw reports whether one more retry is allowed.
type Budget interface {
	Deposit(firstAttempts int)
	Withdraw() bool
}

// Observer counts retries by their reason, for metrics.
type Observer interface {
	Retried(reason string)
}

// Runner runs jobs. Configuration returns the configuration in force, nil if there
// is none yet.
type Runner struct {
	Scheduler     Scheduler
	Quota         *quota.Limiter
	Budget        Budget
	Observer      Observer
	Configuration func() *config.Version
}

// Run runs a job and returns its answer. It returns when the job is refused, when
// all tasks have ended, or at most cancelGrace (100 ms) after the job failed, its
// deadline passed or the context ended.
func (r *Runner) Run(ctx context.Context, id string, job model.Job) model.Answer {
	arrived := time.Now()
	version := r.Configuration()
	if version == nil {
		return refusal(id, model.Failure{Kind: model.FailNotReady, Reason: "no configuration is in force yet"})
	}
	document := &version.Document

	rules, failure := r.checkJob(document, job)
	if failure != nil {
		return refusal(id, *failure)
	}

	release, err := r.Quota.Admit(rules.team, len(job.Tasks))
	if err != nil {
		return refusal(id, quotaFailure(err))
	}
	defer release()

	deadline := arrived.Add(rules.deadline)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()

	return r.run(ctx, id, job, rules, arrived, deadline, cancel)
}

func (r *Runner) run(ctx context.Context, id string, job model.Job, rules jobRules, arrived, deadline time.Time, cancel func()) model.Answer {
	c := newCollector(id, len(job.Tasks))
	j := &queue.Job{
		Context:  ctx,
		ID:       id,
		Team:     rules.team.Name,
		Pool:     rules.service.Pool,
		Weight:   max(1, rules.team.Weight),
		Arrived:  arrived,
		Deadline: deadline,
	}
	for i, t := range job.Tasks {
		j.Items = append(j.Items, r.newItem(c, j, rules, i, t))
	}

	r.Budget.Deposit(len(job.Tasks))
	if err := r.Scheduler.Submit(j); err != nil {
		return refusal(id, model.Failure{
			Kind:             model.FailOverloaded,
			Reason:           err.Error(),
			RetryAfterMillis: rules.service.ExpectedRun.Milliseconds(),
		})
	}

	r.awaitTasks(ctx, c, cancel)
	return c.answer()
}

// awaitTasks returns when every task has ended. If the job fails or its context
// ends before that, it cancels the remaining tasks and returns cancelGrace later at
// the latest.
func (r *Runner) awaitTasks(ctx context.Context, c *collector, cancel func()) {
	select {
	case <-c.ended:
		return
	case <-c.failed:
	case <-ctx.Done():
		c.failIfPending(endedFailure(ctx))
	}
	cancel()

	select {
	case <-c.ended:
	case <-time.After(cancelGrace):
	}
}

func endedFailure(ctx context.Context) model.Failure {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return model.Failure{Kind: model.FailDeadline, Reason: "the deadline passed"}
	}
	return model.Failure{Kind: model.FailCancelled, Reason: "the job was cancelled"}
}

func (r *Runner) newItem(c *collector, j *queue.Job, rules jobRules, index int, t model.Task) *queue.Item {
	it := &queue.Item{
		Request: model.StartRequest{
			TaskID:  fmt.Sprintf("%s-%d", j.ID, index),
			Attempt: 1,
			Team:    j.Team,
			Service: rules.service.Name,
			Needs:   t.Needs,
			Payload: t.Payload,
		},
		ExpectedRun: expectedRun(t, rules.service),
	}
	it.Deliver = func(o queue.Outcome) { r.deliver(c, j, it, rules, index, o) }
	return it
}

func expectedRun(t model.Task, s config.Service) time.Duration {
	if t.ExpectedMillis > 0 {
		return time.Duration(t.ExpectedMillis) * time.Millisecond
	}
	return s.ExpectedRun
}

// deliver handles the outcome of an attempt. A task that was not started, unless
// for a lack of capacity, is resubmitted up to maxResubmissions times. A task whose
// attempt failed or has no known outcome is retried if the job is repeatable, the
// configured number of attempts is not reached and the retry budget allows it. Any
// other outcome is final, as is every outcome after the job's context has ended.
func (r *Runner) deliver(c *collector, j *queue.Job, it *queue.Item, rules jobRules, index int, o queue.Outcome) {
	if j.Context.Err() != nil {
		c.failIfPending(endedFailure(j.Context))
	}
	if o.NotRun && !o.NoCapacity && j.Context.Err() == nil && it.Resubmissions < maxResubmissions {
		it.Resubmissions++
		time.AfterFunc(resubmitDelay, func() { r.resubmit(c, j, it, index, o) })
		return
	}
	if rules.repeatable && attemptFailed(o) && j.Context.Err() == nil && r.retry(j, it, rules) {
		return
	}
	c.add(index, o)
}

// resubmit submits a task again that was removed from a queue without having been
// started, because the workers of its pool left or have another owner now. If that
// is refused, the outcome last becomes final.
func (r *Runner) resubmit(c *collector, j *queue.Job, it *queue.Item, index int, last queue.Outcome) {
	if err := r.submitItem(j, it); err != nil {
		c.add(index, last)
		return
	}
	r.Observer.Retried("moved")
}

func (r *Runner) submitItem(j *queue.Job, it *queue.Item) error {
	single := *j
	single.Items = []*queue.Item{it}
	return r.Scheduler.Submit(&single)
}

func attemptFailed(o queue.Outcome) bool {
	return !o.NotRun && (o.Err != nil || o.Reply.Outcome == model.OutcomeFailed)
}

func (r *Runner) retry(j *queue.Job, it *queue.Item, rules jobRules) bool {
	if it.Request.Attempt >= rules.maxAttempts || !r.Budget.Withdraw() {
		return false
	}
	it.Request.Attempt++

	if err := r.submitItem(j, it); err != nil {
		return false
	}
	r.Observer.Retried("failedAttempt")
	return true
}
