// Package intake receives the jobs that the HTTP server for callers accepted and
// passes them to the runner. Every id of a job has one holder: the entry instance
// that issued it, or the one that adopted it in a handover when the issuer
// stopped. Only the holder starts the job. The package forwards a submission to
// the holder, lets a repeated submission wait for the run that already exists, and
// sets the fields Ran and ThisAttempt of the answer.
//
// Ran is "no" only if the holder of the id guarantees that nothing was or will be
// started on it. If an earlier submission with the same ticket or idempotency key
// may have started the job, Ran is "maybe", and ThisAttempt states whether this
// submission started it.
package intake

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"foxtailmux/claim"
	"foxtailmux/model"
	"foxtailmux/pause"
	"foxtailmux/ticket"
)

// Runner runs the tasks of a job on workers. Run has to return soon after the
// context is done.
type Runner interface {
	Run(ctx context.Context, id string, job model.Job) model.Answer
}

// Claimer maps an idempotency key of a team to one job id for all instances. The
// first claim of a key sets the id; later claims return it.
type Claimer interface {
	Claim(ctx context.Context, team, key, digest, jobID string) (claim.Claim, error)
}

// Peers are the other entry instances. If an error of Call has a method Sent() bool
// that returns false, the peer never received the request. After any other error
// the peer may have acted on it.
type Peers interface {
	// Find returns the id of the live peer with that incarnation.
	Find(incarnation string) (peerID string, ok bool)

	// LiveIncarnations returns the incarnations of the live peers, the preferred
	// adopter of a handover first.
	LiveIncarnations() []string

	// Call sends a request to a peer once and decodes the response into result.
	Call(ctx context.Context, peerID, method string, params, result any) error

	// Handle registers the handler of a method that peers call.
	Handle(method string, f func(ctx context.Context, params json.RawMessage) (any, error))
}

// Options configure an Intake. Fields other than Incarnation have defaults.
type Options struct {
	Incarnation string // of this instance

	// Deadline returns how long a job may take. By default it is the deadline that
	// the job declares, up to an hour, or else a minute.
	Deadline func(job model.Job) time.Duration

	// Retention returns how long an unused ticket is kept, by default 0. It is only
	// reported to callers; the ticket.Store removes the tickets.
	Retention func() time.Duration

	// Clock returns a monotonic time that advances while the machine is suspended,
	// by default the time since boot.
	Clock func() time.Duration

	MaxPartBytes int // JSON size of one part of a handover; 0 means 256 KiB
}

const (
	defaultDeadline  = time.Minute
	maxDeadline      = time.Hour
	defaultPartBytes = 256 << 10
	forwardGrace     = 200 * time.Millisecond // after the deadline, for the answer of the peer that runs the job
)

func (o Options) withDefaults() Options {
	if o.Deadline == nil {
		o.Deadline = declaredDeadline
	}
	if o.Retention == nil {
		o.Retention = func() time.Duration { return 0 }
	}
	if o.Clock == nil {
		o.Clock = pause.SinceBoot
	}
	if o.MaxPartBytes == 0 {
		o.MaxPartBytes = defaultPartBytes
	}
	return o
}

func declaredDeadline(job model.Job) time.Duration {
	if job.DeadlineMillis <= 0 {
		return defaultDeadline
	}
	return time.Duration(min(job.DeadlineMillis, maxDeadline.Milliseconds())) * time.Millisecond
}

// Intake receives the submissions of one entry instance, from its callers and from
// its peers.
type Intake struct {
	options Options
	store   *ticket.Store
	claimer Claimer
	runner  Runner
	peers   Peers
	holders holders

	ctx         context.Context
	stop        context.CancelFunc
	submissions conc.WaitGroup
	done        chan struct{}

	mu     sync.Mutex
	closed bool // new submissions are refused

	handoverEnded chan struct{} // closed when HandOver returns
	handoverOnce  sync.Once
	closeOnce     sync.Once
}

// New returns an Intake and registers its methods with the peers. The store and
// the claimer have to be closed after the Intake.
func New(o Options, store *ticket.Store, claimer Claimer, runner Runner, peers Peers) *Intake {
	ctx, stop := context.WithCancel(context.Background())
	i := &Intake{
		options:       o.withDefaults(),
		store:         store,
		claimer:       claimer,
		runner:        runner,
		peers:         peers,
		holders:       holders{adopters: make(map[string]string), queriedAt: make(map[string]time.Time), searchStart: make(map[string]time.Time)},
		ctx:           ctx,
		stop:          stop,
		done:          make(chan struct{}),
		handoverEnded: make(chan struct{}),
	}
	i.register()
	return i
}

// Close refuses new submissions and waits for those with a ticket or an idempotency
// key that are in progress. When the context ends, it cancels them. A job without
// either ends with the context of its Submit.
func (i *Intake) Close(ctx context.Context) {
	i.closeOnce.Do(func() {
		i.mu.Lock()
		i.closed = true
		i.mu.Unlock()

		go func() {
			defer close(i.done)
			i.submissions.Wait()
		}()
	})

	select {
	case <-i.done:
	case <-ctx.Done():
	}
	i.stop()
	<-i.done
}

// Done returns a channel that is closed when, after Close, all submissions with a
// ticket or an idempotency key have ended.
func (i *Intake) Done() <-chan struct{} { return i.done }

// startDetached runs f on a goroutine that does not end with the caller's context. The
// context of f ends forwardGrace after the deadline, so that the answer of a peer
// that runs the job up to the deadline still arrives. It returns false if the
// Intake is closed.
func (i *Intake) startDetached(d deadline, f func(ctx context.Context) model.Answer) (<-chan model.Answer, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()

	if i.closed {
		return nil, false
	}
	answer := make(chan model.Answer, 1)
	i.submissions.Go(func() {
		ctx, cancel := context.WithDeadline(i.ctx, d.at.Add(forwardGrace))
		defer cancel()
		answer <- f(ctx)
	})
	return answer, true
}

// IssueTickets issues n tickets. An *Error of kind model.FailOverloaded means that
// the instance holds too many ids, one of kind model.FailStopping that it is
// stopping.
func (i *Intake) IssueTickets(n int) (model.TicketBatch, error) {
	ids, err := i.store.Issue(n)
	switch {
	case err == nil:
		return model.TicketBatch{Tickets: ids, ExpiresMillis: i.options.Retention().Milliseconds()}, nil
	case ticketErrorKind(err) == ticket.KindHandedOver:
		return model.TicketBatch{}, &Error{Op: "tickets", Kind: model.FailStopping, Err: eris.New("the instance is stopping")}
	}
	return model.TicketBatch{}, &Error{Op: "tickets", Kind: model.FailOverloaded, Err: err}
}

func claimErrorKind(err error) claim.Kind {
	var e *claim.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
