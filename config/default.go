package config

import "time"

// Default returns the values that apply where a configuration folder sets none.
func Default() Document {
	return Document{
		Placement: Placement{
			Policy:          "homes",
			Order:           "fifo",
			MaxQueuePerSlot: 16,
			EarlyRefusal:    true,
			SpillOver:       true,
		},
		Retry: Retry{
			BudgetShare: 0.1,
			MaxAttempts: 3,
		},
		Ejection: Ejection{
			Failures:   3,
			Backoff:    time.Second,
			MaxBackoff: 30 * time.Second,
			MaxShare:   0.34,
		},
		Intervals: Intervals{
			ConfigPoll: 2 * time.Second,
			ListPoll:   time.Second,
			StatusPoll: time.Second,
			Heartbeat:  500 * time.Millisecond,
			ClaimGroup: 20 * time.Millisecond,
			IdleConn:   5 * time.Second,
		},
		Limits: Limits{
			MaxOpenJobs:     5000,
			MaxOpenTickets:  100_000,
			TicketRetention: 10 * time.Minute,
			KeyRetention:    24 * time.Hour,
		},
	}
}

// Defaults for the fields that a service or a team leaves out.
const (
	defaultMaxTasks    = 230
	defaultDeadline    = 10 * time.Second
	defaultMaxDeadline = 60 * time.Second
	defaultExpectedRun = 200 * time.Millisecond

	defaultWeight = 1
)

// Defaults for the limits on stored answers. They are not part of Default, so
// that documents from before these fields existed keep their digests.
const (
	defaultAnswerRetention = 2 * time.Minute
	defaultMaxAnswerMB     = 48
)

// WithDefaults returns the limits with defaults for AnswerRetention and
// MaxAnswerMB where they are 0.
func (l Limits) WithDefaults() Limits {
	if l.AnswerRetention == 0 {
		l.AnswerRetention = defaultAnswerRetention
	}
	if l.MaxAnswerMB == 0 {
		l.MaxAnswerMB = defaultMaxAnswerMB
	}
	return l
}

// WithDefaults returns the service with defaults for the fields that are 0.
func (s Service) WithDefaults() Service {
	if s.MaxTasks == 0 {
		s.MaxTasks = defaultMaxTasks
	}
	if s.DefaultDeadline == 0 {
		s.DefaultDeadline = defaultDeadline
	}
	if s.MaxDeadline == 0 {
		s.MaxDeadline = defaultMaxDeadline
	}
	if s.ExpectedRun == 0 {
		s.ExpectedRun = defaultExpectedRun
	}
	return s
}

// Service returns the named service with its defaults filled in. The second
// result is false if there is none.
func (d *Document) Service(name string) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s.WithDefaults(), true
		}
	}
	return Service{}, false
}

// Team returns the named team. The second result is false if there is none.
func (d *Document) Team(name string) (Team, bool) {
	for _, t := range d.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}
