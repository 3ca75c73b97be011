package intake

import (
	"context"

	"github.com/rotisserie/eris"

	"foxtailmux/model"
	"foxtailmux/ticket"
)

// Status returns the state of a job. A job whose state is lost counts as
// failed, and may have run. An Error of kind FailUnknownID tells that nothing
// was submitted on the id.
func (i *Intake) Status(ctx context.Context, id string) (model.JobStatus, error) {
	status, err := i.query(ctx, methodStatus, queryParams{ID: id})
	if err == nil {
		return status, nil
	}
	switch err.Kind {
	case model.FailIssuerLost, model.FailKeyUsed, model.FailStopping:
		answer := model.Fail(id, model.RanMaybe, err.Kind, err.Err.Error())
		return model.JobStatus{JobID: id, Answer: &answer}, nil
	}
	return model.JobStatus{}, err
}

// Cancel stops a job, or keeps one that was not submitted yet from starting.
// An Error of kind FailMinterLost leaves open whether it did.
func (i *Intake) Cancel(ctx context.Context, id string) error {
	if _, err := i.query(ctx, methodCancel, queryParams{ID: id}); err != nil {
		return err
	}
	return nil
}

// query carries a status or cancel request out at the holder of the id.
func (i *Intake) query(ctx context.Context, method string, p queryParams) (model.JobStatus, *Error) {
	id, err := ticket.Parse(p.ID)
	if err != nil {
		return model.JobStatus{}, &Error{Op: method, Kind: model.FailUnknownID, Err: err}
	}
	if !i.store.Holds(id.Incarnation) {
		return i.forwardQuery(ctx, method, p, id.Incarnation)
	}

	status, err := i.queryHere(method, p.ID)
	switch ticketKind(err) {
	case "":
		return status, nil
	case ticket.KindHandedOver:
		return i.queryMoved(ctx, method, p, id.Incarnation)
	case ticket.KindExpired, ticket.KindDropped:
		return status, &Error{Op: method, Kind: model.FailKeyUsed, Err: err}
	}
	return status, &Error{Op: method, Kind: model.FailUnknownID, Err: err}
}

func (i *Intake) queryHere(method, id string) (model.JobStatus, error) {
	if method == methodCancel {
		return model.JobStatus{}, i.store.Cancel(id)
	}
	return i.store.Lookup(id)
}

func (i *Intake) queryMoved(ctx context.Context, method string, p queryParams, incarnation string) (model.JobStatus, *Error) {
	select {
	case <-i.moved:
		return i.forwardQuery(ctx, method, p, incarnation)
	case <-ctx.Done():
		return model.JobStatus{}, &Error{Op: method, Kind: model.FailStopping, Err: eris.Wrap(ctx.Err(), "the hand-over did not end in time")}
	}
}

func (i *Intake) forwardQuery(ctx context.Context, method string, p queryParams, incarnation string) (model.JobStatus, *Error) {
	peerID, ok := i.locate(ctx, incarnation, p.Hops)
	if !ok {
		err := eris.New("the instance that minted the id can't be reached")
		return model.JobStatus{}, &Error{Op: method, Kind: model.FailIssuerLost, Err: err}
	}

	var result queryResult
	p.Hops++
	if err := i.peers.Call(ctx, peerID, method, p, &result); err != nil {
		return model.JobStatus{}, &Error{Op: method, Kind: model.FailIssuerLost, Err: err}
	}
	if f := result.Failure; f != nil {
		return model.JobStatus{}, &Error{Op: method, Kind: f.Kind, Err: eris.New(f.Reason)}
	}
	return result.Status, nil
}
