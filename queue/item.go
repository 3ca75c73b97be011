package queue

import (
	"context"
	"time"

	"foxtailmux/model"
)

// Item is one task that waits for a slot. ExpectedRun is the estimate of its run
// time.
type Item struct {
	Request     model.StartRequest
	ExpectedRun time.Duration

	// Resubmissions counts how often the task was removed from a queue without
	// having been started and submitted again.
	Resubmissions int

	// Deliver receives the outcome exactly once. It must not block.
	Deliver func(Outcome)
}

// Outcome is the result of an item: the worker's reply, or an error if there is
// no reply. NotRun guarantees that the task was not started and will not be;
// NoCapacity that the reason is that no instance had capacity for it. An error
// without NotRun means that the task may have been started.
type Outcome struct {
	Reply      model.TaskReply
	Err        error
	NotRun     bool
	NoCapacity bool
}

// Job is a job with waiting tasks. Its context ends when the job's deadline
// has passed or nobody wants its answer any more. A job is pushed once.
type Job struct {
	Context  context.Context
	ID       string
	Team     string
	Pool     string
	Weight   int
	Arrived  time.Time
	Deadline time.Time
	Items    []*Item

	// Pinned keeps the tasks on this instance, since a peer forwarded them.
	Pinned bool

	remaining time.Duration
	team      *teamUsage
}

// Remaining returns the expected run time of the tasks that wait.
func (j *Job) Remaining() time.Duration { return j.remaining }
