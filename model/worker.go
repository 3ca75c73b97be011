package model

import "encoding/json"

// WorkerState is the state of a worker or an entry instance in the platform's list.
type WorkerState string

// The states in the platform's list.
const (
	Live    WorkerState = "live"
	Leaving WorkerState = "leaving"
)

// Worker describes one worker of a pool, as listed by the platform.
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
	Incarnation int64       `json:"incarnation,omitempty"` // of the worker that the rest describes; 0 is unknown
}

// Entry describes one entry instance, as listed by the platform. PeerAddr is its address
// for other entry instances, AdminAddr that for operators.
type Entry struct {
	ID          string      `json:"id"`
	Incarnation string      `json:"incarnation"`
	DataCentre  string      `json:"dataCentre"`
	CallerAddr  string      `json:"callerAddr"`
	PeerAddr    string      `json:"peerAddr"`
	AdminAddr   string      `json:"adminAddr"`
	State       WorkerState `json:"state"`
}

// InstanceList is the platform's list of instances, which may be out of date.
type InstanceList struct {
	Workers []Worker `json:"workers"`
	Entries []Entry  `json:"entries"`
}

// StartRequest asks a worker to run one attempt at a task (POST /tasks). The worker stops
// the task LeaseMillis after the receipt of the request.
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

// The outcomes of an attempt. OutcomeNotRun guarantees that the task was not and will not
// be started.
const (
	OutcomeDone      TaskOutcome = "done"
	OutcomeNotRun    TaskOutcome = "notRun"
	OutcomeFailed    TaskOutcome = "failed"
	OutcomeCancelled TaskOutcome = "cancelled"
)

// TaskReply is the response of a worker to a StartRequest: status 200 for done, 503 for
// notRun, 500 for failed, 409 for cancelled. The load fields describe the worker after the
// task.
type TaskReply struct {
	TaskID    string          `json:"taskId"`
	Outcome   TaskOutcome     `json:"outcome"`
	Result    json.RawMessage `json:"result,omitempty"`
	Reason    string          `json:"reason,omitempty"`
	RunMillis int64           `json:"runMillis"`
	BusySlots int             `json:"busySlots"`
	Leaving   bool            `json:"leaving"`
}

// CancelReply is the response of a worker to DELETE /tasks/{id}: notRun if the task is
// unknown, cancelled if it was stopped, done if it had already ended.
type CancelReply struct {
	TaskID  string      `json:"taskId"`
	Outcome TaskOutcome `json:"outcome"`
}

// WorkerStatus is the response of a worker to GET /status.
type WorkerStatus struct {
	ID        string `json:"id"`
	Slots     int    `json:"slots"`
	BusySlots int    `json:"busySlots"`
	Leaving   bool   `json:"leaving"`
}

// Load is the load of an entry instance, as reported to its peers.
type Load struct {
	FreeSlots   int `json:"freeSlots"`
	Slots       int `json:"slots"`
	QueuedTasks int `json:"queuedTasks"`
}
