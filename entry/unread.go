package entry

import (
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"foxtailmux/pause"
	"foxtailmux/socket"
)

const (
	// unreadWindow is the time after a pause of the process within which the requests that arrived
	// during the pause are read. It is used where the socket does not tell when they arrived.
	unreadWindow = 300 * time.Millisecond

	// socketClockStep is the resolution of the time that a socket tells.
	socketClockStep = 10 * time.Millisecond
)

// PauseSource reports the latest pause of the process.
type PauseSource interface {
	Last() pause.Pause
}

// unreadTime returns how long a request that was just read may have waited in its socket, which is
// nil if there is none. Used after a pause of the process: the caller of a request from before may
// have submitted its job elsewhere in the meantime.
func unreadTime(conn syscall.RawConn, last pause.Pause) time.Duration {
	unread := socket.SinceLastBytes(conn)
	if last.Length == 0 {
		return unread
	}
	sinceEnd := time.Since(last.EndedAt)
	switch {
	case unread > 0 && unread+socketClockStep >= sinceEnd:
		return unread + last.Suspended // which the clock of the socket does not count
	case unread > 0, sinceEnd > unreadWindow:
		return unread
	}
	return sinceEnd + last.Length
}

// arrivalListener is a listener whose connections record when their requests began to arrive.
type arrivalListener struct {
	net.Listener
	pauses PauseSource
}

// Accept returns the next connection, an *arrivalConn.
func (l arrivalListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &arrivalConn{Conn: c, raw: socket.Raw(c), pauses: l.pauses}, nil
}

// arrivalConn is a connection that is read and served by one goroutine.
type arrivalConn struct {
	net.Conn
	raw     syscall.RawConn // socket of Conn, nil if it has none
	pauses  PauseSource
	readAt  time.Time // when the bytes that were read last had arrived
	beganAt time.Time // when the request that was read last began to arrive
}

// SyscallConn returns the socket of the connection.
func (c *arrivalConn) SyscallConn() (syscall.RawConn, error) {
	if c.raw == nil {
		return nil, syscall.ENOTSOCK
	}
	return c.raw, nil
}

// Read records when the bytes had arrived.
func (c *arrivalConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.readAt = time.Now().Add(-unreadTime(c.raw, c.pauses.Last()))
	}
	return n, err
}

// recordState records the begin of a request: a connection is active as soon as a byte of a request was
// read, which may have come with the bytes of the request before.
func recordState(conn net.Conn, state fasthttp.ConnState) {
	if c, ok := conn.(*arrivalConn); ok && state == fasthttp.StateActive {
		c.beganAt = c.readAt
	}
}

// requestAge returns the time since the request that is being served on a connection began to arrive.
func requestAge(conn net.Conn) time.Duration {
	c, ok := conn.(*arrivalConn)
	if !ok {
		return 0
	}
	return max(unreadTime(c.raw, c.pauses.Last()), time.Since(c.beganAt))
}
