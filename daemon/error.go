// Package daemon creates the components of an entry instance, connects them and runs them.
package daemon

import "fmt"

// Kind classifies an error of this package.
type Kind string

// KindSettings: the settings are invalid. KindStart: a port could not be opened or a
// component failed to start. KindStop: a component did not end in time.
const (
	KindSettings Kind = "settings"
	KindStart    Kind = "start"
	KindStop     Kind = "stop"
)

// Error is the error type of this package. Op names the operation that failed.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("daemon: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
