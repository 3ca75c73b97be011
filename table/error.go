package table

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Kind classifies how a call to the platform failed.
type Kind string

// The kinds of error. KindNotSent promises that no byte of the request left
// this process. KindUnknown promises nothing: a write may have taken effect,
// and a read gave no usable answer. KindRefused means that the platform
// answered with an error status and did not carry the request out.
const (
	KindNotSent Kind = "notSent"
	KindUnknown Kind = "unknown"
	KindRefused Kind = "refused"
)

// ErrNotFound is in the chain of the error for an object that does not exist.
var ErrNotFound = eris.New("object does not exist")

// Error is the error of every call of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("table: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
