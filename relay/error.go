// Package relay distributes the tasks of a job over this entry instance and its
// peers. Each submission of a task forwards it at most once, and a peer never
// forwards it on.
package relay

import "fmt"

// Kind classifies an error of this package.
type Kind string

// The kinds of error. KindUnconfirmed means that a task may or may not have been
// started, KindNotRun that it was not, KindBadCall that the parameters of a peer's
// request are malformed.
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
