package worker

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"foxtailmux/model"
)

// acquire returns a usable idle connection, or a new one. An idle connection that was not
// used for probeIdleAfter is probed first, since a firewall or proxy on the path may have
// lost its state and would then drop a start request silently. A new connection is probed
// if the last response of the worker is older than maxResponseAge.
//
// The status is that of the probe; it is nil without a probe.
func (c *Client) acquire(ctx context.Context) (*conn, *model.WorkerStatus, error) {
	for {
		k, err := c.popIdle()
		if err != nil {
			return nil, nil, err
		}
		if k == nil {
			return c.acquireNew(ctx)
		}
		if !k.usable(c.maxIdle) {
			c.closeConn(k)
			continue
		}
		if time.Since(k.lastUsed) <= probeIdleAfter {
			return k, nil, nil
		}
		if status, ok := c.probe(k); ok {
			return k, status, nil
		}
	}
}

// acquireNew opens a connection and probes it unless the worker has responded recently.
func (c *Client) acquireNew(ctx context.Context) (*conn, *model.WorkerStatus, error) {
	k, err := c.connect(ctx)
	if err != nil || c.hasRecentResponse() {
		return k, nil, err
	}

	status, ok := c.probe(k)
	if !ok {
		err := eris.New("the worker does not tell its status")
		return nil, nil, &Error{Op: "probe", Kind: KindNotSent, Err: err}
	}
	return k, status, nil
}

func (c *Client) hasRecentResponse() bool {
	return time.Since(time.Unix(0, c.lastResponse.Load())) <= maxResponseAge
}

// probe asks for the worker's status on a connection and reports whether the connection is
// usable. It closes a connection that failed or that the worker is about to close.
func (c *Client) probe(k *conn) (*model.WorkerStatus, bool) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)

	c.fillRequest(req, fasthttp.MethodGet, statusPath, nil)
	deadline := time.Now().Add(probeTimeout)
	if err := k.exchange(req, resp, deadline); err != nil {
		c.closeAfterFailure(k, deadline)
		return nil, false
	}
	c.countStatus(req, resp)
	if resp.ConnectionClose() {
		c.closeConn(k)
		return nil, false
	}

	// The connection is usable also if the status can't be decoded.
	var status model.WorkerStatus
	if json.Unmarshal(resp.Body(), &status) != nil {
		return nil, true
	}
	c.lastResponse.Store(time.Now().UnixNano())
	return &status, true
}

// countStatus adds the size of a status request and its response to statusBytes.
func (c *Client) countStatus(req *fasthttp.Request, resp *fasthttp.Response) {
	c.statusBytes.Add(int64(len(req.Header.Header()) + len(resp.Header.Header()) + len(resp.Body())))
}

// TakeStatusBytes returns the bytes sent and received by status requests since the last
// call, HTTP headers included.
func (c *Client) TakeStatusBytes() int {
	return int(c.statusBytes.Swap(0))
}
