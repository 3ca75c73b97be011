package worker

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"foxtailmux/model"
	"foxtailmux/pause"
)

const (
	statusPath = "/status"

	dialTimeout    = time.Second
	controlTimeout = 2 * time.Second

	// defaultMaxIdle holds for a client that is made before a configuration is
	// in force.
	defaultMaxIdle = 5 * time.Second

	// A connection that was idle for longer than probeAfter answers a request
	// for the status before it carries a start.
	probeAfter   = 100 * time.Millisecond
	probeTimeout = 200 * time.Millisecond

	// A worker that was not heard of for unheardAfter is asked for its status
	// before it gets a start, since it may be leaving.
	unheardAfter = time.Second

	// cancelGrace is how long a cancelled attempt may still report its outcome.
	cancelGrace = time.Second
)

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// DialTCP opens a TCP connection.
func DialTCP(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", addr)
}

// Client sends requests to one worker over kept connections. Every request is
// sent at most once.
type Client struct {
	addr    string
	dial    Dialer
	maxIdle time.Duration

	statusBytes atomic.Int64

	mu     sync.Mutex
	idle   []*conn
	open   int
	closed bool

	heard atomic.Int64 // when the worker last answered, in Unix nanoseconds
}

var errLeaving = eris.New("the worker is leaving")

// NewClient returns a client of the worker at addr. A connection that was
// idle for longer than maxIdle carries no further request; 0 takes a default.
func NewClient(addr string, dial Dialer, maxIdle time.Duration) *Client {
	if maxIdle <= 0 {
		maxIdle = defaultMaxIdle
	}
	return &Client{addr: addr, dial: dial, maxIdle: maxIdle}
}

// Start asks the worker to run one attempt and waits for its outcome until
// the context is done and the grace for a cancelled attempt has passed.
func (c *Client) Start(ctx context.Context, start model.StartRequest) (model.TaskReply, error) {
	var reply model.TaskReply

	body, err := json.Marshal(start)
	if err != nil {
		return reply, &Error{Op: "encode start", Kind: KindNotSent, Err: err}
	}

	stop := context.AfterFunc(ctx, func() { c.cancelQuietly(start.TaskID) })
	defer stop()

	deadline := time.Now().Add(time.Duration(start.LeaseMillis)*time.Millisecond + cancelGrace)
	err = c.do(ctx, fasthttp.MethodPost, "/tasks", body, &reply, deadline)
	if errors.Is(err, errLeaving) {
		return model.TaskReply{TaskID: start.TaskID, Outcome: model.OutcomeNotRun, Reason: errLeaving.Error(), Leaving: true}, nil
	}
	if err != nil {
		return reply, err
	}
	if reply.TaskID != start.TaskID {
		err := eris.Errorf("reply is for task %q, not %q", reply.TaskID, start.TaskID)
		return reply, &Error{Op: "check reply", Kind: KindUnknown, Err: err}
	}
	return reply, nil
}

// cancelQuietly sends a cancellation whose loss only costs the worker time.
func (c *Client) cancelQuietly(taskID string) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()

	_, _ = c.Cancel(ctx, taskID)
}

// Cancel asks the worker to stop a task.
func (c *Client) Cancel(ctx context.Context, taskID string) (model.CancelReply, error) {
	var reply model.CancelReply
	path := "/tasks/" + url.PathEscape(taskID)
	err := c.do(ctx, fasthttp.MethodDelete, path, nil, &reply, time.Now().Add(controlTimeout))
	return reply, err
}

// Status asks the worker for its load.
func (c *Client) Status(ctx context.Context) (model.WorkerStatus, error) {
	var reply model.WorkerStatus
	err := c.do(ctx, fasthttp.MethodGet, statusPath, nil, &reply, time.Now().Add(controlTimeout))
	return reply, err
}

// do sends a request at most once and decodes the reply to it.
func (c *Client) do(ctx context.Context, method, path string, body []byte, reply any, deadline time.Time) error {
	k, status, err := c.get(ctx)
	if err != nil {
		return err
	}
	if err := refuse(ctx, method, status); err != nil {
		c.put(k)
		return &Error{Op: "send", Kind: KindNotSent, Err: err}
	}
	return c.exchange(k, method, path, body, reply, deadline)
}

// refuse returns why a request must not be sent any more. The status is that
// of the worker if it was asked for.
func refuse(ctx context.Context, method string, status *model.WorkerStatus) error {
	if status != nil && status.Leaving && method == fasthttp.MethodPost {
		return errLeaving
	}
	return pause.Check(ctx)
}

func (c *Client) exchange(k *conn, method, path string, body []byte, reply any, deadline time.Time) error {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)

	c.fill(req, method, path, body)
	if err := k.exchange(req, resp, deadline); err != nil {
		c.drop(k, deadline)
		return err
	}
	if path == statusPath {
		c.countStatus(req, resp)
	}
	if err := json.Unmarshal(resp.Body(), reply); err != nil {
		c.discard(k)
		return &Error{Op: "decode reply", Kind: KindUnknown, Err: err}
	}

	c.heard.Store(time.Now().UnixNano())
	c.keep(k, resp.ConnectionClose())
	return nil
}

func (c *Client) fill(req *fasthttp.Request, method, path string, body []byte) {
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.Header.SetHost(c.addr)

	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
}
