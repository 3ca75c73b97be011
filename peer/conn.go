package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
)

// pingMethod is the method that probes a connection. Its response identifies the
// instance at the other end.
const pingMethod = "peer.ping"

// identity is the response to a ping.
type identity struct {
	ID          string        `json:"id"`
	Incarnation string        `json:"incarnation"`
	Clock       time.Duration `json:"clock,omitempty"` // Options.Clock
}

// conn is one outgoing connection to a peer.
type conn struct {
	stream *stream
	rpc    *jsonrpc2.Conn
	lastID atomic.Uint64
	open   atomic.Int64 // calls that wait for a response
	offset atomic.Pointer[clockOffset]
}

func newConn(ctx context.Context, c net.Conn, o *Options) *conn {
	s := newStream(c, o, o.IdleTimeout)
	rpc := jsonrpc2.NewConn(ctx, s, refuseAll{}, jsonrpc2.OnSend(s.onSend), jsonrpc2.SetLogger(rpcLogger{o.Log}))
	return &conn{stream: s, rpc: rpc}
}

// refuseAll refuses all requests that come in on an outgoing connection: a peer sends
// its requests on connections that it has opened itself.
type refuseAll struct{}

// Handle refuses the request.
func (refuseAll) Handle(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		return
	}
	_ = c.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: CodeMethodNotFound, Message: "no requests on this connection"})
}

type rpcLogger struct {
	log Logger
}

// Printf logs a message of the jsonrpc2 library at debug level: the library reports each
// connection that the other end closes, and calls on such a connection return an error
// anyway.
func (l rpcLogger) Printf(format string, v ...any) {
	l.log.Debug().Msgf(strings.TrimSpace(format), v...)
}

func (c *conn) closed() bool {
	select {
	case <-c.rpc.DisconnectNotify():
		return true
	default:
		return false
	}
}

// usable reports whether the connection is open and has received bytes within the
// last ProbeInterval, so that it needs no probe.
func (c *conn) usable() bool {
	return !c.closed() && c.stream.idleTime() < c.stream.options.ProbeInterval
}

// call sends one request and waits for its response. The call began at a time of the own clock.
func (c *conn) call(ctx context.Context, began time.Duration, method string, params json.RawMessage, result any) *Error {
	c.open.Add(1)
	defer c.open.Add(-1)

	id := jsonrpc2.ID{Num: c.lastID.Add(1)}
	w := &requestWrite{ctx: ctx}
	c.stream.register(id, w)
	defer c.stream.unregister(id)

	waiter, err := c.rpc.DispatchCall(ctx, method, params, append(c.meta(began), jsonrpc2.PickID(id))...)
	if err == nil {
		err = waiter.Wait(ctx, result)
	}
	if err == nil {
		return nil
	}

	failure := classify(method, w, err)
	if failure.Kind == NotSent && !keepsConnection(err) {
		c.close()
	}
	return failure
}

// keepsConnection reports whether a request was not written for a reason that does
// not concern the connection, so that the connection stays open.
func keepsConnection(err error) bool {
	return eris.Is(err, errCallEnded) || eris.Is(err, errFrameTooLarge)
}

func classify(op string, w *requestWrite, err error) *Error {
	var response *jsonrpc2.Error
	if errors.As(err, &response) {
		kind := Refused
		switch response.Code {
		case CodeHandlerPanicked, CodeResponseTooLarge, CodeResultInvalid:
			kind = Unconfirmed
		}
		return &Error{Op: op, Kind: kind, Code: response.Code, Err: eris.New(response.Message)}
	}
	if !w.mayBeSent.Load() {
		return &Error{Op: op, Kind: NotSent, Err: err}
	}
	return &Error{Op: op, Kind: Unconfirmed, Err: err}
}

// errSlowPing is the error for a ping that took longer than ProbeTimeout by a clock that counts suspensions.
var errSlowPing = eris.New("the response to the ping was late")

// ping probes the connection, reads the clock of the other end and returns its identity.
func (c *conn) ping(ctx context.Context) (identity, error) {
	o := c.stream.options
	ctx, cancel := context.WithTimeout(ctx, o.ProbeTimeout)
	defer cancel()

	var id identity
	began := o.Clock()
	if err := c.call(ctx, began, pingMethod, json.RawMessage("null"), &id); err != nil {
		return identity{}, err
	}
	now := o.Clock()
	if now-began > o.ProbeTimeout {
		return identity{}, errSlowPing
	}
	if id.Clock > 0 {
		c.recordClock(newClockOffset(id.Clock, began, now))
	}
	return id, nil
}

func (c *conn) close() {
	_ = c.rpc.Close()
}
