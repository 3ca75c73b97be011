package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// maxSendAttempts is the number of connections on which a call is tried. A call goes
// to a second connection only if none of its bytes were written to the first one.
const maxSendAttempts = 2

// connSource returns the connection that a call is written to.
type connSource func(l *link, ctx context.Context) (*conn, error)

// Call sends a request to a peer and decodes the response into result, which
// may be nil. If params is a json.RawMessage, its bytes arrive unchanged. Every
// error is an *Error. The request is written at most once. A connection that was
// idle for ProbeInterval is probed before the request is written to it.
func (g *Group) Call(ctx context.Context, peerID, method string, params, result any) error {
	began := g.options.Clock()
	raw, err := encode(params)
	if err == nil {
		raw, err = wrap(raw)
	}
	if err != nil {
		return encodeError(method, err)
	}
	return g.call(ctx, began, (*link).probedConn, peerID, method, raw, result)
}

// CallWithoutProbe is Call without the probe of an idle connection. It is meant for
// heartbeats, which act as probes themselves and may get lost. The parameters must
// encode as a JSON object, and the order of its keys may change on the way.
func (g *Group) CallWithoutProbe(ctx context.Context, peerID, method string, params, result any) error {
	began := g.options.Clock()
	raw, err := encode(params)
	if err != nil {
		return encodeError(method, err)
	}
	return g.call(ctx, began, (*link).connWithoutProbe, peerID, method, raw, result)
}

func encodeError(method string, err error) error {
	return &Error{Op: method, Kind: NotSent, Err: eris.Wrap(err, "encode parameters")}
}

func (g *Group) call(ctx context.Context, began time.Duration, source connSource, peerID, method string, raw json.RawMessage, result any) error {
	l := g.link(peerID)
	if l == nil {
		return &Error{Op: method, Kind: UnknownPeer, Err: eris.Errorf("peer %q is unknown", peerID)}
	}

	select {
	case l.openCalls <- struct{}{}:
	default:
		return &Error{Op: method, Kind: NotSent, Err: errTooManyCalls}
	}
	defer func() { <-l.openCalls }()

	failure := l.call(ctx, began, source, method, raw, result)
	if failure == nil {
		return nil
	}
	failure.Op = fmt.Sprintf("%s to %s", method, peerID)
	return failure
}

func (l *link) call(ctx context.Context, began time.Duration, source connSource, method string, params json.RawMessage, result any) *Error {
	var failure *Error
	for range maxSendAttempts {
		c, err := source(l, ctx)
		if err != nil {
			return &Error{Kind: NotSent, Err: err}
		}

		failure = c.call(ctx, began, method, params, result)
		if failure == nil || failure.Sent() || !c.closed() {
			return failure
		}
	}
	return failure
}
