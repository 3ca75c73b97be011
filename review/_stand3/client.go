package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const queueHost = "desk.example"

// step is a step of a job, in the fields of the protocol's page.
type step struct {
	Replicas     int    `json:"replicas"`
	CPU          int    `json:"cpu,omitempty"`
	MemMB        int    `json:"mem-mb,omitempty"`
	EstimateMS   int    `json:"estimate-ms,omitempty"`
	After        []int  `json:"after,omitempty"`
	Requires     string `json:"requires,omitempty"`
	MaxPerServer int    `json:"max-per-server,omitempty"`
}

// job is a client's job that needn't be stored.
type job struct {
	ID      string
	Queue   string
	Spec    string
	Steps   []step
	Timeout time.Duration
}

// newID returns an id of 16 hexadecimal digits.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// client sends requests over connections that it keeps.
type client struct {
	record *record
	http   http.Client
}

func newClient(r *record) *client {
	return &client{record: r, http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// answer is the response to a request; status 0 stands for none.
type answer struct {
	status int
	body   string
	at     time.Time
}

// submit submits a job and waits for its answer, at most for the job's timeout and a second.
func (c *client) submit(i *instance, j job) answer { return c.submitAt(i.addr(callersPort), i.name, j) }

func (c *client) submitAt(addr, name string, j job) answer {
	body, _ := json.Marshal(map[string]any{"spec": j.Spec, "steps": j.Steps, "best-effort": true})
	return c.send(addr, name, http.MethodPost, j, body)
}

func (c *client) send(addr, name, method string, j job, body []byte) answer {
	ctx, stop := context.WithTimeout(context.Background(), j.Timeout+time.Second)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/"+j.Queue+"/"+j.ID, bytes.NewReader(body))
	if err != nil {
		return answer{at: time.Now()}
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Timeout-Ms", strconv.FormatInt(j.Timeout.Milliseconds(), 10))
	c.record.printf("client sends %s %s to %s", method, j.ID, name)
	resp, err := c.http.Do(req)
	a := answer{}
	if err == nil {
		text, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if readErr == nil {
			a.status, a.body = resp.StatusCode, string(text)
		}
	}
	a.at = time.Now()
	c.record.printf("client has the answer %d to %s %s: %.80s", a.status, method, j.ID, a.body)
	return a
}

// task returns the name of a task.
func (j job) task(step, index int) string { return fmt.Sprintf("%s.0.%d.%d", j.ID, step, index) }
