package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc/panics"

	"foxtailmux/home"
	"foxtailmux/model"
)

// Protocol is how the callers of a users' platform speak. An error of
// DecodeBatch that has a method NotServed which returns true is about a well
// formed job of a kind that is not served.
type Protocol interface {
	ReadyPath() string
	TimeoutHeader() string
	DecodeTimeout(text string) (time.Duration, error)
	DecodeBatch(id, queue string, body []byte) (model.Batch, error)
	SucceededBody() []byte
	FailedBody() []byte
	PendingBody(n int) []byte
}

// Dispatcher runs the jobs of queues. Routing returns nil before the first
// configuration.
type Dispatcher interface {
	Routing() *model.Routing
	Configured() <-chan struct{} // closed when there is a configuration
	Run(ctx context.Context, s home.Submission) home.Outcome
	Pending(ctx context.Context, queue string) int
	Ready() error
}

// QueueOptions configure a QueueServer.
type QueueOptions struct {
	CallerListener   net.Listener
	BalancerListener net.Listener // asked whether the instance takes connections
	Limits           Limits
	Protocol         Protocol
	Dispatcher       Dispatcher
	Observer         Observer
	Log              *log.Logger
}

// QueueServer serves the callers of a users' platform, whose queues are told
// apart by host and path.
type QueueServer struct {
	options  QueueOptions
	app      *fiber.App
	ready    *fiber.App
	open     atomic.Int64
	draining atomic.Bool
	closesAt atomic.Pointer[time.Time] // of a server that drains
	done     chan struct{}
}

// NewQueueServer returns a server that is not yet started.
func NewQueueServer(o QueueOptions) *QueueServer {
	s := &QueueServer{options: o, done: make(chan struct{})}
	s.app = fiber.New(fiber.Config{
		Immutable:      true,
		BodyLimit:      o.Limits.MaxBodyBytes,
		ReadBufferSize: o.Limits.MaxHeaderBytes,
		Concurrency:    o.Limits.MaxConnections,
		ReadTimeout:    o.Limits.ReadTimeout,
		WriteTimeout:   o.Limits.ReadTimeout,
		IdleTimeout:    o.Limits.IdleTimeout,
		ErrorHandler:   s.onError,

		DisablePreParseMultipartForm: true,
	})
	s.app.Use(s.serveWhole)
	s.ready = fiber.New(fiber.Config{ReadTimeout: o.Limits.ReadTimeout, IdleTimeout: o.Limits.IdleTimeout})
	s.ready.Get(o.Protocol.ReadyPath(), s.serveReady)
	return s
}

// Start serves until Stop.
func (s *QueueServer) Start(context.Context) error {
	go func() {
		_ = s.ready.Listener(s.options.BalancerListener, fiber.ListenConfig{DisableStartupMessage: true})
	}()
	go func() {
		defer close(s.done)
		_ = s.app.Listener(s.options.CallerListener, fiber.ListenConfig{DisableStartupMessage: true})
	}()
	return nil
}

// Open returns the number of requests in progress.
func (s *QueueServer) Open() int { return int(s.open.Load()) }

// Drain asks callers to open new connections elsewhere. Jobs that would not
// end before closesAt are refused from now on.
func (s *QueueServer) Drain(closesAt time.Time) {
	s.closesAt.Store(&closesAt)
	s.draining.Store(true)
}

// Stop lets the requests in progress end and closes the server.
func (s *QueueServer) Stop(ctx context.Context) error {
	s.draining.Store(true)
	err := errors.Join(s.app.ShutdownWithContext(ctx), s.ready.ShutdownWithContext(ctx))
	_ = s.options.CallerListener.Close() // a shutdown before the first accept does not know the listener
	if err != nil {
		return &Error{Op: "stop", Kind: KindServe, Err: err}
	}
	return nil
}

// Done is closed when the server has ended.
func (s *QueueServer) Done() <-chan struct{} { return s.done }

func (s *QueueServer) serveReady(c fiber.Ctx) error {
	if err := s.options.Dispatcher.Ready(); err != nil {
		return c.Status(http.StatusServiceUnavailable).SendString(err.Error())
	}
	return c.SendString("ready\n")
}

// onError answers what the HTTP library refuses by itself.
func (s *QueueServer) onError(c fiber.Ctx, err error) error {
	status := http.StatusInternalServerError
	var known *fiber.Error
	if errors.As(err, &known) {
		status = known.Code
	}
	s.options.Log.Warn().Err(err).Int("status", status).Msg("request not understood")
	return c.Status(status).SendString(err.Error())
}

// serveWhole answers a request also if serving it panics. What ran of its job is not
// known then.
func (s *QueueServer) serveWhole(c fiber.Ctx) (err error) {
	recovered := panics.Try(func() { err = s.serve(c) })
	if recovered == nil {
		return err
	}
	s.options.Log.Error().Err(recovered.AsError()).Str("path", loggedTail(c.Path())).Msg("request panicked")
	s.options.Observer.Answered("panic", "maybe")
	return c.Status(http.StatusGatewayTimeout).SendString("internal error")
}

func (s *QueueServer) serve(c fiber.Ctx) error {
	s.open.Add(1)
	defer s.open.Add(-1)
	if s.draining.Load() {
		c.Set(fiber.HeaderConnection, "close")
	}

	routing := s.routing(c.Context())
	if routing == nil {
		return s.refuse(c, http.StatusServiceUnavailable, "no configuration is in force yet", time.Second)
	}
	route, id, ok := findRoute(routing, c.Hostname(), c.Path())
	if !ok {
		return s.refuse(c, http.StatusNotFound, "no such queue", 0)
	}
	if limit := routing.Limits.MaxHeader; limit > 0 && headerSize(c) > limit {
		return s.refuse(c, http.StatusRequestHeaderFieldsTooLarge, "the header is above the limit", 0)
	}
	if limit := routing.Limits.MaxBody; limit > 0 && len(c.BodyRaw()) > limit {
		return s.refuse(c, http.StatusRequestEntityTooLarge, "the body is above the limit", 0)
	}

	switch c.Method() {
	case http.MethodPost:
		return s.post(c, route, id)
	case http.MethodGet:
		if id == "" {
			return s.send(c, http.StatusOK, s.options.Protocol.PendingBody(s.options.Dispatcher.Pending(c.Context(), route.Name)))
		}
		return c.SendStatus(http.StatusGone) // jobs that are asked for later are not served
	case http.MethodDelete:
		return c.SendStatus(http.StatusGone)
	}
	return s.refuse(c, http.StatusMethodNotAllowed, "unknown method", 0)
}

// configurationWait is how long a request waits for the first configuration of an instance
// that has just started; the store answers within a few milliseconds.
const configurationWait = 150 * time.Millisecond

// routing returns the configuration in force. It answers restarts of all instances, after
// which callers come back as soon as the ports are open.
func (s *QueueServer) routing(ctx context.Context) *model.Routing {
	if r := s.options.Dispatcher.Routing(); r != nil {
		return r
	}
	over := time.NewTimer(configurationWait)
	defer over.Stop()
	select {
	case <-s.options.Dispatcher.Configured():
	case <-over.C:
	case <-ctx.Done():
	}
	return s.options.Dispatcher.Routing()
}

// headerSize is the size of a request's first line and fields, in bytes.
func headerSize(c fiber.Ctx) int {
	h := &c.Request().Header
	return len(h.Method()) + len(h.RequestURI()) + len(h.RawHeaders())
}
