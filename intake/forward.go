package intake

import (
	"context"

	"foxtailmux/model"
)

// forward sends the submission once to the instance that holds the ids of the
// incarnation.
func (i *Intake) forward(ctx context.Context, s submission, incarnation string) model.Answer {
	peerID, ok := i.locate(ctx, incarnation, s.forwards)
	if !ok {
		return attemptNotRun(s.id, model.FailIssuerLost, "the instance that minted the id can't be reached")
	}
	if s.deadline.passed() || ctx.Err() != nil {
		return attemptNotRun(s.id, model.FailDeadline, "the deadline passed before the submission was forwarded")
	}

	params := submitParams{
		ID:         s.id,
		Job:        s.job,
		Digest:     s.digest,
		LeftMillis: s.deadline.left().Milliseconds(),
		Forwards:   s.forwards + 1,
	}
	var answer model.Answer
	err := i.peers.Call(ctx, peerID, methodSubmit, params, &answer)
	switch {
	case err == nil && answer.Result != "":
		return answer
	case provesNotSent(err):
		return attemptNotRun(s.id, model.FailIssuerLost, err.Error())
	case err == nil:
		return attemptMayHaveRun(s.id, model.FailInternal, "the peer's answer is empty")
	}
	return attemptMayHaveRun(s.id, model.FailIssuerLost, err.Error())
}

// forwardToAdopter waits until this instance has handed its ids over, and forwards
// the submission to the instance that adopted them.
func (i *Intake) forwardToAdopter(ctx context.Context, s submission, incarnation string) model.Answer {
	select {
	case <-i.handoverEnded:
	case <-ctx.Done():
		return attemptNotRun(s.id, contextFailureKind(ctx), "the hand-over did not end in time")
	}

	if _, ok := i.holders.lookup(incarnation); !ok {
		return attemptNotRun(s.id, model.FailStopping, "the instance is stopping and no other took over")
	}
	return i.forward(ctx, s, incarnation)
}
