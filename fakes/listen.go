package fakes

import (
	"net"
	"sync"
	"sync/atomic"
)

// listener accepts connections up to a limit, can refuse new ones and can
// make the established ones silent.
type listener struct {
	addr  net.Addr
	limit int

	mu       sync.Mutex
	changed  *sync.Cond
	inner    net.Listener
	refusing bool
	closed   bool
	conns    map[*conn]struct{}
}

// listen binds the address. A limit of 0 accepts any number of connections.
func listen(addr string, limit int) (*listener, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	inner, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, &Error{Op: "listen", Kind: KindListen, Err: err}
	}

	l := &listener{addr: inner.Addr(), limit: limit, inner: inner, conns: map[*conn]struct{}{}}
	l.changed = sync.NewCond(&l.mu)
	return l, nil
}

// Accept returns the next connection within the limit; it closes those above.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, ok := l.current()
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

// current waits while the listener refuses connections. It returns false
// after Close.
func (l *listener) current() (net.Listener, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.refusing && !l.closed {
		l.changed.Wait()
	}
	return l.inner, !l.closed
}

func (l *listener) replaced(inner net.Listener) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closed && (l.refusing || l.inner != inner)
}

func (l *listener) track(accepted net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.refusing {
		return nil
	}
	if l.limit > 0 && len(l.conns) >= l.limit {
		return nil
	}
	c := &conn{Conn: accepted, owner: l}
	l.conns[c] = struct{}{}
	return c
}

func (l *listener) forget(c *conn) {
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

// refuse makes the kernel refuse new connections, or accept them again on
// the same address.
func (l *listener) refuse(on bool) error {
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

// silence makes every established connection but the given one silent.
func (l *listener) silence(except *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c != except {
			c.silent.Store(true)
		}
	}
}

// count returns the number of established connections.
func (l *listener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// conn is a connection that can go silent: it then swallows what arrives and
// drops what is written.
type conn struct {
	net.Conn
	owner    *listener
	silent   atomic.Bool
	requests atomic.Int64
	once     sync.Once
}

// Read reads from the connection. While the connection is silent it returns
// only when the connection fails.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write writes to the connection. While the connection is silent the bytes
// are dropped and reported as written.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.once.Do(func() { c.owner.forget(c) })
	return c.Conn.Close()
}
