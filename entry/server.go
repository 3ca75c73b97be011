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

// Intake takes submissions and questions about them.
type Intake interface {
	Submit(ctx context.Context, job model.Job) model.Answer
	IssueTickets(n int) (model.TicketBatch, error)
	Status(ctx context.Context, id string) (model.JobStatus, error)
	Cancel(ctx context.Context, id string) error
}

// Observer counts answers.
type Observer interface {
	Answered(result, ran string)
	Refused(reason string)
	Response(d, ideal time.Duration)
}

// Limits bound what one caller's connection and all callers may use. Sizes
// are in bytes. ReadTimeout bounds the receipt of a request and, anew, the
// sending of its answer. 0 in MaxTasks takes DefaultMaxTasks.
type Limits struct {
	MaxBodyBytes         int
	MaxHeaderBytes       int
	MaxConnections       int
	MaxTicketsPerRequest int
	MaxTasksPerJob       int // of one job
	ReadTimeout          time.Duration
	IdleTimeout          time.Duration
}

// DefaultMaxTasks is the number of tasks that a job may have at most, whatever
// its service allows.
const DefaultMaxTasks = 10_000

func (l Limits) maxTasks() int {
	if l.MaxTasksPerJob == 0 {
		return DefaultMaxTasks
	}
	return l.MaxTasksPerJob
}

// Server is the callers' HTTP server.
type Server struct {
	// Log takes a line for each request; nil logs none. It is set before
	// Start.
	Log RequestLog

	limits   Limits
	intake   Intake
	observer Observer
	openJobs func() int

	app      *fiber.App
	listener net.Listener
	open     atomic.Int64
	draining atomic.Bool
	done     chan struct{}
}

// NewServer returns a server that will serve the listener. MaxOpenJobs
// returns how many jobs may be open at once.
func NewServer(listener net.Listener, limits Limits, intake Intake, observer Observer, maxOpenJobs func() int) *Server {
	s := &Server{
		limits:   limits,
		intake:   intake,
		observer: observer,
		openJobs: maxOpenJobs,
		done:     make(chan struct{}),
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

		// A body is JSON whatever its content type says.
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

// Start serves until Stop.
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

// Open returns the number of jobs whose callers wait.
func (s *Server) Open() int { return int(s.open.Load()) }

// Drain asks callers to open new connections elsewhere.
func (s *Server) Drain() { s.draining.Store(true) }

// Stop lets the requests in progress end and then closes the server. It
// returns an *Error if the context ends first.
func (s *Server) Stop(ctx context.Context) error {
	s.Drain()
	if err := s.app.ShutdownWithContext(ctx); err != nil {
		return &Error{Op: "stop", Kind: KindServe, Err: err}
	}

	// A shutdown that came before the first accept does not know the listener.
	_ = s.listener.Close()
	return nil
}

// Done is closed when the server has ended.
func (s *Server) Done() <-chan struct{} { return s.done }

func (s *Server) closeWhileDraining(c fiber.Ctx) error {
	err := c.Next()
	if s.draining.Load() {
		c.Set(fiber.HeaderConnection, "close")
	}
	return err
}
