package fleet

import "fmt"

// Kind classifies an error of this package.
type Kind string

// The kinds of error.
const (
	KindSettings Kind = "settings"
	KindStart    Kind = "start"
	KindStop     Kind = "stop"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("fleet: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
