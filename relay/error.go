// Package relay spreads the tasks of a job over this instance and its peers.
// A task is forwarded at most once and never onwards.
package relay

import "fmt"

// Kind classifies an error of this package.
type Kind string

// The kinds of error.
const (
	KindUnconfirmed Kind = "unknown"
	KindNotRun      Kind = "notRun"
	KindBadCall     Kind = "badCall"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("relay: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
