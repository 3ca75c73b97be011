// Package peer carries JSON-RPC 2.0 calls between entry instances over TCP.
// Each instance opens a connection to every peer that it calls, and serves
// requests on the connections that it accepts. A request is written at most once,
// and the error of a failed call reports whether the peer may have received it.
package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// Group is the RPC endpoint of one entry instance: a server, and a client for each peer.
// It is safe for concurrent use.
type Group struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   conc.WaitGroup
	done    chan struct{}

	mu       sync.Mutex
	listener net.Listener
	handlers map[string]Handler // by method
	links    map[string]*link   // by id of the peer
	closed   bool
}

// New returns a Group. It can call peers at once, and serves requests after Start.
func New(o Options) *Group {
	ctx, cancel := context.WithCancel(context.Background())
	return &Group{
		options:  o.withDefaults(),
		ctx:      ctx,
		cancel:   cancel,
		done:     make(chan struct{}),
		handlers: map[string]Handler{},
		links:    map[string]*link{},
	}
}

// Handle registers the handler of a method, and replaces an earlier one.
func (g *Group) Handle(method string, handler func(ctx context.Context, params json.RawMessage) (any, error)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.handlers[method] = handler
}

// Start listens and accepts connections. Every error is an *Error.
func (g *Group) Start() error {
	listener, err := g.options.Listen(g.options.ListenAddr)
	if err != nil {
		return &Error{Op: "listen", Kind: NotSent, Err: eris.Wrapf(err, "listen on %s", g.options.ListenAddr)}
	}

	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		_ = listener.Close()
		return &Error{Op: "start", Kind: NotSent, Err: errClosed}
	}
	g.listener = listener
	g.tasks.Go(func() { g.options.PauseDetector.Run(g.ctx) })
	g.tasks.Go(func() { g.accept(listener) })
	return nil
}

// Addr returns the address that the group listens on, or "" before Start.
func (g *Group) Addr() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.listener == nil {
		return ""
	}
	return g.listener.Addr().String()
}

// acceptRetryDelay keeps the accept loop from spinning while the listener fails.
const acceptRetryDelay = 10 * time.Millisecond

func (g *Group) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) || g.ctx.Err() != nil {
			closeIfOpen(c)
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		g.tasks.Go(func() { g.serve(g.ctx, c) })
	}
}

func closeIfOpen(c net.Conn) {
	if c != nil {
		_ = c.Close()
	}
}

// SetPeer sets the address of a peer. If the address changes, the connection to the
// old one is closed. On connect, the instance at the address has to identify itself
// with the id of the peer; an id that equals the address accepts any instance there.
func (g *Group) SetPeer(id, addr string) {
	g.mu.Lock()
	defer g.mu.Unlock()

	old := g.links[id]
	if g.closed || old != nil && old.addr == addr {
		return
	}
	if old != nil {
		old.cancel()
	}

	ctx, cancel := context.WithCancel(g.ctx)
	l := newLink(id, addr, &g.options, cancel)
	g.links[id] = l
	g.tasks.Go(func() { l.run(ctx) })
}

// HasPeer reports whether the address of a peer is known.
func (g *Group) HasPeer(id string) bool { return g.link(id) != nil }

// RemovePeer removes a peer and closes the connection to it.
func (g *Group) RemovePeer(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if l := g.links[id]; l != nil {
		l.cancel()
		delete(g.links, id)
	}
}

// Close closes all connections; calls that wait for a response fail as Unconfirmed. It
// waits for the handlers in progress, and returns an *Error if ctx ends before them.
func (g *Group) Close(ctx context.Context) error {
	g.mu.Lock()
	first := !g.closed
	g.closed = true
	listener := g.listener
	g.mu.Unlock()

	if first {
		g.cancel()
		if listener != nil {
			_ = listener.Close()
		}
		go g.finish()
	}

	select {
	case <-g.done:
		return nil
	case <-ctx.Done():
		return &Error{Op: "close", Kind: Unconfirmed, Err: ctx.Err()}
	}
}

func (g *Group) finish() {
	defer close(g.done)
	g.tasks.Wait()
}

// Done is closed when Close was called and every goroutine of the group has ended.
func (g *Group) Done() <-chan struct{} {
	return g.done
}

func (g *Group) handler(method string) Handler {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.handlers[method]
}

func (g *Group) link(id string) *link {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.links[id]
}
