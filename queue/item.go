package queue

import (
	"context"
	"time"

	"foxtailmux/model"
)

// Item is one task that waits for a slot.
type Item struct {
	Request  model.StartRequest
	Expected time.Duration

	// Moves counts how often the task lost its place in a queue and was
	// submitted again.
	Moves int

	// Deliver receives the outcome exactly once. It must not block.
	Deliver func(Outcome)
}

// Outcome is how an item ended: a worker's reply, or an error without one.
// NotRun tells that no attempt at the task was or will be started, Refused that
// this is so since no instance had room for it.
type Outcome struct {
	Reply   model.TaskReply
	Err     error
	NotRun  bool
	Refused bool
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
