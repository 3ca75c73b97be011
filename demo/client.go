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
	maxConns      = 1024 // to each instance
)

// outcome is the answer to a submission, or the error in its place.
type outcome struct {
	submission   submission
	status       int
	answer       model.Answer
	response     time.Duration
	err          error    // set if no answer arrived
	resubmission *outcome // of the second submission with the same key; nil if there was none
}

// balancer picks entry instances round-robin. It may be used by several
// goroutines.
type balancer struct {
	mu      sync.Mutex
	next    int
	targets []target
}

// target is an entry instance that the balancer picks.
type target struct {
	name   string
	client *fasthttp.HostClient
}

func newBalancer() *balancer { return &balancer{} }

func (b *balancer) add(name, addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.targets = append(b.targets, target{name, newClient(addr)})
}

func (b *balancer) remove(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.targets = slices.DeleteFunc(b.targets, func(t target) bool { return t.name == name })
}

func (b *balancer) nextClient() *fasthttp.HostClient {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	return b.targets[b.next%len(b.targets)].client
}

// newClient returns an HTTP client that never retries a request, so that each
// submission arrives at most once.
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

// send submits a job, waits for its answer and measures the response time.
func send(client *fasthttp.HostClient, s submission) outcome {
	o := outcome{submission: s}
	began := time.Now()
	o.status, o.answer, o.err = exchange(client, s.Job)
	o.response = time.Since(began)
	return o
}

// exchange posts the job and decodes the HTTP status and the answer.
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
