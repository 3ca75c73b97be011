package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"github.com/sourcegraph/jsonrpc2"

	"foxtailmux/pause"
)

// Handler serves the requests of one method. Its context ends when the connection of
// the request is closed, and when the process was paused: requests that arrived on the
// connection may be long outdated then, so the connection is closed. The calling
// instance receives an error as Refused with CodeHandlerFailed, and a panic, or a result that
// can't be sent, as Unconfirmed.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// server serves the requests of one incoming connection.
type server struct {
	group *Group
	open  chan struct{} // one element for each request in progress

	mu       sync.Mutex
	ended    bool
	handlers conc.WaitGroup
}

// serve handles requests until the connection is closed.
func (g *Group) serve(ctx context.Context, c net.Conn) {
	ctx, cancel := g.options.PauseDetector.Guard(ctx)
	defer cancel()

	s := &server{group: g, open: make(chan struct{}, g.options.MaxOpenRequests)}
	// Twice the timeout of the dialling end, so that the dialling end is the first to close
	// an idle connection and writes no request to a closed one.
	idle := 2 * g.options.IdleTimeout
	rpc := jsonrpc2.NewConn(ctx, newStream(c, &g.options, idle), s, jsonrpc2.SetLogger(rpcLogger{g.options.Log}))
	<-rpc.DisconnectNotify()
	s.end()
}

// end refuses further requests and waits for those in progress.
func (s *server) end() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.handlers.Wait()
}

// start runs f in a goroutine, unless the connection is closed. The lock keeps a
// request that is read during end from starting after the wait.
func (s *server) start(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.handlers.Go(f)
	}
}

// Handle responds to pings directly, and starts a goroutine for other requests.
func (s *server) Handle(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif || pause.Check(ctx) != nil {
		return
	}
	if req.Method == pingMethod {
		self := s.group.options.Self
		_ = c.Reply(ctx, req.ID, identity{ID: self.ID, Incarnation: self.Incarnation, Clock: s.group.options.Clock()})
		return
	}

	handler := s.group.handler(req.Method)
	if handler == nil {
		refuse(ctx, c, req.ID, CodeMethodNotFound, "unknown method "+req.Method)
		return
	}
	ctx, err := withArrival(ctx, req, s.group.options.Clock)
	if err != nil {
		refuse(ctx, c, req.ID, CodeInvalidRequest, err.Error())
		return
	}

	select {
	case s.open <- struct{}{}:
	default:
		refuse(ctx, c, req.ID, CodeBusy, "too many requests in progress")
		return
	}
	s.start(func() {
		defer func() { <-s.open }()
		respond(ctx, c, req, handler)
	})
}

// respond runs the handler and sends its result.
func respond(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request, handler Handler) {
	result, err := run(ctx, req, handler)
	if ctx.Err() != nil {
		return // the connection is being closed, which ends the call as Unconfirmed
	}
	switch {
	case eris.Is(err, errPanicked):
		refuse(ctx, c, req.ID, CodeHandlerPanicked, err.Error())
		return
	case err != nil:
		refuse(ctx, c, req.ID, CodeHandlerFailed, err.Error())
		return
	}

	err = c.Reply(ctx, req.ID, result)
	if err == nil {
		return
	}
	if eris.Is(err, errFrameTooLarge) {
		refuse(ctx, c, req.ID, CodeResponseTooLarge, err.Error())
		return
	}
	// The result can't be encoded: nothing was written, so the connection stays usable. If
	// the write of the response failed instead, the connection is closed and the refusal
	// fails as well.
	refuse(ctx, c, req.ID, CodeResultInvalid, err.Error())
}

// errPanicked is wrapped by the error for a handler that panicked.
var errPanicked = eris.New("the handler panicked")

// run calls the handler and turns a panic into an error.
func run(ctx context.Context, req *jsonrpc2.Request, handler Handler) (result any, err error) {
	var params json.RawMessage
	if req.Params != nil {
		params, err = unwrap(*req.Params)
		if err != nil {
			return nil, err
		}
	}

	recovered := panics.Try(func() {
		result, err = handler(ctx, params)
	})
	if recovered != nil {
		return nil, eris.Wrapf(errPanicked, "%s: %v", req.Method, recovered.Value)
	}
	return result, err
}

func refuse(ctx context.Context, c *jsonrpc2.Conn, id jsonrpc2.ID, code int64, message string) {
	_ = c.ReplyWithError(ctx, id, &jsonrpc2.Error{Code: code, Message: message})
}
