package intake

import (
	"errors"

	"foxtailmux/model"
	"foxtailmux/ticket"
)

// Kind classifies an Error by the kind of failure that the caller receives.
type Kind = model.FailureKind

// Error is the error type of this package. Op names the failed operation.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return "intake " + e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Failure returns the failure that the caller receives.
func (e *Error) Failure() model.Failure {
	return model.Failure{Kind: e.Kind, Reason: e.Err.Error()}
}

// callError is an error of a call to a peer. Sent reports whether any part of
// the request may have reached the peer.
type callError interface {
	error
	Sent() bool
}

// provesNotSent reports whether the error proves that the peer never received the
// call.
func provesNotSent(err error) bool {
	var e callError
	return errors.As(err, &e) && !e.Sent()
}

func ticketErrorKind(err error) ticket.Kind {
	var e *ticket.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
