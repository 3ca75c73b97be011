package load

import (
	"encoding/json"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"foxtailmux/model"
)

// Limits of the HTTP client.
const (
	maxConnsPerEntry = 16_384
	maxConnIdleTime  = 2 * time.Second
	requestTimeout   = 5 * time.Second // of every request but a submission
)

// client sends requests to the entry instances round-robin. It never retries a
// request, so that each submission arrives at most once.
type client struct {
	entries []string
	next    atomic.Uint64
	http    fasthttp.Client
}

func newClient(entries []string) *client {
	return &client{
		entries: entries,
		http: fasthttp.Client{
			MaxConnsPerHost:           maxConnsPerEntry,
			MaxIdleConnDuration:       maxConnIdleTime,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
				return false, false
			},
		},
	}
}

func (c *client) nextEntry() string {
	return c.entries[c.next.Add(1)%uint64(len(c.entries))]
}

// send sends one request, decodes the response body into reply and returns the
// HTTP status, or 0 when no response arrived.
func (c *client) send(method, path string, body, reply any, timeout time.Duration) (int, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}

	// After a timeout fasthttp may still use the request and the response, so
	// they must not be returned to its pool.
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	request.SetRequestURI("http://" + c.nextEntry() + path)
	request.Header.SetMethod(method)
	request.Header.SetContentType("application/json")
	request.SetBody(encoded)
	if err := c.http.DoTimeout(request, response, timeout); err != nil {
		return 0, err
	}
	if err := json.Unmarshal(response.Body(), reply); err != nil {
		return response.StatusCode(), eris.Wrapf(err, "status %d", response.StatusCode())
	}
	return response.StatusCode(), nil
}

func (c *client) submit(job model.Job, timeout time.Duration) (int, model.Answer, error) {
	var answer model.Answer
	status, err := c.send(http.MethodPost, "/v1/jobs", job, &answer, timeout)
	return status, answer, err
}

// cancel cancels the job with that ticket. Any response with a JSON body counts as
// success, whatever its status.
func (c *client) cancel(id string) error {
	var reply json.RawMessage
	_, err := c.send(http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), struct{}{}, &reply, requestTimeout)
	return err
}

// ticketRequest is the body of a request for tickets.
type ticketRequest struct {
	Count int `json:"count"`
}

func (c *client) tickets(count int) ([]string, error) {
	var batch model.TicketBatch
	status, err := c.send(http.MethodPost, "/v1/tickets", ticketRequest{Count: count}, &batch, requestTimeout)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK && status != http.StatusCreated {
		return nil, eris.Errorf("request for tickets: status %d", status)
	}
	return batch.Tickets, nil
}
