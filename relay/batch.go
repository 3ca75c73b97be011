package relay

import (
	"time"

	"foxtailmux/model"
	"foxtailmux/queue"
)

// Methods of the peer protocol that this package serves: MethodRun takes a Batch
// and replies with a BatchReply, MethodCancel takes a Cancellation.
const (
	MethodRun    = "tasks.run"
	MethodCancel = "tasks.cancel"
)

// Batch requests a peer to run tasks of one job. LeftMillis is the time left until
// the job's deadline; it is relative since the clocks of two instances may differ.
type Batch struct {
	JobID      string `json:"jobId"`
	Team       string `json:"team"`
	Pool       string `json:"pool"`
	Weight     int    `json:"weight"`
	LeftMillis int64  `json:"leftMillis"`
	Tasks      []Task `json:"tasks"`
}

// Task is one task of a batch.
type Task struct {
	Request        model.StartRequest `json:"request"`
	ExpectedMillis int64              `json:"expectedMillis"`
}

// BatchReply holds the outcome of each task of a batch, in the same order, and the
// load of the peer after the last task ended. Load is nil if the deadline had
// passed when the batch arrived.
type BatchReply struct {
	Outcomes []TaskOutcome `json:"outcomes"`
	Load     *model.Load   `json:"load,omitempty"`
}

// TaskOutcome is the outcome of a forwarded task. NotRun guarantees that the task
// was not started and will not be. Unconfirmed holds an error after which the task
// may or may not have been started. With neither, Reply is the worker's reply.
type TaskOutcome struct {
	Reply       model.TaskReply `json:"reply,omitzero"`
	NotRun      bool            `json:"notRun,omitempty"`
	Unconfirmed string          `json:"unknown,omitempty"`
}

// Cancellation requests a peer to stop the tasks of a job that it got in batches.
type Cancellation struct {
	JobID string `json:"jobId"`
}

func newBatch(j *queue.Job, items []*queue.Item) Batch {
	b := Batch{
		JobID:      j.ID,
		Team:       j.Team,
		Pool:       j.Pool,
		Weight:     j.Weight,
		LeftMillis: time.Until(j.Deadline).Milliseconds(),
	}
	for _, it := range items {
		b.Tasks = append(b.Tasks, Task{Request: it.Request, ExpectedMillis: it.ExpectedRun.Milliseconds()})
	}
	return b
}
