package table

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"foxtailmux/model"
)

const (
	maxInFlight      = 64
	maxResponseBytes = 32 << 20
	maxIdleConn      = 5 * time.Second
)

// Client calls the platform. It never retries a request. It is safe for concurrent
// use.
type Client struct {
	cachedList atomic.Pointer[cachedInstances]
	// OnBytes is called with the path and query of each request that got a
	// response, and the number of bytes sent and received, headers included.
	// It must be set before the first call.
	OnBytes func(path string, n int)

	host     *fasthttp.HostClient
	timeout  time.Duration
	inFlight chan struct{}
	reads    atomic.Uint64
	writes   atomic.Uint64
}

// NewClient returns a client of the platform at addr (host:port). Each call ends
// after the timeout, or at the deadline of its context if that is earlier.
func NewClient(addr string, timeout time.Duration) *Client {
	return newClient(addr, timeout, fasthttp.DialTimeout)
}

func newClient(addr string, timeout time.Duration, dial fasthttp.DialFuncWithTimeout) *Client {
	return &Client{
		OnBytes: func(string, int) {},
		host: &fasthttp.HostClient{
			Addr:                      addr,
			DialTimeout:               markDialErrors(dial),
			MaxConns:                  maxInFlight,
			MaxIdleConnDuration:       maxIdleConn,
			MaxResponseBodySize:       maxResponseBytes,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                neverRetry,
			DisablePathNormalizing:    true,
		},
		timeout:  timeout,
		inFlight: make(chan struct{}, maxInFlight),
	}
}

// Reads returns the number of reads since the start, failed ones included.
func (c *Client) Reads() uint64 {
	return c.reads.Load()
}

// Writes returns the number of writes since the start, failed ones included.
func (c *Client) Writes() uint64 {
	return c.writes.Load()
}

// Get reads a row. A row that does not exist has version 0 and no value.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	resp, err := c.read(ctx, "get", RowsPath+url.PathEscape(key))
	if err != nil {
		return Row{}, err
	}

	row, err := parseRow(resp.body, key)
	return row, responseError("get", err)
}

// Scan reads at most limit rows in key order, whose keys start with prefix and are
// greater than after.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) (ScanPage, error) {
	query := url.Values{
		"prefix": {prefix},
		"after":  {after},
		"limit":  {strconv.Itoa(limit)},
	}
	resp, err := c.read(ctx, "scan", ScanPath+"?"+query.Encode())
	if err != nil {
		return ScanPage{}, err
	}

	page, err := parseScan(resp.body, prefix, after, limit)
	return page, responseError("scan", err)
}

// Commit applies a transaction. A failed condition is not an error: Committed is
// then false and Conflicts holds the conflicting rows.
func (c *Client) Commit(ctx context.Context, t Transaction) (CommitResult, error) {
	body, err := json.Marshal(t)
	if err != nil {
		return CommitResult{}, &Error{Op: "commit", Kind: KindNotSent, Err: eris.Wrap(err, "encode")}
	}

	resp, err := c.call(ctx, request{op: "commit", method: http.MethodPost, uri: TransactionPath, body: body})
	if err != nil {
		return CommitResult{}, err
	}
	if resp.status != http.StatusOK && resp.status != http.StatusConflict {
		return CommitResult{}, statusError("commit", resp, true)
	}

	commit, err := parseCommit(resp.body, resp.status, t)
	return commit, responseError("commit", err)
}

// PutObject stores an object. It replaces an existing object of the same name.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	uri := ObjectsPath + url.PathEscape(name)
	resp, err := c.call(ctx, request{op: "put object", method: http.MethodPut, uri: uri, body: data})
	if err != nil {
		return err
	}
	if resp.status != http.StatusOK {
		return statusError("put object", resp, true)
	}
	return nil
}

// GetObject reads an object. If it does not exist, ErrNotFound is in the error
// chain.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	resp, err := c.read(ctx, "get object", ObjectsPath+url.PathEscape(name))
	if err != nil {
		return nil, err
	}
	return resp.body, nil
}

// Instances reads the platform's list of instances. If the list has not changed, the
// platform does not send it again.
func (c *Client) Instances(ctx context.Context) (model.InstanceList, error) {
	last := c.cachedList.Load()
	resp, err := c.call(ctx, request{op: "instances", method: http.MethodGet, uri: InstancesPath, etag: last.lastETag()})
	if err != nil {
		return model.InstanceList{}, err
	}
	if resp.status == http.StatusNotModified && last != nil {
		return last.list, nil
	}
	if resp.status != http.StatusOK {
		return model.InstanceList{}, statusError("instances", resp, false)
	}

	list, err := parseInstances(resp.body)
	if err != nil {
		return list, responseError("instances", err)
	}
	c.cachedList.Store(&cachedInstances{etag: resp.etag, list: list})
	return list, nil
}

// cachedInstances is the last list of instances and its entity tag.
type cachedInstances struct {
	etag string
	list model.InstanceList
}

func (l *cachedInstances) lastETag() string {
	if l == nil {
		return ""
	}
	return l.etag
}

func (c *Client) read(ctx context.Context, op, uri string) (response, error) {
	resp, err := c.call(ctx, request{op: op, method: http.MethodGet, uri: uri})
	if err != nil {
		return response{}, err
	}
	if resp.status != http.StatusOK {
		return response{}, statusError(op, resp, false)
	}
	return resp, nil
}

func responseError(op string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Op: op, Kind: KindUnknown, Err: err}
}

// statusError returns the error for a response with an error status. A server or
// gateway that failed on a write may have executed it: of the statuses from 500 up,
// only 501 and 503 mean that it was not attempted.
func statusError(op string, resp response, write bool) error {
	if resp.status == http.StatusNotFound && resp.isObject {
		return &Error{Op: op, Kind: KindRefused, Err: ErrNotFound}
	}

	kind := KindRefused
	if write && !provesNoEffect(resp.status) {
		kind = KindUnknown
	}
	return &Error{Op: op, Kind: kind, Err: eris.Errorf("status %d: %s", resp.status, excerpt(resp.body))}
}

func provesNoEffect(status int) bool {
	if status == http.StatusNotImplemented || status == http.StatusServiceUnavailable {
		return true
	}
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

func excerpt(body []byte) []byte {
	const maxExcerptBytes = 200
	return bytes.TrimSpace(body[:min(len(body), maxExcerptBytes)])
}
