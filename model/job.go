// Package model holds the plain structs that the other packages exchange: jobs, tasks,
// answers, workers, and the messages between an entry instance and a worker.
package model

import "encoding/json"

// Task is one unit of work of a job. Its payload is passed to the worker unparsed.
type Task struct {
	Payload        json.RawMessage `json:"payload,omitempty"`
	ExpectedMillis int64           `json:"expectedMillis,omitempty"`
	Needs          Resources       `json:"needs,omitzero"`
}

// Job is a submission of a caller.
type Job struct {
	Team    string `json:"team"`
	Service string `json:"service"`
	Tasks   []Task `json:"tasks"`

	// DeadlineMillis counts from the receipt of the job; 0 selects the default of the
	// service.
	DeadlineMillis int64 `json:"deadlineMillis,omitempty"`

	// Repeatable declares that a task may be started again after an attempt with an unknown
	// outcome.
	Repeatable bool `json:"repeatable,omitempty"`

	Ticket         string `json:"ticket,omitempty"`
	IdempotencyKey string `json:"idempotencyKey,omitempty"`
}

// Result states whether an answer holds the results of all tasks.
type Result string

// The results of a job.
const (
	Complete Result = "complete"
	Failed   Result = "failed"
)

// Ran states whether tasks of a job were started.
type Ran string

// RanNo guarantees that no task of the job was or will be started.
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

// Failure explains why a job has no results. RetryAfterMillis is 0 if another attempt would
// fail as well.
type Failure struct {
	Kind             FailureKind `json:"kind"`
	Reason           string      `json:"reason"`
	RetryAfterMillis int64       `json:"retryAfterMillis,omitempty"`
}

// Answer is the response to the caller of a job: either the results of all tasks, in the
// order of the tasks, or a failure. Ran covers all submissions of the job, ThisAttempt only
// the one that is being answered.
type Answer struct {
	JobID       string            `json:"jobId"`
	Result      Result            `json:"result"`
	Ran         Ran               `json:"ran"`
	ThisAttempt Ran               `json:"thisAttempt,omitempty"`
	Tasks       []json.RawMessage `json:"tasks,omitempty"`
	Error       *Failure          `json:"error,omitempty"`
}

// Fail returns the answer of a job that failed.
func Fail(id string, ran Ran, kind FailureKind, reason string) Answer {
	return Answer{
		JobID:  id,
		Result: Failed,
		Ran:    ran,
		Error:  &Failure{Kind: kind, Reason: reason},
	}
}

// JobStatus is the response to a status query: the job is open or has an answer.
type JobStatus struct {
	JobID  string  `json:"jobId"`
	Open   bool    `json:"open"`
	Answer *Answer `json:"answer,omitempty"`
}

// TicketBatch is the response to a request for tickets.
type TicketBatch struct {
	Tickets       []string `json:"tickets"`
	ExpiresMillis int64    `json:"expiresMillis"`
}
