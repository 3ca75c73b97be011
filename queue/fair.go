package queue

import "time"

func init() { Orders.Add("fairShare", fairShare{}) }

// fairShare serves the team that got the least work for its weight, and within
// a team the job with the least work left, less its age.
type fairShare struct{}

func (fairShare) Before(a, b *Job, now time.Time) bool {
	if a.team != b.team && a.team.served != b.team.served {
		return a.team.served < b.team.served
	}
	return aged(a, now) < aged(b, now)
}
