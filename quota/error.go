// Package quota bounds what each team may hold open and start.
package quota

import (
	"fmt"
	"time"
)

// Kind classifies an error of this package.
type Kind string

// The kinds of error.
const (
	KindOpenJobs Kind = "openJobs"
	KindRate     Kind = "rate"
)

// Error is the error type of this package. RetryAfter is 0 where no time can
// be given.
type Error struct {
	Op         string
	Kind       Kind
	Err        error
	RetryAfter time.Duration
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("quota: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
