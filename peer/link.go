package peer

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// link keeps the outgoing connection to one peer. Its goroutine dials, probes
// and closes; calls ask it for a connection when the present one is stale.
type link struct {
	id      string
	addr    string
	options *Options

	present atomic.Pointer[conn]
	wanted  chan chan<- lease
	slots   chan struct{} // one for each open call
	cancel  context.CancelFunc
	done    chan struct{}

	checks    *time.Ticker // runs while there is a connection
	backoff   time.Duration
	notBefore time.Time
	failure   error
}

// lease is the answer to a call that wants a connection.
type lease struct {
	conn *conn
	err  error
}

func newLink(id, addr string, o *Options, cancel context.CancelFunc) *link {
	return &link{
		id:      id,
		addr:    addr,
		options: o,
		wanted:  make(chan chan<- lease),
		slots:   make(chan struct{}, o.MaxOpenCalls),
		cancel:  cancel,
		done:    make(chan struct{}),
	}
}

func (l *link) run(ctx context.Context) {
	defer close(l.done)
	defer l.drop()

	l.checks = time.NewTicker(l.options.ProbeInterval)
	l.checks.Stop()
	defer l.checks.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case reply := <-l.wanted:
			c, err := l.fresh(ctx)
			reply <- lease{conn: c, err: err}
		case <-l.checks.C:
			l.check(ctx)
		}
	}
}

// get returns a connection that spoke lately.
func (l *link) get(ctx context.Context) (*conn, error) {
	if c := l.present.Load(); c != nil && c.usable() {
		return c, nil
	}

	reply := make(chan lease, 1)
	select {
	case l.wanted <- reply:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.done:
		return nil, errClosed
	}

	select {
	case granted := <-reply:
		return granted.conn, granted.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.done:
		return nil, errClosed
	}
}

// getUnproven returns the open connection, however long it was silent.
func (l *link) getUnproven(ctx context.Context) (*conn, error) {
	if c := l.present.Load(); c != nil && !c.closed() {
		return c, nil
	}
	return l.get(ctx)
}

// fresh probes the present connection, and dials a new one if it is dead.
func (l *link) fresh(ctx context.Context) (*conn, error) {
	c := l.present.Load()
	if c != nil && c.usable() {
		return c, nil
	}
	if c != nil && !c.closed() && l.alive(ctx, c) {
		return c, nil
	}

	l.drop()
	return l.connect(ctx)
}

// check replaces a connection that the other end closed, and one that calls
// wait on and that does not answer. A failure tells that the peer is gone.
func (l *link) check(ctx context.Context) {
	c := l.present.Load()
	if c == nil || !l.broken(ctx, c) {
		return
	}

	l.drop()
	if !c.stream.expired.Load() {
		_, _ = l.connect(ctx)
	}
}

func (l *link) broken(ctx context.Context, c *conn) bool {
	if c.closed() {
		return true
	}
	if c.usable() || c.open.Load() == 0 {
		return false
	}
	return !l.alive(ctx, c)
}

func (l *link) alive(ctx context.Context, c *conn) bool {
	_, err := c.ping(ctx)
	return err == nil
}

func (l *link) drop() {
	if c := l.present.Swap(nil); c != nil {
		c.close()
	}
	l.checks.Stop()
}

func (l *link) connect(ctx context.Context) (*conn, error) {
	if time.Now().Before(l.notBefore) {
		return nil, eris.Wrap(l.failure, "waiting to reconnect")
	}

	c, err := l.dial(ctx)
	if err != nil {
		l.delay(err)
		l.report(ctx, false)
		return nil, err
	}
	l.backoff = 0
	l.present.Store(c)
	l.checks.Reset(l.options.ProbeInterval)
	l.report(ctx, true)
	return c, nil
}

// report tells whether the peer was reached, unless the link is at its end.
func (l *link) report(ctx context.Context, reached bool) {
	if ctx.Err() == nil {
		l.options.OnConnectResult(l.id, reached)
	}
}

// dial connects and makes sure that the expected peer answers. An id that
// equals the address accepts any peer.
func (l *link) dial(ctx context.Context) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, l.options.DialTimeout)
	defer cancel()

	raw, err := l.options.Dial(dialCtx, l.addr)
	if err != nil {
		return nil, eris.Wrapf(err, "dial %s", l.addr)
	}

	c := newConn(ctx, raw, l.options, l.id)
	found, err := c.ping(ctx)
	if err != nil {
		c.close()
		return nil, eris.Wrapf(err, "greet %s", l.addr)
	}
	if l.id != l.addr && found.ID != l.id {
		c.close()
		return nil, eris.Errorf("%s answers as %q, not as %q", l.addr, found.ID, l.id)
	}
	return c, nil
}

// delay doubles the time to the next dial and draws it from the upper half.
func (l *link) delay(err error) {
	l.backoff = min(max(2*l.backoff, l.options.MinBackoff), l.options.MaxBackoff)
	half := l.backoff / 2
	l.notBefore = time.Now().Add(half + rand.N(half+1))
	l.failure = err
}
