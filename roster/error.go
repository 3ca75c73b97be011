// Package roster keeps the workers of the scheduler in step with the
// platform's list of instances and with what the workers say themselves.
package roster

import "fmt"

// Kind classifies an error of this package.
type Kind string

// The kinds of error.
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
