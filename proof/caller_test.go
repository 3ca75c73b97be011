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

// caller submits jobs to several entry instances in turn, as the balancer
// does. It sends each request once.
type caller struct {
	addrs []string
	next  atomic.Int64
	http  http.Client
}

func newCaller(addrs ...string) *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 100}
	return &caller{addrs: addrs, http: http.Client{Timeout: waitLimit, Transport: transport}}
}

// post sends a body to the next instance and decodes the reply.
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
	request.GetBody = nil // no second try by the client library
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

// quote builds a job of the given tasks, whose nonces start with id.
func quote(id string, tasks int, run time.Duration) model.Job {
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

// checkWhole fails the test unless the answer holds the result of every task
// of the job built with id, in order.
func checkWhole(t *testing.T, id string, tasks int, a model.Answer) {
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
