package entry

import (
	"io"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"foxtailmux/memory"
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

// arrivalListener is a listener whose connections record when their requests began to arrive. Each of them
// has an account in the budget; the listener refuses those for which there is no place.
type arrivalListener struct {
	net.Listener
	pauses PauseSource
	budget *memory.Budget
}

// Accept returns the next connection, an *arrivalConn.
func (l arrivalListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		account := l.budget.Open(func() { _ = c.Close() })
		if account != nil {
			return &arrivalConn{Conn: c, raw: socket.Raw(c), pauses: l.pauses, account: account}, nil
		}
		refuseConnection(c)
	}
}

// noPlace is the response to a connection for which there is no place.
const noPlace = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refuseConnection responds to a new connection and closes it. The write does not block, as the send
// buffer of a new socket is empty.
func refuseConnection(c net.Conn) {
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c, noPlace) // the caller may have left already
	_ = c.Close()
}

// arrivalConn is a connection that is read and served by one goroutine.
type arrivalConn struct {
	net.Conn
	raw     syscall.RawConn // socket of Conn, nil if it has none
	pauses  PauseSource
	readAt  time.Time // when the bytes that were read last had arrived
	beganAt time.Time // when the request that was read last began to arrive

	account   *memory.Account
	lines     int   // read since the request began
	lastLines int   // read last, which may belong to the next request
	lineBytes int64 // reserved for lines
}

// SyscallConn returns the socket of the connection.
func (c *arrivalConn) SyscallConn() (syscall.RawConn, error) {
	if c.raw == nil {
		return nil, syscall.ENOTSOCK
	}
	return c.raw, nil
}

// Read records when the bytes had arrived, and reserves the memory of the lines among them.
func (c *arrivalConn) Read(p []byte) (int, error) {
	c.account.Change(memory.Serving, memory.Receiving) // the rest of a request that was answered before its end
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.readAt = time.Now().Add(-unreadTime(c.raw, c.pauses.Last()))
		if err := c.reserveLines(p[:n]); err != nil {
			return 0, err
		}
	}
	if err != nil && c.account.Phase() == memory.Evicted {
		err = errEvicted // so that the server drops the request, which it does not for a closed connection
	}
	return n, err
}

// Close closes the connection and its account.
func (c *arrivalConn) Close() error {
	err := c.Conn.Close()
	c.account.Close()
	return err
}

// recordState records the begin and the end of a request: a connection is active as soon as a byte of a
// request was read, which may have come with the bytes of the request before, and idle when its response
// was sent.
func recordState(conn net.Conn, state fasthttp.ConnState) {
	c, ok := conn.(*arrivalConn)
	if !ok {
		return
	}
	switch state {
	case fasthttp.StateActive:
		c.beganAt = c.readAt
		c.account.Change(memory.Idle, memory.Receiving)
	case fasthttp.StateIdle:
		c.releaseLines()
		_ = c.account.Change(memory.Serving, memory.Idle) || c.account.Change(memory.Receiving, memory.Idle)
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
