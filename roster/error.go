// Package roster keeps the scheduler's list of workers up to date: it polls the
// platform's list of instances, and it probes workers for whether they are
// leaving, since the list lags behind.
package roster

import "fmt"

// Kind classifies an error of this package.
type Kind string

// The kinds of error. KindEmpty means that the platform listed no workers although
// its previous list had some. KindList is not used.
const (
	KindList  Kind = "list"
	KindEmpty Kind = "empty"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("roster: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
