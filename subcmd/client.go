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

// exchange is one HTTP request and, after send, its response.
type exchange struct {
	method  string
	path    string
	key     string
	body    []byte
	timeout time.Duration

	status   int
	response []byte
}

// dialError tells that no connection was made, so that nothing was sent.
type dialError struct{ err error }

// Error returns the cause.
func (e *dialError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *dialError) Unwrap() error { return e.err }

// send sends the request once, to the first address that does not refuse the
// connection, and returns that address.
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

func notSent(err error) bool {
	var dial *dialError
	return errors.As(err, &dial)
}

func (x *exchange) sendTo(addr string) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)

	x.fill(req, addr)
	client := x.client(addr)
	defer client.CloseIdleConnections()
	if err := client.Do(req, resp); err != nil {
		return err
	}

	x.status = resp.StatusCode()
	x.response = slices.Clone(resp.Body())
	return nil
}

func (x *exchange) fill(req *fasthttp.Request, addr string) {
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

// client returns a client that sends each request at most once.
func (x *exchange) client(addr string) *fasthttp.HostClient {
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

// splitAddrs returns the addresses of a list separated by commas.
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
