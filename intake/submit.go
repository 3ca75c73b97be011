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
	id       string // empty until the key is claimed
	job      model.Job
	digest   string
	deadline deadline
	hops     int
	keyed    bool
}

// Submit returns the job's only answer. With a ticket or a key, the job goes
// on when the context ends; without, it is cancelled.
func (i *Intake) Submit(ctx context.Context, job model.Job) model.Answer {
	if job.Ticket != "" && job.IdempotencyKey != "" {
		return model.Fail("", model.RanNo, model.FailBadRequest, "a job takes a ticket or an idempotency key, not both")
	}
	sum, err := digest(job)
	if err != nil {
		return model.Fail("", model.RanNo, model.FailBadRequest, err.Error())
	}

	s := submission{
		id:       job.Ticket,
		job:      job,
		digest:   sum,
		deadline: newDeadline(i.options.Clock, i.options.Deadline(job)),
		keyed:    job.IdempotencyKey != "",
	}
	if s.id == "" && !s.keyed {
		return i.plain(ctx, s)
	}
	return i.keep(ctx, s)
}

// plain runs a job that nobody can join.
func (i *Intake) plain(ctx context.Context, s submission) model.Answer {
	i.mu.Lock()
	closed := i.closed
	i.mu.Unlock()
	if closed {
		return model.Fail("", model.RanNo, model.FailStopping, "the instance is stopping")
	}
	return i.run(ctx, i.store.BeginWithoutTicket(), s)
}

// keep settles a job that goes on when the context ends.
func (i *Intake) keep(ctx context.Context, s submission) model.Answer {
	answer, ok := i.detach(s.deadline, func(ctx context.Context) model.Answer {
		if s.id == "" {
			return i.claim(ctx, s)
		}
		return i.settle(ctx, s)
	})
	if !ok {
		return notThis(s.id, model.FailStopping, "the instance is stopping")
	}

	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		return maybe(s.id, ended(ctx), "the caller stopped waiting; the job goes on")
	}
}

// claim finds the id that the submission's key stands for.
func (i *Intake) claim(ctx context.Context, s submission) model.Answer {
	ids, err := i.store.Issue(1)
	if ticketKind(err) == ticket.KindHandedOver {
		return i.forwardMoved(ctx, s, i.options.Incarnation)
	}
	if err != nil {
		return retryAfter(notThis("", model.FailOverloaded, err.Error()), retryFullMillis)
	}

	id := ids[0]
	limited, cancel := context.WithDeadline(ctx, s.deadline.at)
	defer cancel()
	c, err := i.claimer.Claim(limited, s.job.Team, s.job.IdempotencyKey, s.digest, id)
	if err != nil {
		return i.unclaimed(limited, id, err)
	}
	if c.JobID != id {
		i.store.Release(id)
	}

	s.id = c.JobID
	return i.settle(ctx, s)
}

// unclaimed answers a submission whose claim failed. Unless another holds the
// key, the claim may have taken effect or do so later, so the id stays minted
// for the next submission with the key.
func (i *Intake) unclaimed(ctx context.Context, id string, err error) model.Answer {
	switch claimKind(err) {
	case claim.KindConflict:
		i.store.Release(id)
		return notThis("", model.FailKeyConflict, err.Error())
	case claim.KindContextEnded:
		return notThis("", ended(ctx), err.Error())
	case claim.KindClosed:
		return notThis("", model.FailStopping, err.Error())
	}
	reason := "the platform's table could not be asked about the key; a submission with a ticket needs no table: " + err.Error()
	return retryAfter(notThis("", model.FailStoreDown, reason), retryStoreMillis)
}

// settle runs or joins the job here if this instance holds its id, and else
// forwards it.
func (i *Intake) settle(ctx context.Context, s submission) model.Answer {
	id, err := ticket.Parse(s.id)
	if err != nil {
		return model.Fail(s.id, model.RanNo, model.FailUnknownID, err.Error())
	}
	if !i.store.Holds(id.Incarnation) {
		return i.forward(ctx, s, id.Incarnation)
	}

	e, first, err := i.store.Begin(s.id, s.digest)
	switch {
	case ticketKind(err) == ticket.KindHandedOver:
		return i.forwardMoved(ctx, s, id.Incarnation)
	case err != nil:
		return refused(s, err)
	case first:
		return i.run(ctx, e, s)
	}
	return join(ctx, e, s)
}

// refused answers a submission whose id can't be begun.
func refused(s submission, err error) model.Answer {
	switch ticketKind(err) {
	case ticket.KindUnknown:
		return model.Fail(s.id, model.RanNo, model.FailUnknownID, err.Error())
	case ticket.KindConflict:
		return notThis(s.id, model.FailKeyConflict, err.Error())
	case ticket.KindDropped:
		return notThis(s.id, model.FailKeyUsed, err.Error())
	case ticket.KindExpired:
		if s.keyed {
			return notThis(s.id, model.FailKeyUsed, "the key was used, and its answer is no longer kept")
		}
		return notThis(s.id, model.FailUnknownID, err.Error())
	}
	return notThis(s.id, model.FailInternal, err.Error())
}

func join(ctx context.Context, e *ticket.Entry, s submission) model.Answer {
	ctx, cancel := context.WithDeadline(ctx, s.deadline.at)
	defer cancel()

	answer, err := e.Wait(ctx)
	if err != nil {
		return maybe(e.ID(), ended(ctx), "the job did not end in time for this submission")
	}
	return answer
}

// run runs a job that was begun here and gives its answer to all who wait.
func (i *Intake) run(ctx context.Context, e *ticket.Entry, s submission) model.Answer {
	ctx, cancel := context.WithDeadline(ctx, s.deadline.at)
	defer cancel()
	e.OnCancel(cancel)

	answer := i.attempt(ctx, e.ID(), s)
	answer.JobID = e.ID()
	e.Finish(answer)
	return answer
}

func (i *Intake) attempt(ctx context.Context, id string, s submission) (answer model.Answer) {
	if ctx.Err() != nil {
		return model.Fail(id, model.RanNo, ended(ctx), "the job ended before its start")
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
