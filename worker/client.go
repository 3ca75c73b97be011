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

func (c *Client) do(ctx context.Context, method, path string, body []byte, reply any, deadline time.Time) error {
	k, status, err := c.get(ctx)
	if err != nil {
		return err
	}
	if status != nil && status.Leaving && method == fasthttp.MethodPost {
		c.put(k)
		return &Error{Op: "send", Kind: KindNotSent, Err: errLeaving}
	}

	if err := pause.Check(ctx); err != nil {
		c.put(k)
		return &Error{Op: "send", Kind: KindNotSent, Err: err}
	}

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

	err = json.Unmarshal(resp.Body(), reply)
	if err != nil {
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

// get returns an idle connection that still lives, or a new one. It proves
// the former when that was idle for long: something between the two ends may
// have lost track of it.
//
// The status is returned if the worker was asked for it. That is also done on
// a new connection when the worker was not heard of for some time.
func (c *Client) get(ctx context.Context) (*conn, *model.WorkerStatus, error) {
	for {
		k, err := c.popIdle()
		if err != nil {
			return nil, nil, err
		}
		if k == nil {
			return c.getNew(ctx)
		}
		if !k.alive(c.maxIdle) {
			c.discard(k)
			continue
		}
		if time.Since(k.lastUsed) <= probeAfter {
			return k, nil, nil
		}
		if status, ok := c.probe(k); ok {
			return k, status, nil
		}
	}
}

func (c *Client) getNew(ctx context.Context) (*conn, *model.WorkerStatus, error) {
	k, err := c.connect(ctx)
	if err != nil || c.heardLately() {
		return k, nil, err
	}

	status, ok := c.probe(k)
	if !ok {
		err := eris.New("the worker does not tell its status")
		return nil, nil, &Error{Op: "probe", Kind: KindNotSent, Err: err}
	}
	return k, status, nil
}

func (c *Client) heardLately() bool {
	return time.Since(time.Unix(0, c.heard.Load())) <= unheardAfter
}

// probe asks for the status on a connection, and drops one that is silent.
func (c *Client) probe(k *conn) (*model.WorkerStatus, bool) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)

	c.fill(req, fasthttp.MethodGet, statusPath, nil)
	deadline := time.Now().Add(probeTimeout)
	if err := k.exchange(req, resp, deadline); err != nil {
		c.drop(k, deadline)
		return nil, false
	}
	c.countStatus(req, resp)
	if resp.ConnectionClose() {
		c.discard(k)
		return nil, false
	}

	// A status that can't be read proves the connection all the same.
	var status model.WorkerStatus
	if json.Unmarshal(resp.Body(), &status) != nil {
		return nil, true
	}
	c.heard.Store(time.Now().UnixNano())
	return &status, true
}

func (c *Client) countStatus(req *fasthttp.Request, resp *fasthttp.Response) {
	c.statusBytes.Add(int64(len(req.Header.Header()) + len(resp.Header.Header()) + len(resp.Body())))
}

// TakeStatusBytes returns the bytes that requests for the status took since
// the last call, sent and received, with their HTTP headers.
func (c *Client) TakeStatusBytes() int {
	return int(c.statusBytes.Swap(0))
}

func (c *Client) popIdle() (*conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.closed {
		return nil, &Error{Op: "connect", Kind: KindNotSent, Err: net.ErrClosed}
	}

	last := len(c.idle) - 1
	if last < 0 {
		c.open++
		return nil, nil
	}
	k := c.idle[last]
	c.idle = c.idle[:last]
	return k, nil
}

func (c *Client) connect(ctx context.Context) (*conn, error) {
	raw, err := c.dial(ctx, c.addr)
	if err != nil {
		c.mu.Lock()
		c.open--
		c.mu.Unlock()
		return nil, &Error{Op: "connect", Kind: KindNotSent, Err: err}
	}
	return newConn(raw), nil
}

func (c *Client) keep(k *conn, closing bool) {
	if closing {
		c.discard(k)
		return
	}
	c.put(k)
}

func (c *Client) put(k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.closed {
		c.open--
		_ = k.Close()
		return
	}
	c.idle = append(c.idle, k)
}

// drop closes a connection that failed. After a timeout the other idle ones
// are suspect too, since something between may have lost track of them all.
func (c *Client) drop(k *conn, deadline time.Time) {
	c.discard(k)
	if !time.Now().Before(deadline) {
		c.CloseIdle(0)
	}
}

func (c *Client) discard(k *conn) {
	_ = k.Close()

	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
}

// CloseIdle closes the connections that were idle for longer than age.
func (c *Client) CloseIdle(age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()

	kept := c.idle[:0]
	for _, k := range c.idle {
		if time.Since(k.lastUsed) < age {
			kept = append(kept, k)
			continue
		}
		c.open--
		_ = k.Close()
	}
	c.idle = kept
}

// Open returns the number of open connections.
func (c *Client) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.open
}

// Close closes the idle connections; those in use close after their request.
func (c *Client) Close() {
	c.CloseIdle(0)

	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}
