// Package config handles the configuration that all instances share. Operators
// keep it as a folder of YAML files, which Load merges and validates into a
// Document. Apply stores the document as a numbered version: the head row of
// the platform's table names the newest version, and the history rows form a
// hash chain of all changes. In each instance a Watcher polls the head and
// brings newer versions into force, that is, the instance uses them from then
// on.
package config

import "time"

// Document is the merged configuration. Instances reject a document with an
// unknown field. A field that a release adds to these types is therefore
// omitted from the JSON encoding while it is zero (omitzero), and zero has to
// stand for the behaviour of earlier releases.
type Document struct {
	Services  []Service   `yaml:"services" json:"services"`
	Pools     []Pool      `yaml:"pools" json:"pools"`
	Teams     []Team      `yaml:"teams" json:"teams"`
	Placement Placement   `yaml:"placement" json:"placement"`
	Retry     Retry       `yaml:"retry" json:"retry"`
	Ejection  Ejection    `yaml:"ejection" json:"ejection"`
	Intervals Intervals   `yaml:"intervals" json:"intervals"`
	Limits    Limits      `yaml:"limits" json:"limits"`
	Access    []AccessKey `yaml:"access" json:"access"`
}

// Service is a kind of task that callers may submit. MayRepeat lets callers
// submit jobs whose tasks may be started again after an unknown outcome.
// MaxTasks bounds the tasks of one job. DefaultDeadline applies to jobs that
// declare no deadline, and MaxDeadline bounds the declared ones. ExpectedRun is
// the usual run time of one task.
type Service struct {
	Name            string        `yaml:"name" json:"name"`
	Pool            string        `yaml:"pool" json:"pool"`
	MayRepeat       bool          `yaml:"mayRepeat" json:"mayRepeat"`
	MaxTasks        int           `yaml:"maxTasks" json:"maxTasks"`
	DefaultDeadline time.Duration `yaml:"defaultDeadline" json:"defaultDeadline"`
	MaxDeadline     time.Duration `yaml:"maxDeadline" json:"maxDeadline"`
	ExpectedRun     time.Duration `yaml:"expectedRun" json:"expectedRun"`
}

// Pool is a set of endpoints that serve the same services.
type Pool struct {
	Name string `yaml:"name" json:"name"`
}

// Team is a group of callers with a quota. The limits apply on each entry
// instance separately; 0 means no limit. StartsPerSecond counts starts of tasks.
// Weight sets the team's share of the queue relative to other teams.
type Team struct {
	Name            string  `yaml:"name" json:"name"`
	Weight          int     `yaml:"weight" json:"weight"`
	MaxOpenJobs     int     `yaml:"maxOpenJobs" json:"maxOpenJobs"`
	StartsPerSecond float64 `yaml:"startsPerSecond" json:"startsPerSecond"`
}

// Placement names the plug-ins that choose workers (Policy) and order the queue
// (Order). MaxQueuePerSlot bounds the queue to that many tasks for each slot.
// With EarlyRefusal, jobs that are not expected to meet their deadline are
// refused at once. With SpillOver, a job that its instance would refuse may be
// forwarded to another data centre.
type Placement struct {
	Policy          string `yaml:"policy" json:"policy"`
	Order           string `yaml:"order" json:"order"`
	MaxQueuePerSlot int    `yaml:"maxQueuePerSlot" json:"maxQueuePerSlot"`
	EarlyRefusal    bool   `yaml:"earlyRefusal" json:"earlyRefusal"`
	SpillOver       bool   `yaml:"spillOver" json:"spillOver"`
}

// Retry bounds repeated starts of tasks. BudgetShare is the share of repeated
// starts relative to first attempts, from 0 to 1. A failed task is started again
// only while it had fewer than MaxAttempts attempts, the first one and those that
// its worker refused or did not receive included. HedgeShare and HedgeAfter are
// reserved for hedged starts; HedgeShare must be 0.
type Retry struct {
	BudgetShare float64       `yaml:"budgetShare" json:"budgetShare"`
	HedgeShare  float64       `yaml:"hedgeShare" json:"hedgeShare"`
	HedgeAfter  time.Duration `yaml:"hedgeAfter" json:"hedgeAfter"`
	MaxAttempts int           `yaml:"maxAttempts" json:"maxAttempts"`
}

// Ejection sets when no more tasks are placed on a worker that keeps failing:
// after Failures in a row, for Backoff, which grows up to MaxBackoff. MaxShare,
// from 0 to 1, bounds the share of an instance's workers that are ejected at
// once.
type Ejection struct {
	Failures   int           `yaml:"failures" json:"failures"`
	Backoff    time.Duration `yaml:"backoff" json:"backoff"`
	MaxBackoff time.Duration `yaml:"maxBackoff" json:"maxBackoff"`
	MaxShare   float64       `yaml:"maxShare" json:"maxShare"`
}

// Intervals are the periods of background work. ConfigPoll, ListPoll and
// StatusPoll are the poll intervals of the configuration, the list of workers
// and their status, Heartbeat is the shortest interval between heartbeats to
// peers. ClaimGroup is the shortest interval between transactions that claim
// idempotency keys, IdleConn how long an idle connection to a worker is kept.
type Intervals struct {
	ConfigPoll time.Duration `yaml:"configPoll" json:"configPoll"`
	ListPoll   time.Duration `yaml:"listPoll" json:"listPoll"`
	StatusPoll time.Duration `yaml:"statusPoll" json:"statusPoll"`
	Heartbeat  time.Duration `yaml:"heartbeat" json:"heartbeat"`
	ClaimGroup time.Duration `yaml:"claimGroup" json:"claimGroup"`
	IdleConn   time.Duration `yaml:"idleConn" json:"idleConn"`
}

// Limits bound the open jobs, tickets and stored answers of one instance.
// MaxOpenTickets counts unused, open and answered tickets; an unused one is kept
// for TicketRetention. Answers to jobs with a ticket or an idempotency key are
// kept for AnswerRetention; the oldest are removed earlier when all together
// exceed MaxAnswerMB, in units of 2^20 bytes. For these two, 0 selects the
// defaults of 2 min and 48 MB. Claims of idempotency keys are kept for
// KeyRetention.
type Limits struct {
	MaxOpenJobs     int           `yaml:"maxOpenJobs" json:"maxOpenJobs"`
	MaxOpenTickets  int           `yaml:"maxOpenTickets" json:"maxOpenTickets"`
	TicketRetention time.Duration `yaml:"ticketRetention" json:"ticketRetention"`
	AnswerRetention time.Duration `yaml:"answerRetention" json:"answerRetention,omitzero"`
	MaxAnswerMB     int           `yaml:"maxAnswerMB" json:"maxAnswerMB,omitzero"`
	KeyRetention    time.Duration `yaml:"keyRetention" json:"keyRetention"`
}

// Role is a set of permissions on the operators' port.
type Role string

// The roles of a key. RoleOperate includes RoleRead.
const (
	RoleRead    Role = "read"
	RoleOperate Role = "operate"
)

// AccessKey is an operator's bearer key. Only its SHA-256 in lower-case hex is
// stored.
type AccessKey struct {
	Name   string `yaml:"name" json:"name"`
	SHA256 string `yaml:"sha256" json:"sha256"`
	Role   Role   `yaml:"role" json:"role"`
}

// Version is a document with its number in the history, which starts at 1, and
// its digest.
type Version struct {
	Number   int64    `json:"number"`
	Digest   string   `json:"digest"`
	Document Document `json:"document"`
}
