// Package quota limits the open jobs and the rate of task starts of each team.
package quota

import (
	"fmt"
	"time"
)

// Kind classifies an error of this package.
type Kind string

// The kinds of error: too many open jobs, or too many task starts per second.
const (
	KindOpenJobs Kind = "openJobs"
	KindRate     Kind = "rate"
)

// Error is the error type of this package. RetryAfter is the time after which the
// quota admits the job; 0 means that it can't be predicted.
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
