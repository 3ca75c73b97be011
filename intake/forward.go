package intake

import (
	"context"

	"foxtailmux/model"
)

// forward sends the submission to the holder of the incarnation's ids, once.
func (i *Intake) forward(ctx context.Context, s submission, incarnation string) model.Answer {
	peerID, ok := i.locate(ctx, incarnation, s.hops)
	if !ok {
		return notThis(s.id, model.FailIssuerLost, "the instance that minted the id can't be reached")
	}
	if s.deadline.passed() || ctx.Err() != nil {
		return notThis(s.id, model.FailDeadline, "the deadline passed before the submission was forwarded")
	}

	params := submitParams{
		ID:         s.id,
		Job:        s.job,
		Digest:     s.digest,
		LeftMillis: s.deadline.left().Milliseconds(),
		Hops:       s.hops + 1,
	}
	var answer model.Answer
	err := i.peers.Call(ctx, peerID, methodSubmit, params, &answer)
	switch {
	case err == nil && answer.Result != "":
		return answer
	case proveNotSent(err):
		return notThis(s.id, model.FailIssuerLost, err.Error())
	case err == nil:
		return maybe(s.id, model.FailInternal, "the peer's answer is empty")
	}
	return maybe(s.id, model.FailIssuerLost, err.Error())
}

// forwardMoved forwards along this instance's own hand-over, when that is done.
func (i *Intake) forwardMoved(ctx context.Context, s submission, incarnation string) model.Answer {
	select {
	case <-i.moved:
	case <-ctx.Done():
		return notThis(s.id, ended(ctx), "the hand-over did not end in time")
	}

	if _, ok := i.holders.of(incarnation); !ok {
		return notThis(s.id, model.FailStopping, "the instance is stopping and no other took over")
	}
	return i.forward(ctx, s, incarnation)
}
