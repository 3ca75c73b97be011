package queue

import "time"

func init() { Orders.Add("fairShare", fairShare{}) }

// fairShare serves the team that received the least run time divided by its
// weight first. Jobs of one team, and of teams that received equal amounts, are
// served in the order of leastWork.
type fairShare struct{}

func (fairShare) Before(a, b *Job, now time.Time) bool {
	if a.team != b.team && a.team.servedSeconds != b.team.servedSeconds {
		return a.team.servedSeconds < b.team.servedSeconds
	}
	return agedWork(a, now) < agedWork(b, now)
}
