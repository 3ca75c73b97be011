package demo

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"foxtailmux/model"
)

const (
	answerTimeout = 20 * time.Second
	maxConns      = 1024
)

// outcome is what became of a submission.
type outcome struct {
	submission submission
	status     int
	answer     model.Answer
	response   time.Duration
	err        error    // no answer arrived
	again      *outcome // of a second submission with the same key
}

// caller sends each job to the next of its instances, as a balancer does.
type caller struct {
	mu      sync.Mutex
	next    int
	targets []target
}

type target struct {
	name   string
	client *fasthttp.HostClient
}

func newCaller() *caller { return &caller{} }

func (c *caller) add(name, addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targets = append(c.targets, target{name, newClient(addr)})
}

func (c *caller) remove(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targets = slices.DeleteFunc(c.targets, func(t target) bool { return t.name == name })
}

func (c *caller) pick() *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return c.targets[c.next%len(c.targets)].client
}

// newClient returns a client that sends each request at most once.
func newClient(addr string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      addr,
		MaxConns:                  maxConns,
		ReadTimeout:               answerTimeout,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
			return false, false
		},
	}
}

// send submits a job and waits for its answer.
func send(client *fasthttp.HostClient, s submission) outcome {
	o := outcome{submission: s}
	began := time.Now()
	o.status, o.answer, o.err = exchange(client, s.Job)
	o.response = time.Since(began)
	return o
}

func exchange(client *fasthttp.HostClient, job model.Job) (int, model.Answer, error) {
	var answer model.Answer
	body, err := json.Marshal(job)
	if err != nil {
		return 0, answer, err
	}

	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + client.Addr + "/v1/jobs")
	request.Header.SetMethod(http.MethodPost)
	request.Header.SetContentType("application/json")
	request.SetBody(body)

	if err := client.Do(request, response); err != nil {
		return 0, answer, err
	}
	if err := json.Unmarshal(response.Body(), &answer); err != nil {
		return response.StatusCode(), answer, eris.Wrapf(err, "status %d", response.StatusCode())
	}
	return response.StatusCode(), answer, nil
}
