// Package runner runs a job: it checks the job against the configuration,
// has its tasks started here or on peers and builds the one answer.
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
	// maxMoves and moveDelay bound how often and how soon a task that lost its
	// place in a queue is submitted again.
	maxMoves  = 10
	moveDelay = 50 * time.Millisecond
)

// settleGrace is how long a failed job waits for its other tasks, so that the
// answer can say what ran.
const settleGrace = 100 * time.Millisecond

// Scheduler starts tasks on the workers of this instance.
type Scheduler interface {
	Submit(j *queue.Job) error
	NeverFits(pool string, needs model.Resources) bool
}

// Budget grants repeated starts.
type Budget interface {
	Deposit(firstAttempts int)
	Withdraw() bool
}

// Observer counts what the runner does.
type Observer interface {
	Retried(reason string)
}

// Runner runs jobs.
type Runner struct {
	Scheduler     Scheduler
	Quota         *quota.Limiter
	Budget        Budget
	Observer      Observer
	Configuration func() *config.Version
}

// Run runs a job and returns its answer when it is decided or the context is
// done.
func (r *Runner) Run(ctx context.Context, id string, job model.Job) model.Answer {
	arrived := time.Now()
	version := r.Configuration()
	if version == nil {
		return refusal(id, model.Failure{Kind: model.FailNotReady, Reason: "no configuration is in force yet"})
	}
	document := &version.Document

	plan, failure := r.check(document, job)
	if failure != nil {
		return refusal(id, *failure)
	}

	release, err := r.Quota.Admit(plan.team, len(job.Tasks))
	if err != nil {
		return refusal(id, quotaFailure(err))
	}
	defer release()

	deadline := arrived.Add(plan.deadline)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()

	return r.run(ctx, id, job, plan, arrived, deadline, cancel)
}

func (r *Runner) run(ctx context.Context, id string, job model.Job, plan plan, arrived, deadline time.Time, cancel func()) model.Answer {
	g := newGather(id, len(job.Tasks))
	j := &queue.Job{
		Context:  ctx,
		ID:       id,
		Team:     plan.team.Name,
		Pool:     plan.service.Pool,
		Weight:   max(1, plan.team.Weight),
		Arrived:  arrived,
		Deadline: deadline,
	}
	for i, t := range job.Tasks {
		j.Items = append(j.Items, r.item(g, j, plan, i, t))
	}

	r.Budget.Deposit(len(job.Tasks))
	if err := r.Scheduler.Submit(j); err != nil {
		return refusal(id, model.Failure{
			Kind:             model.FailOverloaded,
			Reason:           err.Error(),
			RetryAfterMillis: plan.service.ExpectedRun.Milliseconds(),
		})
	}

	r.await(ctx, g, cancel)
	return g.answer()
}

// await returns when every task has ended, or when the job has failed and the
// rest had its time to say what became of it.
func (r *Runner) await(ctx context.Context, g *gather, cancel func()) {
	select {
	case <-g.ended:
		return
	case <-g.failed:
	case <-ctx.Done():
		g.refuse(endedFailure(ctx))
	}
	cancel()

	select {
	case <-g.ended:
	case <-time.After(settleGrace):
	}
}

func endedFailure(ctx context.Context) model.Failure {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return model.Failure{Kind: model.FailDeadline, Reason: "the deadline passed"}
	}
	return model.Failure{Kind: model.FailCancelled, Reason: "the job was cancelled"}
}

func (r *Runner) item(g *gather, j *queue.Job, plan plan, index int, t model.Task) *queue.Item {
	it := &queue.Item{
		Request: model.StartRequest{
			TaskID:  fmt.Sprintf("%s-%d", j.ID, index),
			Attempt: 1,
			Team:    j.Team,
			Service: plan.service.Name,
			Needs:   t.Needs,
			Payload: t.Payload,
		},
		ExpectedRun: expected(t, plan.service),
	}
	it.Deliver = func(o queue.Outcome) { r.deliver(g, j, it, plan, index, o) }
	return it
}

func expected(t model.Task, s config.Service) time.Duration {
	if t.ExpectedMillis > 0 {
		return time.Duration(t.ExpectedMillis) * time.Millisecond
	}
	return s.ExpectedRun
}

// deliver records an outcome, or starts a repeatable task again while the
// budget allows it.
func (r *Runner) deliver(g *gather, j *queue.Job, it *queue.Item, plan plan, index int, o queue.Outcome) {
	if j.Context.Err() != nil {
		g.refuse(endedFailure(j.Context))
	}
	if o.NotRun && !o.NoCapacity && j.Context.Err() == nil && it.Resubmissions < maxMoves {
		it.Resubmissions++
		time.AfterFunc(moveDelay, func() { r.move(g, j, it, index, o) })
		return
	}
	if plan.repeatable && failed(o) && j.Context.Err() == nil && r.retry(j, it, plan) {
		return
	}
	g.add(index, o)
}

// move submits a task again that lost its place in a queue without having been
// started, because the workers of that queue left or have another home now.
func (r *Runner) move(g *gather, j *queue.Job, it *queue.Item, index int, last queue.Outcome) {
	if err := r.submitAgain(j, it); err != nil {
		g.add(index, last)
		return
	}
	r.Observer.Retried("moved")
}

func (r *Runner) submitAgain(j *queue.Job, it *queue.Item) error {
	again := *j
	again.Items = []*queue.Item{it}
	return r.Scheduler.Submit(&again)
}

func failed(o queue.Outcome) bool {
	return !o.NotRun && (o.Err != nil || o.Reply.Outcome == model.OutcomeFailed)
}

func (r *Runner) retry(j *queue.Job, it *queue.Item, plan plan) bool {
	if it.Request.Attempt >= plan.maxAttempts || !r.Budget.Withdraw() {
		return false
	}
	it.Request.Attempt++

	if err := r.submitAgain(j, it); err != nil {
		return false
	}
	r.Observer.Retried("failedAttempt")
	return true
}
