package peer

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Kind classifies why a call failed.
type Kind string

// NotSent: no byte of the request was written, so the peer has not handled it.
// Unconfirmed: the request may have been handled, but no result came back. Refused: the
// peer returned an error. UnknownPeer: no address of the peer is known.
const (
	NotSent     Kind = "notSent"
	Unconfirmed Kind = "unknown"
	Refused     Kind = "refused"
	UnknownPeer Kind = "noPeer"
)

// JSON-RPC error codes of failed calls. A call that was refused with CodeBusy or
// CodeMethodNotFound did not reach a handler. A call that ends with CodeHandlerPanicked,
// CodeResponseTooLarge or CodeResultInvalid is not refused, but Unconfirmed: its handler has
// done its work or a part of it.
const (
	CodeBusy             int64 = -32000 // MaxOpenRequests are in progress on the connection
	CodeHandlerFailed    int64 = -32001 // the handler returned an error, or the parameters can't be converted
	CodeResponseTooLarge int64 = -32002 // the result exceeds MaxFrame
	CodeHandlerPanicked  int64 = -32003
	CodeResultInvalid    int64 = -32004 // the result can't be converted
	CodeInvalidRequest   int64 = -32600
	CodeMethodNotFound   int64 = -32601
)

// Error is the type of all errors of the exported methods. Code is set if the peer responded.
type Error struct {
	Op   string
	Kind Kind
	Code int64
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("peer: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Sent reports whether any byte of the request may have reached the peer.
func (e *Error) Sent() bool {
	return e.Kind != NotSent && e.Kind != UnknownPeer
}

// Causes of an Error.
var (
	errFrameTooLarge = eris.New("frame exceeds the limit")
	errCallEnded     = eris.New("the call ended before its request was written")
	errClosed        = eris.New("closed")
	errTooManyCalls  = eris.New("too many calls to the peer are open")
)
