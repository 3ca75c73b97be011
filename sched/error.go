// Package sched queues the tasks of one entry instance and starts them on its
// workers as slots become free.
package sched

import "fmt"

// Kind classifies an error of this package.
type Kind string

// The kinds of error. KindTooLate means that the job can't meet its deadline,
// KindEnded that the context ended first, KindPlugin that the configuration names
// an unknown placement policy or queue order.
const (
	KindQueueFull Kind = "queueFull"
	KindTooLate   Kind = "tooLate"
	KindNoWorker  Kind = "noWorker"
	KindEnded     Kind = "ended"
	KindPlugin    Kind = "plugin"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("sched: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
