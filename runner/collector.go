package runner

import (
	"encoding/json"
	"sync"

	"foxtailmux/model"
	"foxtailmux/queue"
)

// collector collects the outcomes of a job's tasks and builds the answer. The
// channel failed is closed at the first failure, ended when every task has ended.
type collector struct {
	jobID string

	mu          sync.Mutex
	results     []json.RawMessage
	pending     int
	started     bool
	unconfirmed bool
	failure     *model.Failure

	failed chan struct{}
	ended  chan struct{}
}

func newCollector(id string, tasks int) *collector {
	return &collector{
		jobID:   id,
		results: make([]json.RawMessage, tasks),
		pending: tasks,
		failed:  make(chan struct{}),
		ended:   make(chan struct{}),
	}
}

// add records the final outcome of one task.
func (c *collector) add(index int, o queue.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.pending--
	c.record(index, o)
	if c.pending == 0 {
		close(c.ended)
	}
}

func (c *collector) record(index int, o queue.Outcome) {
	switch {
	case o.NoCapacity:
		c.fail(model.FailOverloaded, "no instance has room for a task")
	case o.NotRun && o.Err == nil:
		c.fail(model.FailDeadline, "a task got no slot in time")
	case o.NotRun:
		c.fail(model.FailNoWorker, "no worker takes a task: "+o.Err.Error())
	case o.Err != nil:
		c.unconfirmed = true
		c.fail(model.FailWorkerLost, "the outcome of a task is unknown")
	case o.Reply.Outcome == model.OutcomeDone:
		c.started = true
		c.results[index] = o.Reply.Result
	case o.Reply.Outcome == model.OutcomeCancelled:
		c.started = true
		c.fail(model.FailCancelled, "a task was stopped")
	default:
		c.started = true
		c.fail(model.FailWorkerError, "a task failed: "+o.Reply.Reason)
	}
}

// fail keeps the first failure. The lock is held.
func (c *collector) fail(kind model.FailureKind, reason string) {
	if c.failure != nil {
		return
	}
	c.failure = &model.Failure{Kind: kind, Reason: reason}
	close(c.failed)
}

// failIfPending fails the job unless all of its tasks have ended.
func (c *collector) failIfPending(f model.Failure) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.pending > 0 {
		c.fail(f.Kind, f.Reason)
	}
}

// answer returns the answer to the caller, built from the outcomes so far. A job
// with pending tasks and no failure fails as past its deadline.
func (c *collector) answer() model.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.failure == nil && c.pending == 0 {
		return model.Answer{JobID: c.jobID, Result: model.Complete, Ran: model.RanYes, Tasks: c.results}
	}

	a := model.Answer{JobID: c.jobID, Result: model.Failed, Ran: c.ran(), Error: c.failure}
	if a.Error == nil {
		a.Error = &model.Failure{Kind: model.FailDeadline, Reason: "the deadline passed"}
	}
	return a
}

func (c *collector) ran() model.Ran {
	switch {
	case c.started:
		return model.RanYes
	case c.unconfirmed || c.pending > 0:
		return model.RanMaybe
	default:
		return model.RanNo
	}
}
