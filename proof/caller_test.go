package proof

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"foxtailmux/fakes"
	"foxtailmux/model"
)

// caller sends requests to several entry instances in turn, as a load balancer
// does. It sends each request once, without retries.
type caller struct {
	addrs []string
	next  atomic.Int64
	http  http.Client
}

func newCaller(addrs ...string) *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 100}
	return &caller{addrs: addrs, http: http.Client{Timeout: waitLimit, Transport: transport}}
}

// post sends a request to the next instance and decodes the response into reply.
func (c *caller) post(path string, body, reply any) error {
	addr := c.addrs[int(c.next.Add(1))%len(c.addrs)]
	return c.postTo(addr, path, body, reply)
}

func (c *caller) postTo(addr, path string, body, reply any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+addr+path, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	request.GetBody = nil // prevents retries by the HTTP client
	request.Header.Set("Content-Type", "application/json")

	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(reply)
}

// submit sends a job to the next instance.
func (c *caller) submit(job model.Job) (model.Answer, error) {
	var answer model.Answer
	err := c.post("/v1/jobs", job, &answer)
	return answer, err
}

// newJob returns a job of the service quote. The nonces of its tasks start with
// id, and each task runs for the given time.
func newJob(id string, tasks int, run time.Duration) model.Job {
	job := model.Job{Team: "counter", Service: "quote"}
	for i := range tasks {
		payload, err := json.Marshal(fakes.Payload{Nonce: nonce(id, i), RunMillis: run.Milliseconds()})
		if err != nil {
			panic(err)
		}
		job.Tasks = append(job.Tasks, model.Task{Payload: payload, ExpectedMillis: run.Milliseconds()})
	}
	return job
}

func nonce(id string, task int) string { return fmt.Sprintf("%s/%d", id, task) }

// checkComplete fails the test unless the answer has the result of every task, in
// order, of the job that newJob returned for the id.
func checkComplete(t *testing.T, id string, tasks int, a model.Answer) {
	t.Helper()

	if a.Result != model.Complete {
		t.Errorf("%s: result is %s: %+v", id, a.Result, a.Error)
		return
	}
	if len(a.Tasks) != tasks {
		t.Errorf("%s: %d results, want %d", id, len(a.Tasks), tasks)
		return
	}
	for i, raw := range a.Tasks {
		var result fakes.TaskResult
		if err := json.Unmarshal(raw, &result); err != nil {
			t.Errorf("%s: result %d: %v", id, i, err)
		}
		if result.Nonce != nonce(id, i) {
			t.Errorf("%s: result %d has nonce %q, want %q", id, i, result.Nonce, nonce(id, i))
		}
	}
}
