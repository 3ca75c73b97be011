package demo

import "fmt"

// Kind classifies an error of this package.
type Kind string

// The kinds of error.
const (
	KindStart Kind = "start" // a part of the demo did not start or serve
	KindStop  Kind = "stop"  // a graceful shutdown did not end
	KindCheck Kind = "check" // an answer or the workers' events break a rule
	KindEnded Kind = "ended" // the context ended first
)

// Error is the error type of this package.
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
