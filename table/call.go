package table

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

type request struct {
	op     string
	method string
	uri    string
	body   []byte
	etag   string // asks for a body only if its tag differs
}

type answer struct {
	status int
	etag   string
	body   []byte
	object bool
}

// dialError marks a failure to connect: no byte of the request left.
type dialError struct {
	err error
}

func (e *dialError) Error() string {
	return e.err.Error()
}

func (e *dialError) Unwrap() error {
	return e.err
}

func markDialErrors(dial fasthttp.DialFuncWithTimeout) fasthttp.DialFuncWithTimeout {
	return func(addr string, timeout time.Duration) (net.Conn, error) {
		conn, err := dial(addr, timeout)
		if err != nil {
			return nil, &dialError{err: err}
		}
		return conn, nil
	}
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
	return false, false
}

type outcome struct {
	answer answer
	err    error
}

// call sends a request once. The goroutine that sends owns the buffers of
// the request and the response, so that a caller whose context ends early
// leaves nothing behind that another call could read.
func (c *Client) call(ctx context.Context, r request) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()

	if err := c.acquire(ctx); err != nil {
		return answer{}, &Error{Op: r.op, Kind: KindNotSent, Err: err}
	}

	c.count(r.method)
	done := make(chan outcome, 1)
	go func() {
		defer c.release()
		a, err := c.exchange(ctx, r)
		done <- outcome{answer: a, err: err}
	}()

	select {
	case o := <-done:
		return o.answer, o.err
	case <-ctx.Done():
		return answer{}, &Error{Op: r.op, Kind: KindUnknown, Err: eris.Wrap(ctx.Err(), "wait for the answer")}
	}
}

func (c *Client) acquire(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return eris.Wrap(err, "before the request")
	}

	select {
	case c.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "wait for a free request slot")
	}
}

func (c *Client) release() {
	<-c.slots
}

func (c *Client) count(method string) {
	if method == http.MethodGet {
		c.reads.Add(1)
		return
	}
	c.writes.Add(1)
}

func (c *Client) exchange(ctx context.Context, r request) (answer, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)

	req.SetRequestURI("http://" + c.host.Addr + r.uri)
	req.Header.SetMethod(r.method)
	if r.etag != "" {
		req.Header.Set(fasthttp.HeaderIfNoneMatch, r.etag)
	}
	if r.body != nil {
		req.Header.SetContentType("application/json")
		req.SetBody(r.body)
	}

	deadline, _ := ctx.Deadline()
	err := c.host.DoDeadline(req, resp, deadline)
	if err != nil {
		c.dropSilent(err)
		return answer{}, &Error{Op: r.op, Kind: sendKind(err), Err: eris.Wrap(err, r.method)}
	}

	c.OnBytes(r.uri, len(req.Header.Header())+len(r.body)+len(resp.Header.Header())+len(resp.Body()))
	return answer{
		status: resp.StatusCode(),
		etag:   string(resp.Header.Peek(fasthttp.HeaderETag)),
		body:   append([]byte(nil), resp.Body()...),
		object: strings.HasPrefix(r.uri, ObjectsPath),
	}, nil
}

func sendKind(err error) Kind {
	var failed *dialError
	if errors.As(err, &failed) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return KindNotSent
	}
	return KindUnknown
}

// dropSilent closes the idle connections after a timeout: what silenced one
// of them may have silenced all.
func (c *Client) dropSilent(err error) {
	var failure net.Error
	if errors.As(err, &failure) && failure.Timeout() {
		c.host.CloseIdleConnections()
	}
}
