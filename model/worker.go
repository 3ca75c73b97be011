package model

import "encoding/json"

// WorkerState is what the platform's list says of a worker.
type WorkerState string

// The states of a worker in the platform's list.
const (
	Live    WorkerState = "live"
	Leaving WorkerState = "leaving"
)

// Worker describes one worker of a pool, as the platform lists it.
type Worker struct {
	ID          string      `json:"id"`
	Addr        string      `json:"addr"`
	DataCentre  string      `json:"dataCentre"`
	Rack        string      `json:"rack"`
	Pool        string      `json:"pool"`
	State       WorkerState `json:"state"`
	Slots       int         `json:"slots"`
	Connections int         `json:"connections"`
	Capacity    Resources   `json:"capacity"`
	Labels      []string    `json:"labels,omitempty"`
}

// Entry describes one entry instance, as the platform lists it. PeerAddr is
// where other entry instances reach it, AdminAddr where operators do.
type Entry struct {
	ID          string      `json:"id"`
	Incarnation string      `json:"incarnation"`
	DataCentre  string      `json:"dataCentre"`
	CallerAddr  string      `json:"callerAddr"`
	PeerAddr    string      `json:"peerAddr"`
	AdminAddr   string      `json:"adminAddr"`
	State       WorkerState `json:"state"`
}

// InstanceList is the platform's lagging list of instances.
type InstanceList struct {
	Workers []Worker `json:"workers"`
	Entries []Entry  `json:"entries"`
}

// StartRequest asks a worker to run one attempt at a task (POST /tasks). The
// worker stops the task when LeaseMillis have passed since the receipt.
type StartRequest struct {
	TaskID      string          `json:"taskId"`
	Attempt     int             `json:"attempt"`
	Team        string          `json:"team"`
	Service     string          `json:"service"`
	LeaseMillis int64           `json:"leaseMillis"`
	Needs       Resources       `json:"needs,omitzero"`
	Payload     json.RawMessage `json:"payload,omitempty"`
}

// TaskOutcome is how an attempt at a task ended on a worker.
type TaskOutcome string

// The outcomes of an attempt. OutcomeNotRun promises that the task was not
// started and will not be.
const (
	OutcomeDone      TaskOutcome = "done"
	OutcomeNotRun    TaskOutcome = "notRun"
	OutcomeFailed    TaskOutcome = "failed"
	OutcomeCancelled TaskOutcome = "cancelled"
)

// TaskReply is a worker's answer to a StartRequest: status 200 for done, 503
// for notRun, 500 for failed, 409 for cancelled. The load fields describe the
// worker after the task.
type TaskReply struct {
	TaskID    string          `json:"taskId"`
	Outcome   TaskOutcome     `json:"outcome"`
	Result    json.RawMessage `json:"result,omitempty"`
	Reason    string          `json:"reason,omitempty"`
	RunMillis int64           `json:"runMillis"`
	BusySlots int             `json:"busySlots"`
	Leaving   bool            `json:"leaving"`
}

// CancelReply is a worker's answer to DELETE /tasks/{id}: notRun when the
// task is unknown, cancelled when it was stopped, done when it had ended.
type CancelReply struct {
	TaskID  string      `json:"taskId"`
	Outcome TaskOutcome `json:"outcome"`
}

// WorkerStatus is a worker's answer to GET /status.
type WorkerStatus struct {
	ID        string `json:"id"`
	Slots     int    `json:"slots"`
	BusySlots int    `json:"busySlots"`
	Leaving   bool   `json:"leaving"`
}

// Load is what an entry instance tells its peers of itself.
type Load struct {
	FreeSlots   int `json:"freeSlots"`
	Slots       int `json:"slots"`
	QueuedTasks int `json:"queuedTasks"`
}
