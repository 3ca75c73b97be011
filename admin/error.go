package admin

import "fmt"

// Kind classifies the errors of this package.
type Kind string

// The kinds of error. KindListen is an address that could not be bound.
// KindState is a server that was started twice. KindStop is a server that
// did not end in time.
const (
	KindListen Kind = "listen"
	KindState  Kind = "state"
	KindStop   Kind = "stop"
)

// Error is the error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("admin: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
