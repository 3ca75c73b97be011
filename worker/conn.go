package worker

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// maxReplyBytes bounds the body of a worker's reply.
const maxReplyBytes = 8 << 20

// conn is one kept connection to a worker. It carries one request at a time.
type conn struct {
	net.Conn
	reader   *bufio.Reader
	writer   *bufio.Writer
	written  int64
	lastUsed time.Time
}

func newConn(c net.Conn) *conn {
	k := &conn{Conn: c, lastUsed: time.Now()}
	k.reader = bufio.NewReader(c)
	k.writer = bufio.NewWriter(k)
	return k
}

// Write counts the bytes that the operating system took.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// exchange sends the request and reads the response before the deadline. The
// kind of its error tells whether a byte of the request left.
func (c *conn) exchange(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error {
	c.written = 0
	if err := c.SetDeadline(deadline); err != nil {
		return &Error{Op: "set deadline", Kind: KindNotSent, Err: err}
	}

	if err := c.send(req); err != nil {
		return &Error{Op: "send", Kind: c.kindAfterWrite(), Err: err}
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

func (c *conn) kindAfterWrite() Kind {
	if c.written == 0 {
		return KindNotSent
	}
	return KindUnknown
}

// alive reports whether an idle connection may carry another request: it was
// used lately and the worker neither closed it nor sent something unasked.
func (c *conn) alive(maxIdle time.Duration) bool {
	if time.Since(c.lastUsed) > maxIdle {
		return false
	}
	if c.reader.Buffered() > 0 {
		return false
	}
	return c.peek() == nil
}

var errUnasked = eris.New("the idle connection has data")

// peek looks at the socket without taking a byte from it.
func (c *conn) peek() error {
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
		return errUnasked
	}
}
