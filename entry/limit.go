package entry

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"foxtailmux/model"
)

// refusalTimeout bounds the time for writing a refusal to a new connection.
const refusalTimeout = 100 * time.Millisecond

// limitListener is a listener that writes a refusal to the connections above a limit
// and closes them.
type limitListener struct {
	net.Listener
	limit    int
	refused  func()       // called for each refused connection
	response []byte       // the refusal
	open     atomic.Int64 // accepted connections that are not closed yet
}

func newLimitListener(l net.Listener, limit int, refused func()) *limitListener {
	return &limitListener{Listener: l, limit: limit, refused: refused, response: tooManyConnections()}
}

// tooManyConnections returns the HTTP response to a connection above the limit.
func tooManyConnections() []byte {
	a := refuse(model.FailOverloaded, "too many connections are open on this instance")
	a.Error.RetryAfterMillis = overloadRetryDelay.Milliseconds()
	body, err := json.Marshal(a)
	if err != nil {
		panic(err) // the fields can always be encoded
	}

	head := "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
	status := http.StatusServiceUnavailable
	return append(fmt.Appendf(nil, head, status, http.StatusText(status), len(body)), body...)
}

// Accept returns the next connection within the limit. It refuses those above the
// limit that arrive before.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= int64(l.limit) {
			return &limitedConn{Conn: accepted, listener: l}, nil
		}
		l.open.Add(-1)
		l.refuse(accepted)
	}
}

// refuse writes the refusal and closes the connection. The write does not block the
// accept loop, as the send buffer of a new socket is empty.
func (l *limitListener) refuse(conn net.Conn) {
	l.refused()
	_ = conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = conn.Write(l.response) // the caller may have disconnected already
	_ = conn.Close()
}

// limitedConn is a connection that counts against the limit until it is closed.
type limitedConn struct {
	net.Conn
	listener *limitListener
	once     sync.Once
}

// Close closes the connection.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}

// SyscallConn returns the raw connection, or an *Error if the connection has no
// socket.
func (c *limitedConn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, &Error{Op: "reach socket", Kind: KindServe, Err: eris.Errorf("%T has no socket", c.Conn)}
	}
	return socket.SyscallConn()
}
