// Package entry serves the HTTP interface through which callers submit jobs. Server
// is the one of this project; QueueServer is the one of a platform whose callers
// address queues by host and path.
package entry

import "fmt"

// Kind classifies an error of this package.
type Kind string

// The kinds of error.
const (
	KindServe Kind = "serve" // of a listener or a connection
)

// Error is the error type of this package. Op names the failed operation.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("entry: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
