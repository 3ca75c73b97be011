package config

import "time"

// Default returns the values of everything that a folder leaves out.
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

// Defaults that a service or a team takes for the fields it leaves out.
const (
	defaultMaxTasks    = 230
	defaultDeadline    = 10 * time.Second
	defaultMaxDeadline = 60 * time.Second
	defaultExpectedRun = 200 * time.Millisecond

	defaultWeight = 1
)

// Defaults of the bounds on kept answers. They are not part of Default, so
// that documents written before these fields keep their digests.
const (
	defaultAnswerRetention = 2 * time.Minute
	defaultMaxAnswerMB     = 48
)

// WithDefaults fills the bounds on kept answers that are left out.
func (l Limits) WithDefaults() Limits {
	if l.AnswerRetention == 0 {
		l.AnswerRetention = defaultAnswerRetention
	}
	if l.MaxAnswerMB == 0 {
		l.MaxAnswerMB = defaultMaxAnswerMB
	}
	return l
}

// WithDefaults fills the fields that a service leaves out.
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

// Service returns the service of that name with its defaults filled in.
func (d *Document) Service(name string) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s.WithDefaults(), true
		}
	}
	return Service{}, false
}

// Team returns the team of that name.
func (d *Document) Team(name string) (Team, bool) {
	for _, t := range d.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}
