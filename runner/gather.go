package runner

import (
	"encoding/json"
	"sync"

	"foxtailmux/model"
	"foxtailmux/queue"
)

// gather collects the outcomes of a job's tasks. Failed is closed with the
// first failure, ended when every task has ended.
type gather struct {
	id string

	mu      sync.Mutex
	results []json.RawMessage
	pending int
	started bool
	unknown bool
	failure *model.Failure

	failed chan struct{}
	ended  chan struct{}
}

func newGather(id string, tasks int) *gather {
	return &gather{
		id:      id,
		results: make([]json.RawMessage, tasks),
		pending: tasks,
		failed:  make(chan struct{}),
		ended:   make(chan struct{}),
	}
}

// add records the final outcome of one task.
func (g *gather) add(index int, o queue.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.pending--
	g.note(index, o)
	if g.pending == 0 {
		close(g.ended)
	}
}

func (g *gather) note(index int, o queue.Outcome) {
	switch {
	case o.NoCapacity:
		g.fail(model.FailOverloaded, "no instance has room for a task")
	case o.NotRun && o.Err == nil:
		g.fail(model.FailDeadline, "a task got no slot in time")
	case o.NotRun:
		g.fail(model.FailNoWorker, "no worker takes a task: "+o.Err.Error())
	case o.Err != nil:
		g.unknown = true
		g.fail(model.FailWorkerLost, "the outcome of a task is unknown")
	case o.Reply.Outcome == model.OutcomeDone:
		g.started = true
		g.results[index] = o.Reply.Result
	case o.Reply.Outcome == model.OutcomeCancelled:
		g.started = true
		g.fail(model.FailCancelled, "a task was stopped")
	default:
		g.started = true
		g.fail(model.FailWorkerError, "a task failed: "+o.Reply.Reason)
	}
}

// fail keeps the first failure. The lock is held.
func (g *gather) fail(kind model.FailureKind, reason string) {
	if g.failure != nil {
		return
	}
	g.failure = &model.Failure{Kind: kind, Reason: reason}
	close(g.failed)
}

// refuse fails the job unless each of its tasks has ended.
func (g *gather) refuse(f model.Failure) {
	g.mu.Lock()
	defer g.mu.Unlock()

	if g.pending > 0 {
		g.fail(f.Kind, f.Reason)
	}
}

// answer builds the caller's answer from what is known now.
func (g *gather) answer() model.Answer {
	g.mu.Lock()
	defer g.mu.Unlock()

	if g.failure == nil && g.pending == 0 {
		return model.Answer{JobID: g.id, Result: model.Complete, Ran: model.RanYes, Tasks: g.results}
	}

	a := model.Answer{JobID: g.id, Result: model.Failed, Ran: g.ran(), Error: g.failure}
	if a.Error == nil {
		a.Error = &model.Failure{Kind: model.FailDeadline, Reason: "the deadline passed"}
	}
	return a
}

func (g *gather) ran() model.Ran {
	switch {
	case g.started:
		return model.RanYes
	case g.unknown || g.pending > 0:
		return model.RanMaybe
	default:
		return model.RanNo
	}
}
