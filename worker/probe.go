package worker

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"foxtailmux/model"
)

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
