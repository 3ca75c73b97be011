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

// Handler answers one method. Its context ends with the connection that the
// request came on, and with a pause of the process: the connection then closes,
// since what came on it may have waited for long. An error reaches the
// caller as Refused with CodeHandlerFailed, a panic as Unconfirmed with CodeHandlerPanicked.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// server answers the requests of one incoming connection.
type server struct {
	group *Group
	slots chan struct{} // one for each request in progress

	mu       sync.Mutex
	ended    bool
	handlers conc.WaitGroup
}

// serve answers requests until the connection ends.
func (g *Group) serve(ctx context.Context, c net.Conn) {
	ctx, cancel := g.options.PauseDetector.Guard(ctx)
	defer cancel()

	s := &server{group: g, slots: make(chan struct{}, g.options.MaxOpenRequests)}
	// The dialling end closes idle connections first.
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

// start runs f unless the connection has ended. The lock keeps a request that
// is read during end from outliving it.
func (s *server) start(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.handlers.Go(f)
	}
}

// Handle answers pings at once and starts a goroutine for other requests.
func (s *server) Handle(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif || pause.Check(ctx) != nil {
		return
	}
	if req.Method == pingMethod {
		self := s.group.options.Self
		_ = c.Reply(ctx, req.ID, identity{ID: self.ID, Incarnation: self.Incarnation})
		return
	}

	handler := s.group.handler(req.Method)
	if handler == nil {
		refuse(ctx, c, req.ID, CodeMethodNotFound, "unknown method "+req.Method)
		return
	}

	select {
	case s.slots <- struct{}{}:
	default:
		refuse(ctx, c, req.ID, CodeBusy, "too many requests in progress")
		return
	}
	s.start(func() {
		defer func() { <-s.slots }()
		answer(ctx, c, req, handler)
	})
}

func answer(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request, handler Handler) {
	result, err := run(ctx, req, handler)
	if ctx.Err() != nil {
		return // The connection is closing; its end leaves the call unknown.
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
	// A result that can't be encoded leaves the connection intact.
	refuse(ctx, c, req.ID, CodeHandlerFailed, err.Error())
}

// errPanicked is in the chain of errors of handlers that panicked.
var errPanicked = eris.New("the handler panicked")

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
