package queue

import "time"

func init() { Orders.Add("deadline", earliestDeadline{}) }

// earliestDeadline serves the job with the earliest deadline first.
type earliestDeadline struct{}

func (earliestDeadline) Before(a, b *Job, _ time.Time) bool {
	return a.Deadline.Before(b.Deadline)
}
