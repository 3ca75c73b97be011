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

	// Resubmissions counts how often the task was submitted again after it had
	// been removed from a queue without having been started.
	Resubmissions int

	// Deliver is called with the outcome, exactly once for each submission of the
	// item. It must not block.
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

// Job is a job with waiting tasks. Its context ends at the deadline of the job or
// when its caller no longer waits for the answer. Weight is the share of its team
// under the order fairShare. A Job must not be passed to Push twice.
type Job struct {
	Context  context.Context
	ID       string
	Team     string
	Pool     string
	Weight   int
	Arrived  time.Time
	Deadline time.Time
	Items    []*Item

	// Pinned excludes the tasks from being forwarded, since a peer forwarded them
	// to this instance, or a peer to which they were forwarded did not run them.
	Pinned bool

	remaining time.Duration
	team      *teamUsage
}

// Remaining returns the sum of the expected run times of the waiting tasks.
func (j *Job) Remaining() time.Duration { return j.remaining }
