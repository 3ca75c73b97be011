package entry

import (
	"bytes"
	"errors"
	"io"
	"math/bits"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"foxtailmux/memory"
)

const (
	// freeLines is the number of lines of a request that need no room in the budget.
	freeLines = 64

	// lineBytes is the memory of a line of a header that was decoded: the entry for its name and value, and
	// the copies of both.
	lineBytes = 128
)

// Errors of requests that are not received whole.
var (
	errEvicted      = eris.New("the connection was closed in favour of another one")
	errBodyTooLarge = eris.New("the body is above the limit")
	errNoRoom       = eris.New("there is no memory left for the request")
)

// reserveLines reserves the memory of the lines in bytes that were read, before they are decoded.
func (c *arrivalConn) reserveLines(read []byte) error {
	c.lastLines = bytes.Count(read, []byte{'\n'})
	c.lines += c.lastLines
	if c.lines <= freeLines {
		return nil
	}
	wanted := int64(c.lines) * lineBytes
	if err := c.account.Grow(wanted - c.lineBytes); err != nil {
		return errNoRoom
	}
	c.lineBytes = wanted
	return nil
}

// releaseLines releases the memory of the lines of a request that was answered. Those that were read last
// may belong to the next request.
func (c *arrivalConn) releaseLines() {
	c.lines = c.lastLines
	var kept int64
	if c.lines > freeLines {
		kept = min(c.lineBytes, int64(c.lines)*lineBytes)
	}
	c.account.Shrink(c.lineBytes - kept)
	c.lineBytes = kept
}

// dropLargeHeader drops the decoded header of a request that was answered or refused, if it is large.
// Otherwise the server would keep its memory for the next request.
func dropLargeHeader(r *fasthttp.Request) {
	if bytes.Count(r.Header.RawHeaders(), []byte{'\n'}) > freeLines {
		r.Header = fasthttp.RequestHeader{}
	}
}

// reservation is the memory that a request has reserved in the account of its connection.
type reservation struct {
	account *memory.Account // nil if the connection has none
	bytes   int64
}

func reservationFor(conn net.Conn) *reservation {
	if c, ok := conn.(*arrivalConn); ok {
		return &reservation{account: c.account}
	}
	return &reservation{}
}

// grow reserves that many bytes in total, of which memory.FreeBytes are free. It never shrinks.
func (r *reservation) grow(total int64) error {
	more := total - r.bytes
	if r.account == nil || total <= memory.FreeBytes || more <= 0 {
		return nil
	}
	if err := r.account.Grow(more); err != nil {
		return errNoRoom
	}
	r.bytes = total
	return nil
}

func (r *reservation) release() {
	if r.account != nil {
		r.account.Shrink(r.bytes)
		r.bytes = 0
	}
}

// whole records that the request is whole, after which its connection is not closed in favour of another.
// It returns an error if that has happened before.
func (r *reservation) whole() error {
	if r.account != nil && !r.account.Change(memory.Receiving, memory.Serving) {
		return errEvicted
	}
	return nil
}

// Sizes of the buffers for bodies, which are powers of two.
const (
	minBodyBuffer = 1 << 9
	maxBodyBuffer = 1 << 20 // larger ones are not kept
)

// bodyBuffers keep buffers for later bodies, by the logarithm of their size. Without them, buffers of bodies
// that are never whole would be allocated faster than they are collected.
var bodyBuffers [21]sync.Pool

// newBodyBuffer returns an empty buffer of at least the given size.
func newBodyBuffer(size int) *[]byte {
	class := bits.Len(uint(max(size, minBodyBuffer) - 1))
	if class < len(bodyBuffers) {
		if kept, ok := bodyBuffers[class].Get().(*[]byte); ok {
			return kept
		}
	}
	buffer := make([]byte, 0, 1<<class)
	return &buffer
}

func keepBodyBuffer(buffer *[]byte) {
	if size := cap(*buffer); size <= maxBodyBuffer {
		*buffer = (*buffer)[:0]
		bodyBuffers[bits.Len(uint(size-1))].Put(buffer)
	}
}

// readBody reads the body of a request, of at most limit bytes, and reserves its memory piece by piece. A
// body that is announced as larger is not read. The buffer has to be passed to keepBodyBuffer after its last
// use, also after an error.
func readBody(c fiber.Ctx, limit int, held *reservation) (*[]byte, error) {
	stream := c.Request().BodyStream()
	announced := c.Request().Header.ContentLength()
	buffer := newBodyBuffer(min(max(announced+1, minBodyBuffer), memory.FreeBytes))
	if stream == nil {
		return buffer, nil
	}
	if announced > limit {
		return buffer, errBodyTooLarge
	}
	for {
		if len(*buffer) == cap(*buffer) {
			size := 2 * cap(*buffer)
			if err := held.grow(int64(cap(*buffer) + size)); err != nil { // both during the copy
				return buffer, err
			}
			grown := newBodyBuffer(size)
			*grown = append(*grown, *buffer...)
			keepBodyBuffer(buffer)
			buffer = grown
		}
		read := len(*buffer)
		n, err := stream.Read((*buffer)[read:cap(*buffer)])
		*buffer = (*buffer)[:read+n]
		if len(*buffer) > limit {
			return buffer, errBodyTooLarge
		}
		switch {
		case err == io.EOF:
			return buffer, nil
		case err != nil:
			return buffer, err
		}
	}
}

// refuseBody responds to a request whose body was not received whole. Nothing of it has run.
func (s *QueueServer) refuseBody(c fiber.Ctx, err error) error {
	c.Set(fiber.HeaderConnection, "close")
	var timeout net.Error
	switch {
	case errors.Is(err, errBodyTooLarge):
		return s.refuse(c, http.StatusRequestEntityTooLarge, err.Error(), 0)
	case errors.Is(err, errNoRoom), errors.Is(err, errEvicted):
		return s.refuse(c, http.StatusServiceUnavailable, errNoRoom.Error(), time.Second)
	case errors.As(err, &timeout) && timeout.Timeout():
		return s.refuse(c, http.StatusRequestTimeout, "the body did not arrive in time", 0)
	}
	return s.refuse(c, http.StatusBadRequest, "the body is not valid HTTP", 0)
}

// refuseUnreadable responds to a request whose header, or the first bytes of whose body, were not
// received.
func (s *QueueServer) refuseUnreadable(ctx *fasthttp.RequestCtx, err error) {
	status := http.StatusBadRequest
	var timeout net.Error
	switch {
	case errors.As(err, new(*fasthttp.ErrSmallBuffer)):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		status = http.StatusRequestTimeout
	case errors.Is(err, errNoRoom), errors.Is(err, errEvicted):
		status = http.StatusServiceUnavailable
		ctx.Response.Header.Set(fiber.HeaderRetryAfter, "1")
	}
	if line := s.refusals.next(status); line.logged {
		s.options.Log.Warn().Str("error", truncateError(err)).Int("status", status).Int("suppressed", line.suppressed).
			Msg("request refused by the HTTP library")
	}
	s.options.Observer.Refused("unreadable")
	ctx.Error(http.StatusText(status), status)
	ctx.Request.Header = fasthttp.RequestHeader{}
}

// maxLoggedErrorBytes is the length to which an error is truncated in the log, since it may quote a header.
const maxLoggedErrorBytes = 200

func truncateError(err error) string {
	text := err.Error()
	return text[:min(len(text), maxLoggedErrorBytes)]
}
