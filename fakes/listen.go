package fakes

import (
	"net"
	"sync"
	"sync/atomic"
)

// listener accepts a limited number of connections. It can refuse new ones and
// turn the established ones into black holes.
type listener struct {
	addr           net.Addr
	maxConnections int

	mu       sync.Mutex
	changed  *sync.Cond
	inner    net.Listener
	refusing bool
	closed   bool
	conns    map[*conn]struct{}
}

// listen binds the address, or a free port of 127.0.0.1 if the address is empty.
// A limit of 0 accepts any number of connections.
func listen(addr string, limit int) (*listener, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	inner, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, &Error{Op: "listen", Kind: KindListen, Err: err}
	}

	l := &listener{addr: inner.Addr(), maxConnections: limit, inner: inner, conns: map[*conn]struct{}{}}
	l.changed = sync.NewCond(&l.mu)
	return l, nil
}

// Accept returns the next connection. It closes connections above the limit.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, ok := l.waitAccepting()
		if !ok {
			return nil, net.ErrClosed
		}
		accepted, err := inner.Accept()
		if err != nil {
			if l.replaced(inner) {
				continue
			}
			return nil, err
		}
		if c := l.track(accepted); c != nil {
			return c, nil
		}
		accepted.Close()
	}
}

// waitAccepting waits while the listener refuses connections. It returns false
// after Close.
func (l *listener) waitAccepting() (net.Listener, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.refusing && !l.closed {
		l.changed.Wait()
	}
	return l.inner, !l.closed
}

// replaced reports whether the listening socket was closed by setRefusing.
func (l *listener) replaced(inner net.Listener) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closed && (l.refusing || l.inner != inner)
}

// track registers a connection. It returns nil if the connection must be closed.
func (l *listener) track(accepted net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.refusing {
		return nil
	}
	if l.maxConnections > 0 && len(l.conns) >= l.maxConnections {
		return nil
	}
	c := &conn{Conn: accepted, owner: l}
	l.conns[c] = struct{}{}
	return c
}

func (l *listener) untrack(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// Close closes the listener. Connections stay open.
func (l *listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	l.changed.Broadcast()
	if l.refusing {
		return nil
	}
	return l.inner.Close()
}

// Addr returns the bound address.
func (l *listener) Addr() net.Addr {
	return l.addr
}

// setRefusing closes the listening socket if on is set, so that the kernel refuses new
// connections; else it binds the same address again.
func (l *listener) setRefusing(on bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || on == l.refusing {
		return nil
	}
	if on {
		l.refusing = true
		return l.inner.Close()
	}

	inner, err := net.Listen("tcp", l.addr.String())
	if err != nil {
		return &Error{Op: "listen again", Kind: KindListen, Err: err}
	}
	l.inner = inner
	l.refusing = false
	l.changed.Broadcast()
	return nil
}

// blackHole turns every established connection but the given one into a black
// hole.
func (l *listener) blackHole(except *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c != except {
			c.blackHole.Store(true)
		}
	}
}

// count returns the number of established connections.
func (l *listener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// conn is a connection that can become a black hole: it then discards the bytes
// that it receives and those that are written to it, without an error.
type conn struct {
	net.Conn
	owner     *listener
	blackHole atomic.Bool
	requests  atomic.Int64
	once      sync.Once
}

// Read reads from the connection. If the connection is a black hole, Read returns
// only when the connection fails.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.blackHole.Load() {
			return n, err
		}
	}
}

// Write writes to the connection. If the connection is a black hole, the bytes
// are dropped and reported as written.
func (c *conn) Write(b []byte) (int, error) {
	if c.blackHole.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.once.Do(func() { c.owner.untrack(c) })
	return c.Conn.Close()
}
