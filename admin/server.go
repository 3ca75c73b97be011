// Package admin serves the HTTP API for operators: health, metrics, the state dump, the
// configuration in force and administrative operations.
package admin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/recover"
	"github.com/rotisserie/eris"

	"foxtailmux/config"
)

const (
	maxBodyBytes = 1 << 20
	readTimeout  = 10 * time.Second
	writeTimeout = 30 * time.Second
	idleTimeout  = 60 * time.Second
	maxConns     = 256
)

// Operation handles POST requests to one path of the API. The body is valid JSON or empty;
// the result is encoded as JSON. An error leads to a response with status 422 and its text.
type Operation func(ctx context.Context, body json.RawMessage) (any, error)

// Options configure a Server. All functions may be called concurrently.
type Options struct {
	Addr        string                 // IP:port to listen on unless Listener is given
	Listener    net.Listener           // may be nil
	Version     func() *config.Version // in force; returns nil before the first one
	Status      func() config.Status   // of the configuration on this instance
	Ready       func() error           // returns why the instance is not ready, or nil
	State       func() any             // the state dump; must not block
	Metrics     http.Handler
	SetLogLevel func(level string) error
	Operations  map[string]Operation // by name; served at POST /v1/NAME
}

// Server is the HTTP server for operators. It is safe for concurrent use.
type Server struct {
	options  Options
	app      *fiber.App
	rejected atomic.Uint64
	done     chan struct{}

	mu       sync.Mutex
	listener net.Listener
	stopped  bool
}

// New returns a server that does not listen before Start.
func New(o Options) *Server {
	s := &Server{
		options: o,
		done:    make(chan struct{}),
		app: fiber.New(fiber.Config{
			BodyLimit:    maxBodyBytes,
			Concurrency:  maxConns,
			ReadTimeout:  readTimeout,
			WriteTimeout: writeTimeout,
			IdleTimeout:  idleTimeout,
			Immutable:    true,
			ErrorHandler: handleError,
		}),
	}
	s.app.Use(recover.New())
	s.routes()
	return s
}

// Start binds the address and serves requests in the background. A server can be started
// once; an error is of type *Error.
func (s *Server) Start(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.listener != nil || s.stopped {
		return &Error{Op: "start", Kind: KindState, Err: eris.New("the server was started or stopped before")}
	}
	listener, err := s.listen()
	if err != nil {
		return &Error{Op: "start", Kind: KindListen, Err: eris.Wrap(err, "bind")}
	}

	s.listener = listener
	go func() {
		defer close(s.done)
		_ = s.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
	}()
	return nil
}

func (s *Server) listen() (net.Listener, error) {
	if s.options.Listener != nil {
		return s.options.Listener, nil
	}
	return net.Listen("tcp", s.options.Addr)
}

// Stop closes the listener and waits for the requests in progress until the context ends. It
// may be called without Start; an error is of type *Error.
func (s *Server) Stop(ctx context.Context) error {
	if !s.markStopped() {
		return nil
	}

	if err := s.app.ShutdownWithContext(ctx); err != nil {
		return &Error{Op: "stop", Kind: KindStop, Err: eris.Wrap(err, "requests are in progress")}
	}

	// A shutdown before the first accept does not close the listener.
	_ = s.listener.Close()
	select {
	case <-s.done:
		return nil
	case <-ctx.Done():
		return &Error{Op: "stop", Kind: KindStop, Err: eris.Wrap(ctx.Err(), "the listener has not ended")}
	}
}

// markStopped marks the server as stopped and reports whether it has a listener to close.
func (s *Server) markStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.listener == nil && !s.stopped {
		close(s.done)
	}
	s.stopped = true
	return s.listener != nil
}

// Done returns a channel that is closed when the server has ended.
func (s *Server) Done() <-chan struct{} {
	return s.done
}

// Addr returns the bound address, IP:port, or "" before Start.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.listener == nil {
		return ""
	}
	return s.listener.Addr().String()
}

// Rejected returns the number of requests that were refused since they had no key or an
// unknown one.
func (s *Server) Rejected() uint64 {
	return s.rejected.Load()
}
