package peer

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Kind classifies why a call failed.
type Kind string

// The kinds of failure. NotSent promises that no byte of the request reached
// the connection. Unknown means that the request may have been handled.
// Refused means that the peer answered with an error. NoPeer means that no
// address is known for the peer.
const (
	NotSent Kind = "notSent"
	Unknown Kind = "unknown"
	Refused Kind = "refused"
	NoPeer  Kind = "noPeer"
)

// Codes of refused calls. A call that was refused with CodeBusy or
// CodeNoMethod did not reach a handler.
const (
	CodeBusy       int64 = -32000
	CodeFailed     int64 = -32001
	CodePanicked   int64 = -32003
	CodeTooLarge   int64 = -32002
	CodeBadRequest int64 = -32600
	CodeNoMethod   int64 = -32601
)

// Error is returned by Call and Start. Code is set for Refused, and for the panic of a
// handler, which is Unknown: it may have done a part of its work.
type Error struct {
	Op   string
	Kind Kind
	Code int64
	Err  error
}

// Error describes the failure.
func (e *Error) Error() string {
	return fmt.Sprintf("peer: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Sent reports whether any part of the request may have reached the peer.
func (e *Error) Sent() bool {
	return e.Kind != NotSent && e.Kind != NoPeer
}

// Causes of errors within the package.
var (
	errFrameTooLarge = eris.New("frame exceeds the limit")
	errExpired       = eris.New("the call ended before it was written")
	errClosed        = eris.New("closed")
	errTooManyCalls  = eris.New("too many calls to the peer are open")
)
