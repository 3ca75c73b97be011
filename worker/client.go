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

	// defaultMaxIdle applies to a client that is created before a configuration is in
	// force.
	defaultMaxIdle = 5 * time.Second

	// A connection that was idle for longer than probeIdleAfter is probed with a request
	// for the worker's status before it is used again.
	probeIdleAfter = 100 * time.Millisecond
	probeTimeout   = 200 * time.Millisecond

	// A worker whose last response is older than maxResponseAge is asked for its status
	// before a request on a new connection, since it may be leaving.
	maxResponseAge = time.Second

	// cancelGrace is how long after the end of an attempt's lease the worker may still
	// report the outcome, also of an attempt that was cancelled.
	cancelGrace = time.Second
)

// Dialer opens a connection to an address of the form IP:port.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// DialTCP opens a TCP connection within dialTimeout.
func DialTCP(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", addr)
}

// Client sends requests to one worker over a pool of kept-alive HTTP connections. It sends
// every request at most once, so that no task is started twice by a retry. It is safe for
// concurrent use.
type Client struct {
	addr    string
	dial    Dialer
	maxIdle time.Duration

	statusBytes atomic.Int64

	mu     sync.Mutex
	idle   []*conn
	open   int
	closed bool

	lastResponse atomic.Int64 // time of the last response, Unix nanoseconds
}

var errLeaving = eris.New("the worker is leaving")

// NewClient returns a client of the worker at addr. A connection that was idle for longer
// than maxIdle is not used again; 0 takes defaultMaxIdle.
func NewClient(addr string, dial Dialer, maxIdle time.Duration) *Client {
	if maxIdle <= 0 {
		maxIdle = defaultMaxIdle
	}
	return &Client{addr: addr, dial: dial, maxIdle: maxIdle}
}

// Start sends the start request of one attempt at a task and waits for its outcome until
// the lease has expired and cancelGrace has passed. When the context ends, it sends a
// cancellation and goes on waiting, since the worker then reports how the attempt ended.
//
// If the worker has just reported that it is leaving, as the response to a probe of the
// connection, it gets no start request; the reply then has the outcome model.OutcomeNotRun
// and Leaving set. An error is of type *Error; NotSent reports whether it proves that the
// worker did not receive the request.
func (c *Client) Start(ctx context.Context, start model.StartRequest) (model.TaskReply, error) {
	var reply model.TaskReply

	body, err := json.Marshal(start)
	if err != nil {
		return reply, &Error{Op: "encode start", Kind: KindNotSent, Err: err}
	}

	stop := context.AfterFunc(ctx, func() { c.cancelBestEffort(start.TaskID) })
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

// cancelBestEffort sends a cancellation without a retry. If it is lost, the worker only
// wastes time on a task that nobody waits for.
func (c *Client) cancelBestEffort(taskID string) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()

	_, _ = c.Cancel(ctx, taskID)
}

// Cancel asks the worker to stop a task and waits for its reply, for controlTimeout at most.
func (c *Client) Cancel(ctx context.Context, taskID string) (model.CancelReply, error) {
	var reply model.CancelReply
	path := "/tasks/" + url.PathEscape(taskID)
	err := c.do(ctx, fasthttp.MethodDelete, path, nil, &reply, time.Now().Add(controlTimeout))
	return reply, err
}

// Status asks the worker for its load and waits for its reply, for controlTimeout at most.
func (c *Client) Status(ctx context.Context) (model.WorkerStatus, error) {
	var reply model.WorkerStatus
	err := c.do(ctx, fasthttp.MethodGet, statusPath, nil, &reply, time.Now().Add(controlTimeout))
	return reply, err
}

// do sends a request at most once and decodes the response into reply.
func (c *Client) do(ctx context.Context, method, path string, body []byte, reply any, deadline time.Time) error {
	k, status, err := c.acquire(ctx)
	if err != nil {
		return err
	}
	if err := checkSend(ctx, method, status); err != nil {
		c.putIdle(k)
		return &Error{Op: "send", Kind: KindNotSent, Err: err}
	}
	return c.exchange(k, method, path, body, reply, deadline)
}

// checkSend returns an error if a request must not be sent any more: a start request to a
// worker that is leaving, or a request whose context ended, also by a pause of the process.
// The status is nil unless acquire has just asked the worker for it.
func checkSend(ctx context.Context, method string, status *model.WorkerStatus) error {
	if status != nil && status.Leaving && method == fasthttp.MethodPost {
		return errLeaving
	}
	return pause.Check(ctx)
}

// exchange sends a request on a connection, decodes the response into reply and puts the
// connection back into the pool, or closes it if that failed.
func (c *Client) exchange(k *conn, method, path string, body []byte, reply any, deadline time.Time) error {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)

	c.fillRequest(req, method, path, body)
	if err := k.exchange(req, resp, deadline); err != nil {
		c.closeAfterFailure(k, deadline)
		return err
	}
	if path == statusPath {
		c.countStatus(req, resp)
	}
	if err := json.Unmarshal(resp.Body(), reply); err != nil {
		c.closeConn(k)
		return &Error{Op: "decode reply", Kind: KindUnknown, Err: err}
	}

	c.lastResponse.Store(time.Now().UnixNano())
	c.release(k, resp.ConnectionClose())
	return nil
}

func (c *Client) fillRequest(req *fasthttp.Request, method, path string, body []byte) {
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.Header.SetHost(c.addr)

	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
}
