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
	etag   string // if set, a body is requested only if its entity tag differs
}

type response struct {
	status   int
	etag     string
	body     []byte
	isObject bool
}

// dialError marks a failure to connect. No byte of the request was sent.
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

type result struct {
	response response
	err      error
}

// call sends a request once. The sending goroutine owns the pooled buffers of the
// request and the response until it ends, so that a call whose context ends early
// does not release buffers that are still in use to another call.
func (c *Client) call(ctx context.Context, r request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()

	if err := c.acquire(ctx); err != nil {
		return response{}, &Error{Op: r.op, Kind: KindNotSent, Err: err}
	}

	c.countRequest(r.method)
	done := make(chan result, 1)
	go func() {
		defer c.release()
		resp, err := c.roundTrip(ctx, r)
		done <- result{response: resp, err: err}
	}()

	select {
	case res := <-done:
		return res.response, res.err
	case <-ctx.Done():
		return response{}, &Error{Op: r.op, Kind: KindUnknown, Err: eris.Wrap(ctx.Err(), "wait for the answer")}
	}
}

func (c *Client) acquire(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return eris.Wrap(err, "before the request")
	}

	select {
	case c.inFlight <- struct{}{}:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "wait for a free request slot")
	}
}

func (c *Client) release() {
	<-c.inFlight
}

func (c *Client) countRequest(method string) {
	if method == http.MethodGet {
		c.reads.Add(1)
		return
	}
	c.writes.Add(1)
}

func (c *Client) roundTrip(ctx context.Context, r request) (response, error) {
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
		c.closeIdleAfterTimeout(err)
		return response{}, &Error{Op: r.op, Kind: sendErrorKind(err), Err: eris.Wrap(err, r.method)}
	}

	c.OnBytes(r.uri, len(req.Header.Header())+len(r.body)+len(resp.Header.Header())+len(resp.Body()))
	return response{
		status:   resp.StatusCode(),
		etag:     string(resp.Header.Peek(fasthttp.HeaderETag)),
		body:     append([]byte(nil), resp.Body()...),
		isObject: strings.HasPrefix(r.uri, ObjectsPath),
	}, nil
}

// sendErrorKind returns KindNotSent if the request can't have left this process,
// that is if there was no connection for it.
func sendErrorKind(err error) Kind {
	var dialFailure *dialError
	if errors.As(err, &dialFailure) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return KindNotSent
	}
	return KindUnknown
}

// closeIdleAfterTimeout closes the idle connections after a timeout, since whatever
// made one connection unresponsive may affect all of them.
func (c *Client) closeIdleAfterTimeout(err error) {
	var failure net.Error
	if errors.As(err, &failure) && failure.Timeout() {
		c.host.CloseIdleConnections()
	}
}
