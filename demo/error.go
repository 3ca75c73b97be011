package demo

import "fmt"

// Kind classifies an error of this package.
type Kind string

// The kinds of error.
const (
	KindStart Kind = "start" // a component did not start, or did not answer jobs in time
	KindStop  Kind = "stop"  // an instance did not stop in time
	KindCheck Kind = "check" // an answer or an event of the workers violates the contract
	KindEnded Kind = "ended" // the context ended before the demo, or the table was not printed
)

// Error is the error type of this package. Op names the operation that failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("demo: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
