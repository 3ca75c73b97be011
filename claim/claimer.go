// Package claim makes callers' idempotency keys unique across all instances:
// the first submission with a key inserts a row in the platform's table that
// names the job, and every later one is pointed to that job.
//
// A claim whose transaction ended unknown may take effect although its
// submission was told that the store is down. The row then names an id that
// was minted and not used. The id's minter still holds it as unused, so the
// next submission with the key finds the row, goes to the minter and begins
// the job there as the first. The key is blocked only once the minter has
// forgotten the id.
package claim

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"foxtailmux/table"
)

// Table is the part of the platform's table that claims need. An error that
// is a *table.Error of KindNotSent or KindRefused proves that a transaction
// had no effect; after any other it may have had one.
type Table interface {
	Get(ctx context.Context, key string) (table.Row, error)
	Commit(ctx context.Context, t table.Transaction) (table.CommitResult, error)
}

// Options adjust a Claimer. Interval returns the shortest time between the
// starts of two transactions.
type Options struct {
	Interval    func() time.Duration
	MaxRows     int           // rows in a transaction; 0 takes 100
	MaxPending  int           // keys queued or in flight; 0 means 10,000
	Timeout     time.Duration // for each call to the table; 0 takes 2 s
	MaxAttempts int           // transactions without a usable outcome for a claim; 0 takes 4
}

const (
	defaultMaxRows     = 100
	defaultMaxWaiting  = 10_000
	defaultTimeout     = 2 * time.Second
	defaultMaxAttempts = 4
)

func (o Options) withDefaults() Options {
	if o.MaxRows == 0 {
		o.MaxRows = defaultMaxRows
	}
	if o.MaxPending == 0 {
		o.MaxPending = defaultMaxWaiting
	}
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	if o.MaxAttempts == 0 {
		o.MaxAttempts = defaultMaxAttempts
	}
	return o
}

// Claim names the job of a key. First tells that this call claimed it.
type Claim struct {
	JobID string
	First bool
}

// Claimer groups the claims of one instance into transactions, of which one
// is in flight at a time.
type Claimer struct {
	table   Table
	options Options
	ctx     context.Context
	stop    context.CancelFunc
	done    chan struct{}
	wake    chan struct{}

	mu      sync.Mutex
	queue   []*request
	waiting map[string]*request // queued or in flight, by row key
	closed  bool
}

// New returns a running Claimer.
func New(t Table, o Options) *Claimer {
	ctx, stop := context.WithCancel(context.Background())
	c := &Claimer{
		table:   t,
		options: o.withDefaults(),
		ctx:     ctx,
		stop:    stop,
		done:    make(chan struct{}),
		wake:    make(chan struct{}, 1),
		waiting: make(map[string]*request),
	}
	go c.run()
	return c
}

// Close ends the Claimer. Claims that wait get KindClosed.
func (c *Claimer) Close() { c.stop() }

// Done is closed when the last transaction has ended.
func (c *Claimer) Done() <-chan struct{} { return c.done }

// request is one row to insert and all who wait for it.
type request struct {
	key     string
	row     Row
	sent    bool // in a transaction that settled other rows only
	failed  int  // transactions without a usable outcome
	waiters int  // guarded by Claimer.mu
	done    chan struct{}

	// Set before done is closed.
	holder Row
	first  bool
	err    error
}

// Claim claims the team's key for the job, or finds who did. The digest
// stands for the job's content. The kinds of errors are those of the package.
func (c *Claimer) Claim(ctx context.Context, team, key, digest, jobID string) (Claim, error) {
	r, founder, err := c.enqueue(rowKey(team, key), digest, jobID)
	if err != nil {
		return Claim{}, err
	}

	select {
	case <-r.done:
	case <-ctx.Done():
		c.leave(r)
		return Claim{}, &Error{Op: "claim", Kind: KindContextEnded, Err: eris.Wrap(ctx.Err(), "the claim is not settled")}
	}

	if r.err != nil {
		return Claim{}, r.err
	}
	if r.holder.Digest != digest {
		return Claim{}, &Error{Op: "claim", Kind: KindConflict, Err: eris.Errorf("the key belongs to job %s, which differs", r.holder.JobID)}
	}
	return Claim{JobID: r.holder.JobID, First: founder && r.first}, nil
}

// enqueue adds a request, or joins one for the same row.
func (c *Claimer) enqueue(key, digest, jobID string) (r *request, founder bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.closed {
		return nil, false, closed()
	}
	if r := c.waiting[key]; r != nil {
		r.waiters++
		return r, false, nil
	}
	if len(c.waiting) >= c.options.MaxPending {
		return nil, false, &Error{Op: "claim", Kind: KindStoreDown, Err: eris.Errorf("%d claims wait for the table", len(c.waiting))}
	}

	row := Row{ClaimID: newID(), JobID: jobID, Digest: digest, ClaimedAt: time.Now()}
	r = &request{key: key, row: row, waiters: 1, done: make(chan struct{})}
	c.queue = append(c.queue, r)
	c.waiting[key] = r
	c.signal()
	return r, true, nil
}

func (c *Claimer) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func closed() error {
	return &Error{Op: "claim", Kind: KindClosed, Err: eris.New("the claimer was closed")}
}

// leave drops the caller's interest. A request that nobody waits for is not
// sent.
func (c *Claimer) leave(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()

	r.waiters--
}

func (c *Claimer) run() {
	defer close(c.done)
	defer c.end()

	for {
		select {
		case <-c.wake:
		case <-c.ctx.Done():
			return
		}

		if c.ctx.Err() != nil {
			return
		}
		started := time.Now()
		if group := c.take(); len(group) > 0 {
			c.settle(group)
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

// take removes the next group from the queue. Requests that were sent before
// go without new ones, whose conflicts would delay them again.
func (c *Claimer) take() []*request {
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
			delete(c.waiting, r.key)
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

// again queues requests whose rows were not written, ahead of newer ones.
func (c *Claimer) again(group []*request) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.queue = append(slices.Clip(group), c.queue...)
	if len(c.queue) > 0 {
		c.signal()
	}
}

// retry queues requests whose transaction had no usable outcome, and fails
// those that had too many such.
func (c *Claimer) retry(group []*request) {
	var rest []*request
	for _, r := range group {
		r.failed++
		if r.failed < c.options.MaxAttempts {
			rest = append(rest, r)
			continue
		}
		c.fail(r, eris.Errorf("not settled by %d transactions", r.failed))
	}
	c.again(rest)
}

// end fails what still waits.
func (c *Claimer) end() {
	c.mu.Lock()
	c.closed = true
	left := c.waiting
	c.waiting = nil
	c.mu.Unlock()

	for _, r := range left {
		r.err = closed()
		close(r.done)
	}
}

// decide tells the waiters whose row it is.
func (c *Claimer) decide(r *request, holder Row) {
	r.holder = holder
	r.first = holder.ClaimID == r.row.ClaimID
	c.finish(r)
}

func (c *Claimer) fail(r *request, err error) {
	r.err = &Error{Op: "claim", Kind: KindStoreDown, Err: err}
	c.finish(r)
}

func (c *Claimer) finish(r *request) {
	c.mu.Lock()
	delete(c.waiting, r.key)
	c.mu.Unlock()

	close(r.done)
}
