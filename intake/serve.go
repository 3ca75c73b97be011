package intake

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"foxtailmux/model"
	"foxtailmux/ticket"
)

// Methods that peers call.
const (
	methodSubmit = "job.submit"
	methodStatus = "job.status"
	methodCancel = "job.cancel"
	methodAdopt  = "ticket.adopt"
	methodHolder = "ticket.holder"
)

// submitParams is a forwarded submission. If ID is empty, the receiver claims the
// idempotency key of the job. Digest is computed where the caller sent the job, as
// the job's JSON text may change on the way. LeftMillis is the time that remains
// until the deadline, and Forwards counts how often the submission was forwarded.
type submitParams struct {
	ID         string    `json:"id,omitempty"`
	Job        model.Job `json:"job"`
	Digest     string    `json:"digest"`
	LeftMillis int64     `json:"leftMillis"`
	Forwards   int       `json:"hops"`
}

type queryParams struct {
	ID       string `json:"id"`
	Forwards int    `json:"hops"`
}

type queryResult struct {
	Status  model.JobStatus `json:"status"`
	Failure *model.Failure  `json:"failure,omitempty"`
}

// adoptParams offers a part of a handover. Target is the incarnation that is to
// adopt it: after a restart of the peer, the new incarnation at the same address
// does not know the parts that the previous one adopted.
type adoptParams struct {
	Target   string          `json:"target"`
	Handover ticket.Handover `json:"handover"`
}

type adoptResult struct {
	Adopted bool   `json:"adopted"`
	Reason  string `json:"reason,omitempty"`
}

// holderParams announces the holder of the ids of the incarnations. If Holder is
// empty, it queries the holder of one incarnation.
type holderParams struct {
	Incarnations []string `json:"incarnations"`
	Holder       string   `json:"holder,omitempty"`
}

type holderResult struct {
	Holder string `json:"holder,omitempty"`
}

func (i *Intake) register() {
	handle(i.peers, methodSubmit, i.serveSubmit)
	handle(i.peers, methodStatus, i.serveQuery(methodStatus))
	handle(i.peers, methodCancel, i.serveQuery(methodCancel))
	handle(i.peers, methodAdopt, i.serveAdopt)
	handle(i.peers, methodHolder, i.serveHolder)
}

// handle registers a handler that decodes the parameters of the method from JSON.
func handle[P, R any](peers Peers, method string, f func(ctx context.Context, p P) (R, error)) {
	peers.Handle(method, func(ctx context.Context, text json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(text, &params); err != nil {
			return nil, &Error{Op: method, Kind: model.FailBadRequest, Err: eris.Wrap(err, "decode the parameters")}
		}
		return f(ctx, params)
	})
}

func (i *Intake) serveSubmit(ctx context.Context, p submitParams) (model.Answer, error) {
	if p.ID == "" && p.Job.IdempotencyKey == "" {
		return model.Answer{}, &Error{Op: methodSubmit, Kind: model.FailBadRequest, Err: eris.New("neither an id nor a key")}
	}
	if p.Digest == "" {
		return model.Answer{}, &Error{Op: methodSubmit, Kind: model.FailBadRequest, Err: eris.New("no digest")}
	}

	s := submission{
		id:       p.ID,
		job:      p.Job,
		digest:   p.Digest,
		deadline: newDeadline(i.options.Clock, time.Duration(p.LeftMillis)*time.Millisecond),
		forwards: p.Forwards,
		hasKey:   p.Job.IdempotencyKey != "",
	}
	return i.runDetached(ctx, s), nil
}

func (i *Intake) serveQuery(method string) func(context.Context, queryParams) (queryResult, error) {
	return func(ctx context.Context, p queryParams) (queryResult, error) {
		status, err := i.query(ctx, method, p)
		if err != nil {
			failure := err.Failure()
			return queryResult{Failure: &failure}, nil
		}
		return queryResult{Status: status}, nil
	}
}

// serveAdopt adopts a part of a peer's handover.
func (i *Intake) serveAdopt(_ context.Context, p adoptParams) (adoptResult, error) {
	if p.Target != i.options.Incarnation {
		return adoptResult{Reason: "the hand-over is meant for another incarnation"}, nil
	}
	if err := i.store.Import(p.Handover); err != nil {
		return adoptResult{Reason: err.Error()}, nil
	}
	return adoptResult{Adopted: true}, nil
}

// serveHolder records an announced holder, or responds to a query for one.
func (i *Intake) serveHolder(_ context.Context, p holderParams) (holderResult, error) {
	if p.Holder != "" {
		for _, incarnation := range p.Incarnations {
			i.holders.set(incarnation, p.Holder)
		}
		return holderResult{Holder: p.Holder}, nil
	}

	if len(p.Incarnations) != 1 {
		return holderResult{}, &Error{Op: methodHolder, Kind: model.FailBadRequest, Err: eris.New("one incarnation is asked for at a time")}
	}
	if holder, ok := i.holders.lookup(p.Incarnations[0]); ok {
		return holderResult{Holder: holder}, nil
	}
	if i.store.Holds(p.Incarnations[0]) {
		return holderResult{Holder: i.options.Incarnation}, nil
	}
	return holderResult{}, nil
}
