package peer

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// link maintains the outgoing connection to one peer. Its goroutine dials, probes and
// closes connections. A call uses the current connection, and requests one from the
// goroutine if the current one needs a probe or is closed.
type link struct {
	id      string
	addr    string
	options *Options

	current   atomic.Pointer[conn]
	requests  chan chan<- connResult
	openCalls chan struct{} // one element for each open call
	cancel    context.CancelFunc
	done      chan struct{}

	// Used by the goroutine of the link only.
	checks    *time.Ticker // runs while there is a connection
	backoff   time.Duration
	nextDial  time.Time // earliest time of the next dial after a failed one
	lastError error     // of the last failed dial
}

// connResult is the response to the request for a connection.
type connResult struct {
	conn *conn
	err  error
}

func newLink(id, addr string, o *Options, cancel context.CancelFunc) *link {
	return &link{
		id:        id,
		addr:      addr,
		options:   o,
		requests:  make(chan chan<- connResult),
		openCalls: make(chan struct{}, o.MaxOpenCalls),
		cancel:    cancel,
		done:      make(chan struct{}),
	}
}

func (l *link) run(ctx context.Context) {
	defer close(l.done)
	defer l.disconnect()

	l.checks = time.NewTicker(l.options.ProbeInterval)
	l.checks.Stop()
	defer l.checks.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case reply := <-l.requests:
			c, err := l.probeOrConnect(ctx)
			reply <- connResult{conn: c, err: err}
		case <-l.checks.C:
			l.check(ctx)
		}
	}
}

// probedConn returns a connection that has received bytes within the last ProbeInterval.
func (l *link) probedConn(ctx context.Context) (*conn, error) {
	if c := l.current.Load(); c != nil && c.usable() {
		return c, nil
	}

	reply := make(chan connResult, 1)
	select {
	case l.requests <- reply:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.done:
		return nil, errClosed
	}

	select {
	case result := <-reply:
		return result.conn, result.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-l.done:
		return nil, errClosed
	}
}

// connWithoutProbe returns the open connection, however long it was idle, or a new one if
// none is open.
func (l *link) connWithoutProbe(ctx context.Context) (*conn, error) {
	if c := l.current.Load(); c != nil && !c.closed() {
		return c, nil
	}
	return l.probedConn(ctx)
}

// probeOrConnect probes the current connection if it was idle, and opens a new one if
// the probe fails or the connection is closed.
func (l *link) probeOrConnect(ctx context.Context) (*conn, error) {
	c := l.current.Load()
	if c != nil && c.usable() {
		return c, nil
	}
	if c != nil && !c.closed() {
		if l.isAlive(ctx, c) {
			return c, nil
		}
		c.stream.discardUnsent()
	}

	l.disconnect()
	return l.connect(ctx)
}

// check replaces a connection that the peer closed, and a connection with open calls
// that does not respond to a probe. If no new connection can be opened, OnConnectResult
// reports the peer as unreachable. A connection that timed out because it was idle is
// not replaced before the next call. While the connection is used, check reads the peer's
// clock again.
func (l *link) check(ctx context.Context) {
	c := l.current.Load()
	if c == nil {
		return
	}
	if !l.isBroken(ctx, c) {
		l.readClock(ctx, c)
		return
	}

	c.stream.discardUnsent()
	l.disconnect()
	if !c.stream.idleTimedOut.Load() {
		_, _ = l.connect(ctx)
	}
}

func (l *link) isBroken(ctx context.Context, c *conn) bool {
	if c.closed() {
		return true
	}
	if c.usable() || c.open.Load() == 0 {
		return false
	}
	return !l.isAlive(ctx, c)
}

// readClock reads the peer's clock if that is due and the connection is used. On an idle one, the probe
// before the next call reads it.
func (l *link) readClock(ctx context.Context, c *conn) {
	if !c.usable() || !c.clockIsDue() {
		return
	}
	if _, err := c.ping(ctx); err != nil {
		l.options.Log.Debug().Err(err).Str("peer", l.id).Msg("clock not read") // check decides whether it is broken
	}
}

func (l *link) isAlive(ctx context.Context, c *conn) bool {
	_, err := c.ping(ctx)
	return err == nil
}

func (l *link) disconnect() {
	if c := l.current.Swap(nil); c != nil {
		c.close()
	}
	l.checks.Stop()
}

func (l *link) connect(ctx context.Context) (*conn, error) {
	if time.Now().Before(l.nextDial) {
		return nil, eris.Wrap(l.lastError, "waiting to reconnect")
	}

	c, err := l.dial(ctx)
	if err != nil {
		l.delayNextDial(err)
		l.reportConnectResult(ctx, false)
		return nil, err
	}
	l.backoff = 0
	l.current.Store(c)
	l.checks.Reset(l.options.ProbeInterval)
	l.reportConnectResult(ctx, true)
	return c, nil
}

// reportConnectResult calls OnConnectResult, unless the link is being closed.
func (l *link) reportConnectResult(ctx context.Context, connected bool) {
	if ctx.Err() == nil {
		l.options.OnConnectResult(l.id, connected)
	}
}

// dial opens a connection and verifies the id of the instance at the other end. An id
// that equals the address accepts any instance.
func (l *link) dial(ctx context.Context) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, l.options.DialTimeout)
	defer cancel()

	raw, err := l.options.Dial(dialCtx, l.addr)
	if err != nil {
		return nil, eris.Wrapf(err, "dial %s", l.addr)
	}

	c := newConn(ctx, raw, l.options)
	remote, err := c.ping(ctx)
	if err != nil {
		c.close()
		return nil, eris.Wrapf(err, "ping %s", l.addr)
	}
	if l.id != l.addr && remote.ID != l.id {
		c.close()
		return nil, eris.Errorf("the instance at %s has the id %q, want %q", l.addr, remote.ID, l.id)
	}
	remote.ID = l.id // OnActivity names the peer as SetPeer did, which may be by its address
	c.stream.remote.Store(&remote)
	c.stream.reportActivity(c.stream.lastReadAt.Load())
	return c, nil
}

// delayNextDial doubles the backoff up to MaxBackoff. The delay is drawn from the upper
// half of the backoff, so that instances do not redial a restarted peer all at once.
func (l *link) delayNextDial(err error) {
	l.backoff = min(max(2*l.backoff, l.options.MinBackoff), l.options.MaxBackoff)
	half := l.backoff / 2
	l.nextDial = time.Now().Add(half + rand.N(half+1))
	l.lastError = err
}
