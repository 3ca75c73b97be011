package member

import "fmt"

// Kind classifies why an operation failed.
type Kind string

// The kinds of failure. KindInvalid: a message or an option is malformed or out of
// range. KindUnreachable: a peer could not be reached or did not respond, also if the
// context ended first. KindTimeout is not used.
const (
	KindInvalid     Kind = "invalid"
	KindUnreachable Kind = "unreached"
	KindTimeout     Kind = "timeout"
)

// Error is the error type of this package. Op names the failed operation.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("member: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}
