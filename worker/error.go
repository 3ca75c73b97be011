// Package worker talks to the workers that run tasks and keeps what an entry
// instance knows of each: its slots, its connections and its health.
package worker

import (
	"errors"
	"fmt"
)

// Kind classifies an error of this package by what is known of the request.
type Kind string

// KindNotSent proves that no byte of the request left this process. After
// KindUnknown the worker may have received it.
const (
	KindNotSent Kind = "notSent"
	KindUnknown Kind = "unknown"
)

// Error is the error type of this package.
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

// NotSent reports whether err proves that the request never left.
func NotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == KindNotSent
}
