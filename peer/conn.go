package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/jsonrpc2"
)

// pingMethod proves that a connection is alive and tells who answers on it.
const pingMethod = "peer.ping"

// identity is the answer to a ping.
type identity struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
}

// conn is one outgoing connection to a peer.
type conn struct {
	stream *stream
	rpc    *jsonrpc2.Conn
	lastID atomic.Uint64
	open   atomic.Int64 // calls that wait for an answer
}

func newConn(ctx context.Context, c net.Conn, o *Options, peerID string) *conn {
	s := newStream(c, o, o.IdleTimeout)
	s.peer = peerID
	rpc := jsonrpc2.NewConn(ctx, s, refuseAll{}, jsonrpc2.OnSend(s.onSend), jsonrpc2.SetLogger(rpcLogger{o.Log}))
	return &conn{stream: s, rpc: rpc}
}

// refuseAll answers requests on outgoing connections, which carry none.
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

// Printf logs a message of the jsonrpc2 library. It reports each connection
// that the other end closed, and a call on it fails with an error of its own.
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

// usable reports whether the connection spoke lately.
func (c *conn) usable() bool {
	return !c.closed() && c.stream.silence() < c.stream.options.ProbeInterval
}

// call sends one request and waits for its answer.
func (c *conn) call(ctx context.Context, method string, params json.RawMessage, result any) *Error {
	c.open.Add(1)
	defer c.open.Add(-1)

	id := jsonrpc2.ID{Num: c.lastID.Add(1)}
	a := &attempt{ctx: ctx}
	c.stream.register(id, a)
	defer c.stream.forget(id)

	waiter, err := c.rpc.DispatchCall(ctx, method, params, jsonrpc2.PickID(id))
	if err == nil {
		err = waiter.Wait(ctx, result)
	}
	if err == nil {
		return nil
	}

	failure := classify(method, a, err)
	if failure.Kind == NotSent && !keepsConnection(err) {
		c.close()
	}
	return failure
}

// keepsConnection reports whether a request that was not written says nothing
// about the connection.
func keepsConnection(err error) bool {
	return eris.Is(err, errExpired) || eris.Is(err, errFrameTooLarge)
}

func classify(op string, a *attempt, err error) *Error {
	var answer *jsonrpc2.Error
	if errors.As(err, &answer) {
		if answer.Code == CodeHandlerPanicked {
			return &Error{Op: op, Kind: Unconfirmed, Code: answer.Code, Err: eris.New(answer.Message)}
		}
		return &Error{Op: op, Kind: Refused, Code: answer.Code, Err: eris.New(answer.Message)}
	}
	if !a.begun.Load() {
		return &Error{Op: op, Kind: NotSent, Err: err}
	}
	return &Error{Op: op, Kind: Unconfirmed, Err: err}
}

// ping asks the other end who it is.
func (c *conn) ping(ctx context.Context) (identity, error) {
	ctx, cancel := context.WithTimeout(ctx, c.stream.options.ProbeTimeout)
	defer cancel()

	var id identity
	if err := c.call(ctx, pingMethod, json.RawMessage("null"), &id); err != nil {
		return identity{}, err
	}
	return id, nil
}

func (c *conn) close() {
	_ = c.rpc.Close()
}
