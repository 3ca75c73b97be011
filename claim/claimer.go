// Package claim makes the idempotency keys of callers unique across all entry
// instances. The first submission with a key inserts a row into the platform's
// table that names its job; every later submission with the key gets the id of
// that job.
//
// A transaction with an unknown outcome may take effect although its submission
// failed because the store was down. The row then names a job id that was issued
// but not used. The instance that issued the id still holds it as unused, so the
// next submission with the key finds the row, is forwarded to the issuer and
// starts the job there as the first. The key is blocked only after the issuer has
// dropped the id.
package claim

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"foxtailmux/table"
)

// Table is the part of the platform's table that claims use. A *table.Error of
// KindNotSent or KindRefused proves that a transaction had no effect; after any
// other error it may have had one.
type Table interface {
	Get(ctx context.Context, key string) (table.Row, error)
	Commit(ctx context.Context, t table.Transaction) (table.CommitResult, error)
}

// Options configures a Claimer. Interval returns the minimum time between the
// starts of two transactions.
type Options struct {
	Interval    func() time.Duration
	MaxRows     int           // rows per transaction; 0 means 100
	MaxPending  int           // keys queued or in flight; 0 means 10,000
	Timeout     time.Duration // of each call to the table; 0 means 2 s
	MaxAttempts int           // transactions without a usable outcome per claim; 0 means 4
}

const (
	defaultMaxRows     = 100
	defaultMaxPending  = 10_000
	defaultTimeout     = 2 * time.Second
	defaultMaxAttempts = 4
)

func (o Options) withDefaults() Options {
	if o.MaxRows == 0 {
		o.MaxRows = defaultMaxRows
	}
	if o.MaxPending == 0 {
		o.MaxPending = defaultMaxPending
	}
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	if o.MaxAttempts == 0 {
		o.MaxAttempts = defaultMaxAttempts
	}
	return o
}

// Claim names the job that owns a key. First reports whether this call claimed the
// key.
type Claim struct {
	JobID string
	First bool
}

// Claimer groups the claims of one instance into transactions, one in flight at a
// time. It is safe for concurrent use.
type Claimer struct {
	table   Table
	options Options
	ctx     context.Context
	stop    context.CancelFunc
	done    chan struct{}
	notify  chan struct{}

	mu      sync.Mutex
	queue   []*request
	pending map[string]*request // queued or in flight, by row key
	closed  bool
}

// New returns a running Claimer. Close stops it.
func New(t Table, o Options) *Claimer {
	ctx, stop := context.WithCancel(context.Background())
	c := &Claimer{
		table:   t,
		options: o.withDefaults(),
		ctx:     ctx,
		stop:    stop,
		done:    make(chan struct{}),
		notify:  make(chan struct{}, 1),
		pending: make(map[string]*request),
	}
	go c.run()
	return c
}

// Close stops the Claimer. Pending claims fail with KindClosed, those in flight
// possibly with KindStoreDown.
func (c *Claimer) Close() { c.stop() }

// Done returns a channel that is closed when the last transaction has ended.
func (c *Claimer) Done() <-chan struct{} { return c.done }

// request is one row to insert. Several calls of Claim may wait for it.
type request struct {
	key                string
	row                Row
	sent               bool // has been part of a transaction
	failedTransactions int  // transactions without a usable outcome, see Claimer.requeueOrFail
	waiters            int  // guarded by Claimer.mu
	done               chan struct{}

	// Set before done is closed.
	winner Row
	first  bool
	err    error
}

// Claim claims the team's key for the job, or returns the job that has claimed it.
// The digest identifies the content of the job: a claim of the same key with
// another digest fails with KindConflict. All errors are of type *Error.
func (c *Claimer) Claim(ctx context.Context, team, key, digest, jobID string) (Claim, error) {
	r, created, err := c.enqueue(rowKey(team, key), digest, jobID)
	if err != nil {
		return Claim{}, err
	}

	select {
	case <-r.done:
	case <-ctx.Done():
		c.abandon(r)
		return Claim{}, &Error{Op: "claim", Kind: KindContextEnded, Err: eris.Wrap(ctx.Err(), "the claim is not settled")}
	}

	if r.err != nil {
		return Claim{}, r.err
	}
	if r.winner.Digest != digest {
		return Claim{}, &Error{Op: "claim", Kind: KindConflict, Err: eris.Errorf("the key belongs to job %s, which differs", r.winner.JobID)}
	}
	return Claim{JobID: r.winner.JobID, First: created && r.first}, nil
}

// enqueue adds a request, or joins the pending request for the same row. created
// reports whether it was added.
func (c *Claimer) enqueue(key, digest, jobID string) (r *request, created bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.closed {
		return nil, false, closedError()
	}
	if r := c.pending[key]; r != nil {
		r.waiters++
		return r, false, nil
	}
	if len(c.pending) >= c.options.MaxPending {
		return nil, false, &Error{Op: "claim", Kind: KindStoreDown, Err: eris.Errorf("%d claims wait for the table", len(c.pending))}
	}

	row := Row{ClaimID: newID(), JobID: jobID, Digest: digest, ClaimedAt: time.Now()}
	r = &request{key: key, row: row, waiters: 1, done: make(chan struct{})}
	c.queue = append(c.queue, r)
	c.pending[key] = r
	c.signal()
	return r, true, nil
}

func (c *Claimer) signal() {
	select {
	case c.notify <- struct{}{}:
	default:
	}
}

func closedError() error {
	return &Error{Op: "claim", Kind: KindClosed, Err: eris.New("the claimer was closed")}
}

// abandon removes a waiting call from a request. A request without waiting calls is
// not sent, unless it was sent before.
func (c *Claimer) abandon(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()

	r.waiters--
}

func (c *Claimer) run() {
	defer close(c.done)
	defer c.failRemaining()

	for {
		select {
		case <-c.notify:
		case <-c.ctx.Done():
			return
		}

		if c.ctx.Err() != nil {
			return
		}
		started := time.Now()
		if group := c.nextGroup(); len(group) > 0 {
			c.commitGroup(group)
			c.pause(c.options.Interval() - time.Since(started))
		}
	}
}

func (c *Claimer) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()

	select {
	case <-timer.C:
	case <-c.ctx.Done():
	}
}

// nextGroup removes the next group of requests from the queue. Requests that were
// sent before are not grouped with new ones, whose conflicts would delay them
// again.
func (c *Claimer) nextGroup() []*request {
	c.mu.Lock()
	defer c.mu.Unlock()

	var group []*request
	for len(c.queue) > 0 && len(group) < c.options.MaxRows {
		r := c.queue[0]
		if len(group) > 0 && group[0].sent != r.sent {
			break
		}
		c.queue = c.queue[1:]
		if r.waiters == 0 && !r.sent {
			delete(c.pending, r.key)
			continue
		}
		group = append(group, r)
	}
	if len(c.queue) > 0 {
		c.signal()
	}
	for _, r := range group {
		r.sent = true
	}
	return group
}

// requeue returns requests that have no outcome yet to the head of the queue.
func (c *Claimer) requeue(group []*request) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.queue = append(slices.Clip(group), c.queue...)
	if len(c.queue) > 0 {
		c.signal()
	}
}

// requeueOrFail requeues requests whose transaction had no usable outcome: it is unknown
// whether the transaction took effect, or the table refused it for conflicts but
// reported no existing row of the group. Requests with MaxAttempts such transactions
// fail.
func (c *Claimer) requeueOrFail(group []*request) {
	var rest []*request
	for _, r := range group {
		r.failedTransactions++
		if r.failedTransactions < c.options.MaxAttempts {
			rest = append(rest, r)
			continue
		}
		c.fail(r, eris.Errorf("not settled by %d transactions", r.failedTransactions))
	}
	c.requeue(rest)
}

// failRemaining fails all pending requests with KindClosed.
func (c *Claimer) failRemaining() {
	c.mu.Lock()
	c.closed = true
	remaining := c.pending
	c.pending = nil
	c.mu.Unlock()

	for _, r := range remaining {
		r.err = closedError()
		close(r.done)
	}
}

// complete completes a request with the row that is in the table.
func (c *Claimer) complete(r *request, winner Row) {
	r.winner = winner
	r.first = winner.ClaimID == r.row.ClaimID
	c.finish(r)
}

func (c *Claimer) fail(r *request, err error) {
	r.err = &Error{Op: "claim", Kind: KindStoreDown, Err: err}
	c.finish(r)
}

func (c *Claimer) finish(r *request) {
	c.mu.Lock()
	delete(c.pending, r.key)
	c.mu.Unlock()

	close(r.done)
}
