package fakes

import "fmt"

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	KindListen   Kind = "listen"
	KindRequest  Kind = "request"
	KindRegister Kind = "register"
)

// Error is the error type of this package.
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
