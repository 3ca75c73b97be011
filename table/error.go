package table

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Kind classifies how a call to the platform failed.
type Kind string

// The kinds of error. KindNotSent: no byte of the request left this process.
// KindUnknown: the outcome is unknown; a write may have taken effect, and a read
// returned no valid response. KindRefused: the platform responded with an error
// status and did not execute the request.
const (
	KindNotSent Kind = "notSent"
	KindUnknown Kind = "unknown"
	KindRefused Kind = "refused"
)

// ErrNotFound is in the error chain if an object does not exist.
var ErrNotFound = eris.New("object does not exist")

// Error is the error type of all calls of this package. Op names the call.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the call, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("table: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
