package worker

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// maxReplyBytes is the maximum size of the body of a worker's response.
const maxReplyBytes = 8 << 20

// conn is a kept-alive connection to a worker. It carries one request at a time.
type conn struct {
	net.Conn
	reader       *bufio.Reader
	writer       *bufio.Writer
	bytesWritten int64 // of the current request
	lastUsed     time.Time
}

func newConn(c net.Conn) *conn {
	k := &conn{Conn: c, lastUsed: time.Now()}
	k.reader = bufio.NewReader(c)
	k.writer = bufio.NewWriter(k)
	return k
}

// Write counts the bytes that the operating system has accepted.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytesWritten += int64(n)
	return n, err
}

// exchange sends the request and reads the response before the deadline. The kind of its
// error is KindNotSent if no byte of the request was written, else KindUnknown.
func (c *conn) exchange(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error {
	c.bytesWritten = 0
	if err := c.SetDeadline(deadline); err != nil {
		return &Error{Op: "set deadline", Kind: KindNotSent, Err: err}
	}

	if err := c.send(req); err != nil {
		return &Error{Op: "send", Kind: c.errorKind(), Err: err}
	}

	if err := resp.ReadLimitBody(c.reader, maxReplyBytes); err != nil {
		return &Error{Op: "receive", Kind: KindUnknown, Err: err}
	}

	c.lastUsed = time.Now()
	return nil
}

func (c *conn) send(req *fasthttp.Request) error {
	if err := req.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// errorKind classifies a failed write.
func (c *conn) errorKind() Kind {
	if c.bytesWritten == 0 {
		return KindNotSent
	}
	return KindUnknown
}

// usable reports whether an idle connection can carry another request: it was used within
// maxIdle, the worker did not close it, and no data arrived that no request asked for.
func (c *conn) usable(maxIdle time.Duration) bool {
	if time.Since(c.lastUsed) > maxIdle {
		return false
	}
	if c.reader.Buffered() > 0 {
		return false
	}
	return c.checkSocket() == nil
}

var errUnexpectedData = eris.New("the idle connection has data")

// checkSocket returns an error if the peer closed the connection or data arrived on it. It
// leaves the data in the socket's buffer. A connection without a socket, such as one of a
// test, passes.
func (c *conn) checkSocket() error {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}

	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}

	var state error
	err = raw.Read(func(fd uintptr) bool {
		state = peekSocket(int(fd))
		return true
	})
	if err != nil {
		return err
	}
	return state
}

// peekSocket checks a socket as checkSocket does, without blocking.
func peekSocket(fd int) error {
	var one [1]byte
	n, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err == syscall.EAGAIN || err == syscall.EWOULDBLOCK:
		return nil
	case err != nil:
		return err
	case n == 0:
		return net.ErrClosed
	default:
		return errUnexpectedData
	}
}
