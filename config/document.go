// Package config holds the configuration that all instances share: its
// documents, their checks, the versions in the platform's table and the
// watcher that brings a new version into force.
package config

import "time"

// Document is the merged configuration. An instance refuses a document with a
// field that it does not know. So a field that is added to these types is
// left out of the JSON form while it is zero (omitzero), and zero has to mean
// what earlier releases do.
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

// Service is a kind of task that callers may submit.
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

// Team is a group of callers with a quota. Limits hold for each entry
// instance; 0 means no limit. Weight is the share among teams in the queue.
type Team struct {
	Name            string  `yaml:"name" json:"name"`
	Weight          int     `yaml:"weight" json:"weight"`
	MaxOpenJobs     int     `yaml:"maxOpenJobs" json:"maxOpenJobs"`
	StartsPerSecond float64 `yaml:"startsPerSecond" json:"startsPerSecond"`
}

// Placement names the plug-ins that place tasks and order the queue, and
// bounds the queue to a number of tasks for each slot.
type Placement struct {
	Policy          string `yaml:"policy" json:"policy"`
	Order           string `yaml:"order" json:"order"`
	MaxQueuePerSlot int    `yaml:"maxQueuePerSlot" json:"maxQueuePerSlot"`
	EarlyRefusal    bool   `yaml:"earlyRefusal" json:"earlyRefusal"`
	SpillOver       bool   `yaml:"spillOver" json:"spillOver"`
}

// Retry bounds repeated starts. Shares are of first attempts. HedgeShare and
// HedgeAfter are reserved for hedged starts; HedgeShare must be 0.
type Retry struct {
	BudgetShare float64       `yaml:"budgetShare" json:"budgetShare"`
	HedgeShare  float64       `yaml:"hedgeShare" json:"hedgeShare"`
	HedgeAfter  time.Duration `yaml:"hedgeAfter" json:"hedgeAfter"`
	MaxAttempts int           `yaml:"maxAttempts" json:"maxAttempts"`
}

// Ejection takes workers that keep failing out of the placement.
type Ejection struct {
	Failures   int           `yaml:"failures" json:"failures"`
	Backoff    time.Duration `yaml:"backoff" json:"backoff"`
	MaxBackoff time.Duration `yaml:"maxBackoff" json:"maxBackoff"`
	MaxShare   float64       `yaml:"maxShare" json:"maxShare"`
}

// Intervals are the periods of the background work.
type Intervals struct {
	ConfigPoll time.Duration `yaml:"configPoll" json:"configPoll"`
	ListPoll   time.Duration `yaml:"listPoll" json:"listPoll"`
	StatusPoll time.Duration `yaml:"statusPoll" json:"statusPoll"`
	Heartbeat  time.Duration `yaml:"heartbeat" json:"heartbeat"`
	ClaimGroup time.Duration `yaml:"claimGroup" json:"claimGroup"`
	IdleConn   time.Duration `yaml:"idleConn" json:"idleConn"`
}

// Limits bound what callers may hold open on one instance. Answers to jobs
// with a ticket or key are kept for AnswerRetention, and the oldest go earlier
// when they take up more than MaxAnswerMB; 0 takes 2 min and 48 MB.
type Limits struct {
	MaxOpenJobs     int           `yaml:"maxOpenJobs" json:"maxOpenJobs"`
	MaxOpenTickets  int           `yaml:"maxOpenTickets" json:"maxOpenTickets"`
	TicketRetention time.Duration `yaml:"ticketRetention" json:"ticketRetention"`
	AnswerRetention time.Duration `yaml:"answerRetention" json:"answerRetention,omitzero"`
	MaxAnswerMB     int           `yaml:"maxAnswerMB" json:"maxAnswerMB,omitzero"`
	KeyRetention    time.Duration `yaml:"keyRetention" json:"keyRetention"`
}

// Role is what the holder of a key may do.
type Role string

// The roles of a key. Operate includes read.
const (
	RoleRead    Role = "read"
	RoleOperate Role = "operate"
)

// AccessKey is an operator's bearer key, kept as the hex SHA-256 of the key.
type AccessKey struct {
	Name   string `yaml:"name" json:"name"`
	SHA256 string `yaml:"sha256" json:"sha256"`
	Role   Role   `yaml:"role" json:"role"`
}

// Version is a configuration together with its place in the history.
type Version struct {
	Number   int64    `json:"number"`
	Digest   string   `json:"digest"`
	Document Document `json:"document"`
}
