package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"foxtailmux/home"
	"foxtailmux/model"
	"foxtailmux/plan"
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
	Run(ctx context.Context, s home.Submission) home.Outcome
	Pending(ctx context.Context, queue string) int
	Ready() error
}

// QueueOptions configure a QueueServer.
type QueueOptions struct {
	Callers    net.Listener
	Balancer   net.Listener // asked whether the instance takes connections
	Limits     Limits
	Protocol   Protocol
	Dispatcher Dispatcher
	Observer   Observer
	Log        *log.Logger
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

// defaultPatience is how long a caller waits that does not say so; the
// platform's callers always do.
const defaultPatience = 3 * time.Second

// maxIDBytes bounds what may stand behind a queue's prefix.
const maxIDBytes = 64

// NewQueueServer returns a server that is not yet started.
func NewQueueServer(o QueueOptions) *QueueServer {
	s := &QueueServer{options: o, done: make(chan struct{})}
	s.app = fiber.New(fiber.Config{
		Immutable:      true,
		BodyLimit:      o.Limits.MaxBody,
		ReadBufferSize: o.Limits.MaxHeader,
		Concurrency:    o.Limits.MaxConnections,
		ReadTimeout:    o.Limits.ReadTimeout,
		WriteTimeout:   o.Limits.ReadTimeout,
		IdleTimeout:    o.Limits.IdleTimeout,
		ErrorHandler:   s.onError,

		DisablePreParseMultipartForm: true,
	})
	s.app.Use(s.serve)
	s.ready = fiber.New(fiber.Config{ReadTimeout: o.Limits.ReadTimeout, IdleTimeout: o.Limits.IdleTimeout})
	s.ready.Get(o.Protocol.ReadyPath(), s.serveReady)
	return s
}

// Start serves until Stop.
func (s *QueueServer) Start(context.Context) error {
	go func() { _ = s.ready.Listener(s.options.Balancer, fiber.ListenConfig{DisableStartupMessage: true}) }()
	go func() {
		defer close(s.done)
		_ = s.app.Listener(s.options.Callers, fiber.ListenConfig{DisableStartupMessage: true})
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

// drainFactor is how much longer than estimated a job may take; estimates are
// off by half either way.
const drainFactor = 2

// leavesTime reports whether a job is likely to end before the server closes.
func (s *QueueServer) leavesTime(b model.Batch) bool {
	closesAt := s.closesAt.Load()
	if closesAt == nil {
		return true
	}
	estimates := make([]time.Duration, len(b.Steps))
	for i, step := range b.Steps {
		estimates[i] = step.Estimate
	}
	return time.Until(*closesAt) > drainFactor*plan.Chain(b.Steps, estimates)
}

// Stop lets the requests in progress end and closes the server.
func (s *QueueServer) Stop(ctx context.Context) error {
	s.draining.Store(true)
	err := errors.Join(s.app.ShutdownWithContext(ctx), s.ready.ShutdownWithContext(ctx))
	_ = s.options.Callers.Close() // a shutdown before the first accept does not know the listener
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

func (s *QueueServer) serve(c fiber.Ctx) error {
	s.open.Add(1)
	defer s.open.Add(-1)
	if s.draining.Load() {
		c.Set(fiber.HeaderConnection, "close")
	}

	routing := s.options.Dispatcher.Routing()
	if routing == nil {
		return s.refuse(c, http.StatusServiceUnavailable, "no configuration is in force yet", time.Second)
	}
	route, id, ok := findRoute(routing, c.Hostname(), c.Path())
	if !ok {
		return s.refuse(c, http.StatusNotFound, "no such queue", 0)
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

// findRoute returns the queue with the longest prefix of the path, and the
// rest of the path.
func findRoute(r *model.Routing, host, path string) (model.Route, string, bool) {
	best := -1
	for i, route := range r.Routes {
		if route.Host != host || !strings.HasPrefix(path, route.Prefix) {
			continue
		}
		if best < 0 || len(route.Prefix) > len(r.Routes[best].Prefix) {
			best = i
		}
	}
	if best < 0 {
		return model.Route{}, "", false
	}
	return r.Routes[best], path[len(r.Routes[best].Prefix):], true
}

func (s *QueueServer) post(c fiber.Ctx, route model.Route, id string) error {
	began := time.Now()
	if id == "" || len(id) > maxIDBytes || strings.ContainsAny(id, "/.") {
		return s.refuse(c, http.StatusBadRequest, "the path names no job", 0)
	}
	patience, err := s.options.Protocol.DecodeTimeout(c.Get(s.options.Protocol.TimeoutHeader()))
	if err != nil {
		return s.refuse(c, http.StatusBadRequest, err.Error(), 0)
	}
	if patience <= 0 {
		patience = defaultPatience
	}
	batch, err := s.options.Protocol.DecodeBatch(id, route.Name, c.BodyRaw())
	if err == nil && batch.Tasks() > DefaultMaxTasks {
		err = eris.Errorf("the job has %d tasks, allowed are %d", batch.Tasks(), DefaultMaxTasks)
	}
	if err != nil {
		return s.refuseJob(c, route, id, err)
	}
	if !s.leavesTime(batch) {
		return s.refuse(c, http.StatusServiceUnavailable, "the instance is leaving", time.Second)
	}

	ctx, cancel := context.WithTimeout(c.Context(), patience)
	w := watch(c.RequestCtx().Conn(), cancel)
	outcome := s.options.Dispatcher.Run(ctx, home.Submission{Batch: batch, Route: route, Left: patience})
	w.stop()
	return s.answer(c, route, id, outcome, time.Since(began))
}

func (s *QueueServer) refuseJob(c fiber.Ctx, route model.Route, id string, err error) error {
	var told interface{ NotServed() bool }
	status := http.StatusBadRequest
	if errors.As(err, &told) && told.NotServed() {
		status = http.StatusServiceUnavailable
	}
	s.options.Log.Info().Err(err).Str("job", id).Str("queue", route.Name).Int("status", status).Msg("job refused")
	s.options.Observer.Refused("notServed")
	return s.send(c, status, []byte(err.Error()))
}

// answer sends the outcome of a job. Only a status that promises that the job
// did not run carries a delay.
func (s *QueueServer) answer(c fiber.Ctx, route model.Route, id string, o home.Outcome, took time.Duration) error {
	status := http.StatusOK
	body := s.options.Protocol.SucceededBody()
	switch o.Verdict {
	case home.Succeeded:
	case home.Failed:
		body = s.options.Protocol.FailedBody()
	case home.Refused:
		status, body = http.StatusServiceUnavailable, []byte(o.Reason)
		setDelay(c, o.RetryAfter)
		s.options.Observer.Refused("overloaded")
	default:
		status, body = http.StatusGatewayTimeout, []byte(o.Reason)
	}
	s.options.Observer.Answered(string(o.Verdict), "")
	s.options.Observer.Response(took, 0)
	s.options.Log.Info().Str("job", id).Str("queue", route.Name).Int("status", status).Str("verdict", string(o.Verdict)).
		Str("reason", o.Reason).Int64("tookMillis", took.Milliseconds()).Msg("request answered")
	return s.send(c, status, body)
}

func (s *QueueServer) refuse(c fiber.Ctx, status int, reason string, retryAfter time.Duration) error {
	s.options.Log.Info().Str("path", loggedTail(c.Path())).Int("status", status).Str("reason", reason).Msg("request refused")
	s.options.Observer.Refused("request")
	setDelay(c, retryAfter)
	return c.Status(status).SendString(reason)
}

// maxLoggedPath is the length of the part of a path that is logged.
const maxLoggedPath = 80

func loggedTail(path string) string { return path[:min(len(path), maxLoggedPath)] }

// setDelay tells when to come back, rounded up to whole seconds, the unit of
// the header.
func setDelay(c fiber.Ctx, d time.Duration) {
	if d > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10))
	}
}

func (s *QueueServer) send(c fiber.Ctx, status int, body []byte) error {
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return eris.Wrap(c.Status(status).Send(body), "send answer")
}
