package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc/panics"

	"foxtailmux/home"
	"foxtailmux/memory"
	"foxtailmux/model"
)

// Protocol is the HTTP protocol between a platform's callers and load balancer on one
// side and the QueueServer on the other.
type Protocol interface {
	// ReadyPath returns the path of the readiness check of the load balancer.
	ReadyPath() string

	// TimeoutHeader returns the name of the header with the caller's timeout, and
	// DecodeTimeout decodes its value. The timeout is 0 if the header is missing.
	TimeoutHeader() string
	DecodeTimeout(text string) (time.Duration, error)

	// DecodeBytes returns an upper bound of the memory that DecodeBatch takes for a body.
	DecodeBytes(body []byte) int64

	// DecodeBatch decodes the body of a job. If its error has a method NotServed()
	// bool that returns true, the job is well formed but of a kind that is not served.
	DecodeBatch(id, queue string, body []byte) (model.Batch, error)

	// SucceededBody, FailedBody and PendingBody return the bodies of the responses to
	// a job that succeeded, to one that failed, and to a query for the number of
	// pending jobs of a queue.
	SucceededBody() []byte
	FailedBody() []byte
	PendingBody(n int) []byte
}

// Dispatcher runs the jobs of queues.
type Dispatcher interface {
	// Routing returns the configuration in force, or nil before the first one.
	Routing() *model.Routing

	// Configured returns a channel that is closed when there is a configuration.
	Configured() <-chan struct{}

	// Run runs a job and cancels it when the context ends.
	Run(ctx context.Context, s home.Submission) home.Outcome

	// Pending returns the number of pending jobs of a queue.
	Pending(ctx context.Context, queue string) int

	// Ready returns nil if the instance accepts new connections, else the reason.
	Ready() error
}

// QueueOptions configure a QueueServer.
type QueueOptions struct {
	CallerListener   net.Listener
	BalancerListener net.Listener // serves the readiness checks of the load balancer
	Limits           Limits
	Budget           *memory.Budget // for the requests of callers
	Protocol         Protocol
	Dispatcher       Dispatcher
	Pauses           PauseSource
	Observer         Observer
	Log              *log.Logger
}

// QueueServer is the HTTP server for the callers of a platform. The host and the path
// of a request determine the queue.
type QueueServer struct {
	options  QueueOptions
	app      *fiber.App   // for callers
	readyApp *fiber.App   // for the load balancer
	open     atomic.Int64 // requests in progress
	requests sync.Map     // those of them that have submitted a job, by *jobRequest
	draining atomic.Bool
	closesAt atomic.Pointer[time.Time] // set while the server drains
	refusals refusalLines
	done     chan struct{}
}

const (
	// closingConnections is the number of connections above the limit that may still be closing.
	closingConnections = 64

	// maxReadyConnections and maxReadyBytes bound the load balancer's connections and bodies. It opens a
	// connection for each of its checks, and sends no body.
	maxReadyConnections = 64
	maxReadyBytes       = 1 << 10
)

// NewQueueServer returns a server that is not yet started.
func NewQueueServer(o QueueOptions) *QueueServer {
	s := &QueueServer{options: o, done: make(chan struct{})}
	s.app = fiber.New(fiber.Config{
		Immutable:      true,
		BodyLimit:      o.Limits.MaxBodyBytes,
		ReadBufferSize: o.Limits.MaxHeaderBytes,
		Concurrency:    o.Limits.MaxConnections + closingConnections,
		ReadTimeout:    o.Limits.ReadTimeout,
		WriteTimeout:   o.Limits.ReadTimeout,
		IdleTimeout:    o.Limits.IdleTimeout,
		ErrorHandler:   s.onError,

		StreamRequestBody:            true, // so that readBody decides whether a body is read
		DisablePreParseMultipartForm: true,
	})
	s.app.Use(s.serveRecovered)
	s.app.Server().ConnState = recordState
	s.app.Server().ErrorHandler = s.refuseUnreadable // that of the library calls the handlers, too
	s.readyApp = fiber.New(fiber.Config{
		BodyLimit:   maxReadyBytes,
		Concurrency: maxReadyConnections,
		ReadTimeout: o.Limits.ReadTimeout, WriteTimeout: o.Limits.ReadTimeout, IdleTimeout: o.Limits.IdleTimeout,
	})
	s.readyApp.Get(o.Protocol.ReadyPath(), s.serveReady)
	return s
}

// Start starts serving the listeners. It always returns nil.
func (s *QueueServer) Start(context.Context) error {
	go func() {
		_ = s.readyApp.Listener(s.options.BalancerListener, fiber.ListenConfig{DisableStartupMessage: true})
	}()
	go func() {
		defer close(s.done)
		_ = s.app.Listener(arrivalListener{s.options.CallerListener, s.options.Pauses, s.options.Budget}, fiber.ListenConfig{DisableStartupMessage: true})
	}()
	return nil
}

// Open returns the number of requests in progress.
func (s *QueueServer) Open() int { return int(s.open.Load()) }

// Drain closes each connection after its next response, so that callers open new
// ones at other instances. Jobs that are not likely to end before closesAt are
// refused from now on.
func (s *QueueServer) Drain(closesAt time.Time) {
	s.closesAt.Store(&closesAt)
	s.draining.Store(true)
}

// Stop waits for the requests in progress and closes the server. It returns an
// *Error if the context ends first.
func (s *QueueServer) Stop(ctx context.Context) error {
	s.draining.Store(true)
	err := errors.Join(s.app.ShutdownWithContext(ctx), s.readyApp.ShutdownWithContext(ctx))
	_ = s.options.CallerListener.Close() // a shutdown before the first accept does not close the listener
	if err != nil {
		s.logCut()
		return &Error{Op: "stop", Kind: KindServe, Err: err}
	}
	return nil
}

// Done returns a channel that is closed when the server has ended.
func (s *QueueServer) Done() <-chan struct{} { return s.done }

func (s *QueueServer) serveReady(c fiber.Ctx) error {
	if err := s.options.Dispatcher.Ready(); err != nil {
		return c.Status(http.StatusServiceUnavailable).SendString(err.Error())
	}
	return c.SendString("ready\n")
}

// onError responds to a request that the HTTP library refused before it reached a
// handler, or whose handler returned an error.
func (s *QueueServer) onError(c fiber.Ctx, err error) error {
	status := http.StatusInternalServerError
	var known *fiber.Error
	if errors.As(err, &known) {
		status = known.Code
	}
	if line := s.refusals.next(status); line.logged {
		s.options.Log.Warn().Err(err).Int("status", status).Int("suppressed", line.suppressed).Msg("request refused by the HTTP library")
	}
	return c.Status(status).SendString(err.Error())
}

// serveRecovered serves a request and recovers from a panic. It then responds with
// status 504, as parts of the job may have run.
func (s *QueueServer) serveRecovered(c fiber.Ctx) (err error) {
	defer dropLargeHeader(c.Request())
	recovered := panics.Try(func() { err = s.serve(c) })
	if recovered == nil {
		return err
	}
	s.options.Log.Error().Err(recovered.AsError()).Str("path", truncatePath(c.Path())).Msg("request panicked")
	s.options.Observer.Answered("panic", "maybe")
	return c.Status(http.StatusGatewayTimeout).SendString("internal error")
}

// serve routes a request to its queue.
func (s *QueueServer) serve(c fiber.Ctx) error {
	if s.draining.Load() {
		c.Set(fiber.HeaderConnection, "close")
	}

	routing := s.waitForRouting(c.Context())
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
	held := reservationFor(c.RequestCtx().Conn())
	defer held.release()
	body, err := readBody(c, s.bodyLimit(routing), held)
	defer keepBodyBuffer(body)
	if err != nil {
		return s.refuseBody(c, err)
	}
	if err := held.whole(); err != nil {
		return s.refuseBody(c, err)
	}

	s.open.Add(1)
	defer s.open.Add(-1)
	switch c.Method() {
	case http.MethodPost:
		return s.post(c, route, id, *body, held)
	case http.MethodGet:
		if id == "" {
			return s.send(c, http.StatusOK, s.options.Protocol.PendingBody(s.options.Dispatcher.Pending(c.Context(), route.Name)))
		}
		return c.SendStatus(http.StatusGone) // the state of a single job can't be queried
	case http.MethodDelete:
		return c.SendStatus(http.StatusGone)
	}
	return s.refuse(c, http.StatusMethodNotAllowed, "unknown method", 0)
}

// configurationWait is how long a request waits for the first configuration of an instance
// that has just started; the store responds within a few milliseconds.
const configurationWait = 150 * time.Millisecond

// waitForRouting returns the configuration in force, and waits for the first one for up to
// configurationWait. It returns nil if there is none. The wait covers a restart of all
// instances, after which callers reconnect as soon as the ports are open.
func (s *QueueServer) waitForRouting(ctx context.Context) *model.Routing {
	if r := s.options.Dispatcher.Routing(); r != nil {
		return r
	}
	timeout := time.NewTimer(configurationWait)
	defer timeout.Stop()
	select {
	case <-s.options.Dispatcher.Configured():
	case <-timeout.C:
	case <-ctx.Done():
	}
	return s.options.Dispatcher.Routing()
}

// bodyLimit returns the largest size of a body, in bytes, under the settings and the configuration in force.
func (s *QueueServer) bodyLimit(r *model.Routing) int {
	if r.Limits.MaxBody > 0 {
		return min(r.Limits.MaxBody, s.options.Limits.MaxBodyBytes)
	}
	return s.options.Limits.MaxBodyBytes
}

// headerSize is the size of a request's first line and fields, in bytes.
func headerSize(c fiber.Ctx) int {
	h := &c.Request().Header
	return len(h.Method()) + len(h.RequestURI()) + len(h.RawHeaders())
}
