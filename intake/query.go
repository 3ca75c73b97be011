package intake

import (
	"context"

	"github.com/rotisserie/eris"

	"foxtailmux/model"
	"foxtailmux/ticket"
)

// Status returns the state of a job. A job whose state is no longer kept, or whose
// holder can't be reached, is reported as failed, with Ran "maybe". An *Error of kind
// model.FailUnknownID means that no job was submitted on the id.
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

// Cancel stops a job. If no job was submitted on the id yet, a later submission on
// it will not start one. After an *Error of kind model.FailIssuerLost the job may
// or may not be cancelled.
func (i *Intake) Cancel(ctx context.Context, id string) error {
	if _, err := i.query(ctx, methodCancel, queryParams{ID: id}); err != nil {
		return err
	}
	return nil
}

// query executes a status or cancel request here if this instance holds the id,
// and else forwards it to the holder.
func (i *Intake) query(ctx context.Context, method string, p queryParams) (model.JobStatus, *Error) {
	id, err := ticket.Parse(p.ID)
	if err != nil {
		return model.JobStatus{}, &Error{Op: method, Kind: model.FailUnknownID, Err: err}
	}
	if !i.store.Holds(id.Incarnation) {
		return i.forwardQuery(ctx, method, p, id.Incarnation)
	}

	status, err := i.queryLocal(method, p.ID)
	switch ticketErrorKind(err) {
	case "":
		return status, nil
	case ticket.KindHandedOver:
		return i.queryAdopter(ctx, method, p, id.Incarnation)
	case ticket.KindExpired, ticket.KindDropped:
		return status, &Error{Op: method, Kind: model.FailKeyUsed, Err: err}
	}
	return status, &Error{Op: method, Kind: model.FailUnknownID, Err: err}
}

func (i *Intake) queryLocal(method, id string) (model.JobStatus, error) {
	if method == methodCancel {
		return model.JobStatus{}, i.store.Cancel(id)
	}
	return i.store.Lookup(id)
}

// queryAdopter waits until this instance has handed its ids over, and forwards the
// request to the instance that adopted them.
func (i *Intake) queryAdopter(ctx context.Context, method string, p queryParams, incarnation string) (model.JobStatus, *Error) {
	select {
	case <-i.handoverEnded:
		return i.forwardQuery(ctx, method, p, incarnation)
	case <-ctx.Done():
		return model.JobStatus{}, &Error{Op: method, Kind: model.FailStopping, Err: eris.Wrap(ctx.Err(), "the hand-over did not end in time")}
	}
}

func (i *Intake) forwardQuery(ctx context.Context, method string, p queryParams, incarnation string) (model.JobStatus, *Error) {
	peerID, ok := i.locate(ctx, incarnation, p.Forwards)
	if !ok {
		err := eris.New("the instance that minted the id can't be reached")
		return model.JobStatus{}, &Error{Op: method, Kind: model.FailIssuerLost, Err: err}
	}

	var result queryResult
	p.Forwards++
	if err := i.peers.Call(ctx, peerID, method, p, &result); err != nil {
		return model.JobStatus{}, &Error{Op: method, Kind: model.FailIssuerLost, Err: err}
	}
	if f := result.Failure; f != nil {
		return model.JobStatus{}, &Error{Op: method, Kind: f.Kind, Err: eris.New(f.Reason)}
	}
	return result.Status, nil
}
