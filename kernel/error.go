package kernel

import "fmt"

// Kind classifies an Error.
type Kind string

// KindUnknownPlugin: no plug-in of that name is registered. KindStart and KindStop: a
// component could not be started, or did not stop.
const (
	KindUnknownPlugin Kind = "unknownPlugin"
	KindStart         Kind = "start"
	KindStop          Kind = "stop"
)

// Error is the type of all errors that this package returns, alone or joined.
type Error struct {
	Op   string // failed operation
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("kernel: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
