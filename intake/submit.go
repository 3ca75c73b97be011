package intake

import (
	"context"

	"github.com/sourcegraph/conc/panics"

	"foxtailmux/claim"
	"foxtailmux/model"
	"foxtailmux/ticket"
)

// submission is a job on its way to the instance that holds its id.
type submission struct {
	id       string // empty until the idempotency key is claimed
	job      model.Job
	digest   string
	deadline deadline
	forwards int  // how often it was forwarded
	hasKey   bool // the job has an idempotency key
}

// Submit runs a job, or joins its run if it was submitted before, and returns its
// answer. When the context ends, a job with a ticket or an idempotency key
// continues, and a job without either is cancelled.
func (i *Intake) Submit(ctx context.Context, job model.Job) model.Answer {
	if job.Ticket != "" && job.IdempotencyKey != "" {
		return model.Fail("", model.RanNo, model.FailBadRequest, "a job takes a ticket or an idempotency key, not both")
	}
	sum, err := jobDigest(job)
	if err != nil {
		return model.Fail("", model.RanNo, model.FailBadRequest, err.Error())
	}

	s := submission{
		id:       job.Ticket,
		job:      job,
		digest:   sum,
		deadline: newDeadline(i.options.Clock, i.options.Deadline(job)),
		hasKey:   job.IdempotencyKey != "",
	}
	if s.id == "" && !s.hasKey {
		return i.runWithoutTicket(ctx, s)
	}
	return i.runDetached(ctx, s)
}

// runWithoutTicket runs a job without a ticket or key, which no other submission
// can join.
func (i *Intake) runWithoutTicket(ctx context.Context, s submission) model.Answer {
	i.mu.Lock()
	closed := i.closed
	i.mu.Unlock()
	if closed {
		return model.Fail("", model.RanNo, model.FailStopping, "the instance is stopping")
	}
	return i.run(ctx, i.store.BeginWithoutTicket(), s)
}

// runDetached runs, joins or forwards a job with a ticket or key, which continues
// when the context ends.
func (i *Intake) runDetached(ctx context.Context, s submission) model.Answer {
	answer, ok := i.startDetached(s.deadline, func(ctx context.Context) model.Answer {
		if s.id == "" {
			return i.submitWithKey(ctx, s)
		}
		return i.submitWithID(ctx, s)
	})
	if !ok {
		return attemptNotRun(s.id, model.FailStopping, "the instance is stopping")
	}

	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		return attemptMayHaveRun(s.id, contextFailureKind(ctx), "the caller stopped waiting; the job goes on")
	}
}

// submitWithKey claims the idempotency key of the submission for a new id, and
// submits the job on the id for which the key is claimed: the new id, or that of
// an earlier submission.
func (i *Intake) submitWithKey(ctx context.Context, s submission) model.Answer {
	ids, err := i.store.Issue(1)
	if ticketErrorKind(err) == ticket.KindHandedOver {
		return i.forwardToAdopter(ctx, s, i.options.Incarnation)
	}
	if err != nil {
		return withRetryAfter(attemptNotRun("", model.FailOverloaded, err.Error()), capacityRetryMillis)
	}

	id := ids[0]
	limited, cancel := context.WithDeadline(ctx, s.deadline.at)
	defer cancel()
	c, err := i.claimer.Claim(limited, s.job.Team, s.job.IdempotencyKey, s.digest, id)
	if err != nil {
		return i.claimFailed(limited, id, err)
	}
	if c.JobID != id {
		i.store.Release(id)
	}

	s.id = c.JobID
	return i.submitWithID(ctx, s)
}

// claimFailed returns the answer to a submission whose claim failed. Unless the
// key is already claimed for another job, the claim may have taken effect or may
// still do so. The id is therefore not released: the next submission with the key
// may get it.
func (i *Intake) claimFailed(ctx context.Context, id string, err error) model.Answer {
	switch claimErrorKind(err) {
	case claim.KindConflict:
		i.store.Release(id)
		return attemptNotRun("", model.FailKeyConflict, err.Error())
	case claim.KindContextEnded:
		return attemptNotRun("", contextFailureKind(ctx), err.Error())
	case claim.KindClosed:
		return attemptNotRun("", model.FailStopping, err.Error())
	}
	reason := "the platform's table could not be asked about the key; a submission with a ticket needs no table: " + err.Error()
	return withRetryAfter(attemptNotRun("", model.FailStoreDown, reason), storeRetryMillis)
}

// submitWithID runs or joins the job here if this instance holds its id, and else
// forwards the submission to the holder.
func (i *Intake) submitWithID(ctx context.Context, s submission) model.Answer {
	id, err := ticket.Parse(s.id)
	if err != nil {
		return model.Fail(s.id, model.RanNo, model.FailUnknownID, err.Error())
	}
	if !i.store.Holds(id.Incarnation) {
		return i.forward(ctx, s, id.Incarnation)
	}

	e, first, err := i.store.Begin(s.id, s.digest)
	switch {
	case ticketErrorKind(err) == ticket.KindHandedOver:
		return i.forwardToAdopter(ctx, s, id.Incarnation)
	case err != nil:
		return beginFailed(s, err)
	case first:
		return i.run(ctx, e, s)
	}
	return joinRun(ctx, e, s)
}

// beginFailed returns the answer to a submission on whose id no job can begin.
func beginFailed(s submission, err error) model.Answer {
	switch ticketErrorKind(err) {
	case ticket.KindUnknown:
		return model.Fail(s.id, model.RanNo, model.FailUnknownID, err.Error())
	case ticket.KindConflict:
		return attemptNotRun(s.id, model.FailKeyConflict, err.Error())
	case ticket.KindDropped:
		return attemptNotRun(s.id, model.FailKeyUsed, err.Error())
	case ticket.KindExpired:
		if s.hasKey {
			return attemptNotRun(s.id, model.FailKeyUsed, "the key was used, and its answer is no longer kept")
		}
		return attemptNotRun(s.id, model.FailUnknownID, err.Error())
	}
	return attemptNotRun(s.id, model.FailInternal, err.Error())
}

// joinRun waits for the answer of the run that an earlier submission started.
func joinRun(ctx context.Context, e *ticket.Entry, s submission) model.Answer {
	ctx, cancel := context.WithDeadline(ctx, s.deadline.at)
	defer cancel()

	answer, err := e.Wait(ctx)
	if err != nil {
		return attemptMayHaveRun(e.ID(), contextFailureKind(ctx), "the job did not end in time for this submission")
	}
	return answer
}

// run runs a job that this submission began, and passes its answer to all
// submissions that joined it.
func (i *Intake) run(ctx context.Context, e *ticket.Entry, s submission) model.Answer {
	ctx, cancel := context.WithDeadline(ctx, s.deadline.at)
	defer cancel()
	e.OnCancel(cancel)

	answer := i.callRunner(ctx, e.ID(), s)
	answer.JobID = e.ID()
	e.Finish(answer)
	return answer
}

// callRunner runs the job unless its deadline has passed or its context has ended,
// and reports a panic of the runner as a failed job that may have run.
func (i *Intake) callRunner(ctx context.Context, id string, s submission) (answer model.Answer) {
	if ctx.Err() != nil {
		return model.Fail(id, model.RanNo, contextFailureKind(ctx), "the job ended before its start")
	}
	if s.deadline.passed() {
		return model.Fail(id, model.RanNo, model.FailDeadline, "the deadline passed before the start")
	}

	recovered := panics.Try(func() { answer = i.runner.Run(ctx, id, s.job) })
	if recovered != nil {
		return model.Fail(id, model.RanMaybe, model.FailInternal, recovered.AsError().Error())
	}
	return answer
}
