package peer

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Kind classifies why a call failed.
type Kind string

// The kinds of failure. NotSent promises that no byte of the request reached
// the connection. Unconfirmed means that the request may have been handled.
// Refused means that the peer answered with an error. UnknownPeer means that no
// address is known for the peer.
const (
	NotSent     Kind = "notSent"
	Unconfirmed Kind = "unknown"
	Refused     Kind = "refused"
	UnknownPeer Kind = "noPeer"
)

// Codes of refused calls. A call that was refused with CodeBusy or
// CodeMethodNotFound did not reach a handler.
const (
	CodeBusy             int64 = -32000
	CodeHandlerFailed    int64 = -32001
	CodeHandlerPanicked  int64 = -32003
	CodeResponseTooLarge int64 = -32002
	CodeInvalidRequest   int64 = -32600
	CodeMethodNotFound   int64 = -32601
)

// Error is returned by Call and Start. Code is set for Refused, and for the panic of a
// handler, which is Unconfirmed: it may have done a part of its work.
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
	return e.Kind != NotSent && e.Kind != UnknownPeer
}

// Causes of errors within the package.
var (
	errFrameTooLarge = eris.New("frame exceeds the limit")
	errExpired       = eris.New("the call ended before it was written")
	errClosed        = eris.New("closed")
	errTooManyCalls  = eris.New("too many calls to the peer are open")
)
