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

// Error is an error of this package: the operation that failed, the kind and the cause.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("fleet: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
