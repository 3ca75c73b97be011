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
	maxIdleConn      = 2 * time.Second
	shortTimeout     = 5 * time.Second
)

// client sends requests to the entry instances round-robin and never sends
// one twice by itself.
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
			MaxIdleConnDuration:       maxIdleConn,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
				return false, false
			},
		},
	}
}

func (c *client) entry() string {
	return c.entries[c.next.Add(1)%uint64(len(c.entries))]
}

// send sends one request and decodes the answer into reply.
func (c *client) send(method, path string, body, reply any, timeout time.Duration) (int, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}

	// After a timeout the objects may still be in use, so they don't go back
	// to a pool.
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	request.SetRequestURI("http://" + c.entry() + path)
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

func (c *client) cancel(id string) error {
	var reply json.RawMessage
	_, err := c.send(http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), struct{}{}, &reply, shortTimeout)
	return err
}

type ticketRequest struct {
	Count int `json:"count"`
}

func (c *client) tickets(count int) ([]string, error) {
	var batch model.TicketBatch
	status, err := c.send(http.MethodPost, "/v1/tickets", ticketRequest{Count: count}, &batch, shortTimeout)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK && status != http.StatusCreated {
		return nil, eris.Errorf("tickets: status %d", status)
	}
	return batch.Tickets, nil
}
