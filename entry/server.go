package entry

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"

	"foxtailmux/model"
)

// Paths of the callers' interface.
const (
	ticketsPath = "/v1/tickets"
	jobsPath    = "/v1/jobs"
	jobPath     = "/v1/jobs/:id"
)

// Intake runs jobs, issues tickets, and executes status and cancel requests.
type Intake interface {
	Submit(ctx context.Context, job model.Job) model.Answer
	IssueTickets(n int) (model.TicketBatch, error)
	Status(ctx context.Context, id string) (model.JobStatus, error)
	Cancel(ctx context.Context, id string) error
}

// Observer records metrics of the answers. Response records the response time of a
// job and the time that it would have had without overhead, 0 if that is unknown.
type Observer interface {
	Answered(result, ran string)
	Refused(reason string)
	Response(d, ideal time.Duration)
}

// Limits bound the requests of callers. ReadTimeout bounds the time for receiving a
// request and, separately, the time for sending its response. IdleTimeout is how long
// a connection without a request stays open. MaxTasksPerJob 0 means DefaultMaxTasks.
type Limits struct {
	MaxBodyBytes         int
	MaxHeaderBytes       int
	MaxConnections       int
	MaxTicketsPerRequest int
	MaxTasksPerJob       int
	ReadTimeout          time.Duration
	IdleTimeout          time.Duration
}

// DefaultMaxTasks is the maximum number of tasks of a job, even if its service allows
// more. Limits.MaxTasksPerJob replaces it for a Server, not for a QueueServer.
const DefaultMaxTasks = 10_000

func (l Limits) maxTasks() int {
	if l.MaxTasksPerJob == 0 {
		return DefaultMaxTasks
	}
	return l.MaxTasksPerJob
}

// Server is the HTTP server for callers.
type Server struct {
	// Log logs each request; nil disables the log. It has to be set before Start.
	Log RequestLog

	limits      Limits
	intake      Intake
	observer    Observer
	maxOpenJobs func() int

	app      *fiber.App
	listener net.Listener
	open     atomic.Int64 // jobs whose callers wait
	draining atomic.Bool
	done     chan struct{}
}

// NewServer returns a server that is not yet started. maxOpenJobs returns how many
// jobs may be open at the same time.
func NewServer(listener net.Listener, limits Limits, intake Intake, observer Observer, maxOpenJobs func() int) *Server {
	s := &Server{
		limits:      limits,
		intake:      intake,
		observer:    observer,
		maxOpenJobs: maxOpenJobs,
		done:        make(chan struct{}),
	}
	s.listener = newLimitListener(listener, limits.MaxConnections, func() {
		observer.Refused(string(model.FailOverloaded))
	})
	s.app = fiber.New(fiber.Config{
		Immutable:      true,
		BodyLimit:      limits.MaxBodyBytes,
		ReadBufferSize: limits.MaxHeaderBytes,
		Concurrency:    limits.MaxConnections + 1, // the listener refuses first
		ReadTimeout:    limits.ReadTimeout,
		WriteTimeout:   limits.ReadTimeout,
		IdleTimeout:    limits.IdleTimeout,
		ErrorHandler:   s.onError,

		// Bodies are decoded as JSON whatever their content type is.
		DisablePreParseMultipartForm: true,
	})
	s.routes()
	return s
}

func (s *Server) routes() {
	s.app.Use(s.closeWhileDraining)
	s.app.Use(refuseCompressed)
	s.app.Post(ticketsPath, s.postTickets)
	s.app.Post(jobsPath, s.postJob)
	s.app.Get(jobPath, s.getJob)
	s.app.Delete(jobPath, s.deleteJob)
}

// Start starts serving the listener. It always returns nil.
func (s *Server) Start(context.Context) error {
	go func() {
		defer close(s.done)
		_ = s.app.Listener(s.listener, fiber.ListenConfig{
			DisableStartupMessage: true,
			BeforeServeFunc:       s.refuseUnknownMethods,
		})
	}()
	return nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Open returns the number of jobs whose callers wait for the answer.
func (s *Server) Open() int { return int(s.open.Load()) }

// Drain closes each connection after its next response, so that callers open new
// ones at other instances.
func (s *Server) Drain() { s.draining.Store(true) }

// Stop waits for the requests in progress and closes the server. It returns an
// *Error if the context ends first.
func (s *Server) Stop(ctx context.Context) error {
	s.Drain()
	if err := s.app.ShutdownWithContext(ctx); err != nil {
		return &Error{Op: "stop", Kind: KindServe, Err: err}
	}

	// A shutdown before the first accept does not close the listener.
	_ = s.listener.Close()
	return nil
}

// Done returns a channel that is closed when the server has ended.
func (s *Server) Done() <-chan struct{} { return s.done }

func (s *Server) closeWhileDraining(c fiber.Ctx) error {
	err := c.Next()
	if s.draining.Load() {
		c.Set(fiber.HeaderConnection, "close")
	}
	return err
}
