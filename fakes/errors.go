package fakes

import "fmt"

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	KindListen   Kind = "listen"   // an address can't be bound
	KindRequest  Kind = "request"  // a request or an event can't be decoded
	KindRegister Kind = "register" // the platform doesn't confirm a registration
)

// Error is the error type of this package. Op names the operation that failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("fakes: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
