// Package worker holds the HTTP client by which an entry instance starts tasks on a worker,
// and the state that the instance keeps of each worker: its slots, its reserved resources
// and its health.
package worker

import (
	"errors"
	"fmt"
)

// Kind classifies an error by whether the worker may have received the request.
type Kind string

// KindNotSent: no byte of the request was written, so it can safely be sent to another
// worker. KindUnknown: the worker may have received the request.
const (
	KindNotSent Kind = "notSent"
	KindUnknown Kind = "unknown"
)

// Error is the error type of this package. Op names the operation that failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("worker: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotSent reports whether err proves that no byte of the request was written.
func NotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == KindNotSent
}
