// Package model holds the plain structs that the other packages exchange:
// jobs, tasks, answers, workers and the messages between an entry instance
// and a worker.
package model

import "encoding/json"

// Task is one unit of work of a job. The payload reaches the worker unparsed.
type Task struct {
	Payload        json.RawMessage `json:"payload,omitempty"`
	ExpectedMillis int64           `json:"expectedMillis,omitempty"`
	Needs          Resources       `json:"needs,omitzero"`
}

// Job is a caller's submission.
type Job struct {
	Team    string `json:"team"`
	Service string `json:"service"`
	Tasks   []Task `json:"tasks"`

	// DeadlineMillis counts from the receipt of the job; 0 takes the default
	// of the service.
	DeadlineMillis int64 `json:"deadlineMillis,omitempty"`

	// Repeatable declares that a task may be started again after an attempt
	// whose outcome is unknown.
	Repeatable bool `json:"repeatable,omitempty"`

	Ticket         string `json:"ticket,omitempty"`
	IdempotencyKey string `json:"idempotencyKey,omitempty"`
}

// Result tells whether an answer holds every task's result.
type Result string

// The results of a job.
const (
	Complete Result = "complete"
	Failed   Result = "failed"
)

// Ran tells what is known of the start of a job's tasks.
type Ran string

// RanNo is set only where no task of the job was or will be started.
const (
	RanNo    Ran = "no"
	RanMaybe Ran = "maybe"
	RanYes   Ran = "yes"
)

// FailureKind classifies why a job failed or was refused.
type FailureKind string

// The kinds of failure.
const (
	FailBadRequest   FailureKind = "badRequest"
	FailTooLarge     FailureKind = "tooLarge"
	FailNeverFits    FailureKind = "neverFits"
	FailQuota        FailureKind = "quota"
	FailOverloaded   FailureKind = "overloaded"
	FailDeadline     FailureKind = "deadline"
	FailCancelled    FailureKind = "cancelled"
	FailWorkerError  FailureKind = "workerError"
	FailWorkerLost   FailureKind = "workerLost"
	FailIssuerLost   FailureKind = "minterLost"
	FailKeyConflict  FailureKind = "keyConflict"
	FailKeyUsed      FailureKind = "keyUsed"
	FailUnknownID    FailureKind = "unknownId"
	FailStoreDown    FailureKind = "storeDown"
	FailStopping     FailureKind = "stopping"
	FailNotReady     FailureKind = "notReady"
	FailNoWorker     FailureKind = "noWorker"
	FailUnauthorized FailureKind = "unauthorized"
	FailInternal     FailureKind = "internal"
)

// Failure explains an answer that is not complete. RetryAfterMillis is 0
// where a further try makes no sense.
type Failure struct {
	Kind             FailureKind `json:"kind"`
	Reason           string      `json:"reason"`
	RetryAfterMillis int64       `json:"retryAfterMillis,omitempty"`
}

// Answer is what a caller receives for a job: either every task's result in
// the order of the tasks, or a failure. Ran covers every attempt at the job,
// ThisAttempt only the request that is being answered.
type Answer struct {
	JobID       string            `json:"jobId"`
	Result      Result            `json:"result"`
	Ran         Ran               `json:"ran"`
	ThisAttempt Ran               `json:"thisAttempt,omitempty"`
	Tasks       []json.RawMessage `json:"tasks,omitempty"`
	Error       *Failure          `json:"error,omitempty"`
}

// Fail builds the answer of a job that failed.
func Fail(id string, ran Ran, kind FailureKind, reason string) Answer {
	return Answer{
		JobID:  id,
		Result: Failed,
		Ran:    ran,
		Error:  &Failure{Kind: kind, Reason: reason},
	}
}

// JobStatus is the answer to a question about a job: open, or its answer.
type JobStatus struct {
	JobID  string  `json:"jobId"`
	Open   bool    `json:"open"`
	Answer *Answer `json:"answer,omitempty"`
}

// TicketBatch is the answer to a request for tickets.
type TicketBatch struct {
	Tickets       []string `json:"tickets"`
	ExpiresMillis int64    `json:"expiresMillis"`
}
