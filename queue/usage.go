package queue

import "time"

// teamUsage counts the work that was started for a team, divided by its
// weight. A team that was idle begins at the level of the others, so that it
// can't save up a claim.
type teamUsage struct {
	served float64 // seconds of weighted work
	jobs   int
}

func (u *teamUsage) add(work time.Duration, weight int) {
	u.served += work.Seconds() / float64(max(1, weight))
}

// join counts a job of a team and returns the team's usage.
func (q *Queue) join(team string) *teamUsage {
	u, ok := q.teams[team]
	if !ok {
		u = &teamUsage{}
		q.teams[team] = u
	}
	if u.jobs == 0 {
		u.served = max(u.served, q.lowestServed())
	}
	u.jobs++
	return u
}

// lowestServed returns the usage of the waiting team that was served least.
func (q *Queue) lowestServed() float64 {
	found := false
	var lowest float64
	for _, u := range q.teams {
		if u.jobs > 0 && (!found || u.served < lowest) {
			found, lowest = true, u.served
		}
	}
	return lowest
}

// forgetIdle drops the teams that have no job when there are too many.
func (q *Queue) forgetIdle() {
	if len(q.teams) < maxTeams {
		return
	}
	for name, u := range q.teams {
		if u.jobs == 0 {
			delete(q.teams, name)
		}
	}
}
