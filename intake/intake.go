// Package intake decides what happens to a submission between the callers'
// interface and the runner: which instance runs it, whether it joins a run
// that exists, and what its answer may claim.
//
// Ran "no" is answered only for an id whose holder has proved that nothing was
// or will be started on it. Where an earlier submission with the same ticket
// or key may have started the job, ran is "maybe", and thisAttempt tells what
// this submission did.
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
	"foxtailmux/ticket"
)

// Runner runs a job. It returns soon after the context is done.
type Runner interface {
	Run(ctx context.Context, id string, job model.Job) model.Answer
}

// Claimer makes a caller's key unique.
type Claimer interface {
	Claim(ctx context.Context, team, key, digest, jobID string) (claim.Claim, error)
}

// Peers are the other entry instances. An error of Call that has a method
// Sent() bool and returns false there proves that the peer never saw the call;
// after any other the peer may have acted on it.
type Peers interface {
	// Find returns the id of the live peer with that incarnation.
	Find(incarnation string) (peerID string, ok bool)

	// LiveIncarnations returns the incarnations of the live peers, the preferred adopter
	// of a handover first.
	LiveIncarnations() []string

	Call(ctx context.Context, peerID, method string, params, result any) error
	Handle(method string, f func(ctx context.Context, params json.RawMessage) (any, error))
}

// Options adjust an Intake. Fields left zero take their defaults.
type Options struct {
	Incarnation string

	// Deadline returns how long a job may take, by default what the job says
	// or a minute.
	Deadline func(job model.Job) time.Duration

	// Retention is how long an unused ticket lives.
	Retention func() time.Duration

	// Clock returns a time that goes on while the instance is suspended.
	Clock func() time.Duration

	MaxPartBytes int // JSON size of one message of a hand-over
}

const (
	defaultDeadline  = time.Minute
	maxDeadline      = time.Hour
	defaultPartBytes = 256 << 10
	forwardGrace     = 200 * time.Millisecond
)

func (o Options) withDefaults() Options {
	if o.Deadline == nil {
		o.Deadline = declaredDeadline
	}
	if o.Retention == nil {
		o.Retention = func() time.Duration { return 0 }
	}
	if o.Clock == nil {
		o.Clock = sinceBoot
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

// Intake takes the submissions of one entry instance.
type Intake struct {
	options Options
	store   *ticket.Store
	claimer Claimer
	runner  Runner
	peers   Peers
	holders holders

	ctx   context.Context
	stop  context.CancelFunc
	tasks conc.WaitGroup
	done  chan struct{}

	mu     sync.Mutex
	closed bool

	moved     chan struct{} // closed when a hand-over has ended
	moveOnce  sync.Once
	closeOnce sync.Once
}

// New returns an Intake and registers its methods with the peers. The caller
// keeps the store and the claimer, and closes them after the Intake.
func New(o Options, store *ticket.Store, claimer Claimer, runner Runner, peers Peers) *Intake {
	ctx, stop := context.WithCancel(context.Background())
	i := &Intake{
		options: o.withDefaults(),
		store:   store,
		claimer: claimer,
		runner:  runner,
		peers:   peers,
		holders: holders{next: make(map[string]string), asked: make(map[string]time.Time), began: make(map[string]time.Time)},
		ctx:     ctx,
		stop:    stop,
		done:    make(chan struct{}),
		moved:   make(chan struct{}),
	}
	i.register()
	return i
}

// Close refuses new submissions, waits for those in progress and cuts them
// off when the context ends.
func (i *Intake) Close(ctx context.Context) {
	i.closeOnce.Do(func() {
		i.mu.Lock()
		i.closed = true
		i.mu.Unlock()

		go func() {
			defer close(i.done)
			i.tasks.Wait()
		}()
	})

	select {
	case <-i.done:
	case <-ctx.Done():
	}
	i.stop()
	<-i.done
}

// Done is closed when the Intake was closed and all submissions have ended.
func (i *Intake) Done() <-chan struct{} { return i.done }

// detach runs f on a goroutine that outlives the caller's context. Its context
// leaves a peer that holds the job time to answer at the deadline. It reports false if the Intake was closed.
func (i *Intake) detach(d deadline, f func(ctx context.Context) model.Answer) (<-chan model.Answer, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()

	if i.closed {
		return nil, false
	}
	answer := make(chan model.Answer, 1)
	i.tasks.Go(func() {
		ctx, cancel := context.WithDeadline(i.ctx, d.at.Add(forwardGrace))
		defer cancel()
		answer <- f(ctx)
	})
	return answer, true
}

// IssueTickets issues n tickets.
func (i *Intake) IssueTickets(n int) (model.TicketBatch, error) {
	ids, err := i.store.Issue(n)
	switch {
	case err == nil:
		return model.TicketBatch{Tickets: ids, ExpiresMillis: i.options.Retention().Milliseconds()}, nil
	case ticketKind(err) == ticket.KindHandedOver:
		return model.TicketBatch{}, &Error{Op: "tickets", Kind: model.FailStopping, Err: eris.New("the instance is stopping")}
	}
	return model.TicketBatch{}, &Error{Op: "tickets", Kind: model.FailOverloaded, Err: err}
}

func claimKind(err error) claim.Kind {
	var e *claim.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
