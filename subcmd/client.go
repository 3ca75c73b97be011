package subcmd

import (
	"context"
	"errors"
	"net"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"foxtailmux/setup"
)

const (
	dialTimeout      = 2 * time.Second
	maxResponseBytes = 256 << 20
)

// exchange is an HTTP request and, after send, the response to it.
type exchange struct {
	method  string
	path    string
	key     string
	body    []byte
	timeout time.Duration

	status   int
	response []byte
}

// dialError is the error of a connection that was not opened, so that no byte of the request
// was sent.
type dialError struct{ err error }

// Error returns the cause.
func (e *dialError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *dialError) Unwrap() error { return e.err }

// send sends the request at most once, to the first address that does not refuse the
// connection, and returns that address. If every address refuses it, send returns all of them.
func (x *exchange) send(ctx context.Context, addrs []string) (string, error) {
	var err error
	for _, addr := range addrs {
		if ctx.Err() != nil {
			return addr, &dialError{ctx.Err()}
		}

		err = x.sendTo(addr)
		if !errors.Is(err, syscall.ECONNREFUSED) || !notSent(err) {
			return addr, err
		}
	}
	return strings.Join(addrs, ","), err
}

// notSent reports whether err proves that no byte of the request was sent.
func notSent(err error) bool {
	var dial *dialError
	return errors.As(err, &dial)
}

func (x *exchange) sendTo(addr string) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)

	x.fillRequest(req, addr)
	client := x.httpClient(addr)
	defer client.CloseIdleConnections()
	if err := client.Do(req, resp); err != nil {
		return err
	}

	x.status = resp.StatusCode()
	x.response = slices.Clone(resp.Body())
	return nil
}

func (x *exchange) fillRequest(req *fasthttp.Request, addr string) {
	req.Header.SetMethod(x.method)
	req.SetRequestURI("http://" + addr + x.path)
	if x.key != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+x.key)
	}
	if x.body != nil {
		req.Header.SetContentType("application/json")
		req.SetBody(x.body)
	}
}

// httpClient returns a client that sends each request at most once.
func (x *exchange) httpClient(addr string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      addr,
		Dial:                      dial,
		ReadTimeout:               x.timeout,
		WriteTimeout:              x.timeout,
		MaxResponseBodySize:       maxResponseBytes,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
			return false, false
		},
	}
}

func dial(addr string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, &dialError{err}
	}
	return conn, nil
}

// splitAddrs returns the addresses, each IP:port, of a list separated by commas.
func splitAddrs(list string) ([]string, error) {
	var addrs []string
	for addr := range strings.SplitSeq(list, ",") {
		addr = strings.TrimSpace(addr)
		if err := setup.CheckDialAddr(addr); err != nil {
			return nil, eris.New(err.Error())
		}
		addrs = append(addrs, addr)
	}
	return addrs, nil
}
