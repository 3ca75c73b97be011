package admin

import "fmt"

// Kind classifies the errors of this package.
type Kind string

// KindListen: the address could not be bound. KindState: the server was started or stopped
// before. KindStop: the server did not end in time.
const (
	KindListen Kind = "listen"
	KindState  Kind = "state"
	KindStop   Kind = "stop"
)

// Error is the error type of this package. Op names the operation that failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("admin: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
