package queue

import "time"

// teamUsage is the run time that a team received, divided by its weight. A team
// that had no waiting jobs continues at least at the lowest usage of the waiting
// teams, so that it can't accumulate credit while it is idle.
type teamUsage struct {
	servedSeconds float64 // expected run time of started tasks, divided by the weight
	jobs          int
}

func (u *teamUsage) charge(work time.Duration, weight int) {
	u.servedSeconds += work.Seconds() / float64(max(1, weight))
}

// addTeamJob counts one more waiting job of a team and returns the team's usage.
func (q *Queue) addTeamJob(team string) *teamUsage {
	u, ok := q.teams[team]
	if !ok {
		u = &teamUsage{}
		q.teams[team] = u
	}
	if u.jobs == 0 {
		u.servedSeconds = max(u.servedSeconds, q.lowestServedSeconds())
	}
	u.jobs++
	return u
}

// lowestServedSeconds returns the lowest usage of the teams with waiting jobs, or
// 0 if there are none.
func (q *Queue) lowestServedSeconds() float64 {
	found := false
	var lowest float64
	for _, u := range q.teams {
		if u.jobs > 0 && (!found || u.servedSeconds < lowest) {
			found, lowest = true, u.servedSeconds
		}
	}
	return lowest
}

// evictIdleTeams removes the records of teams without a waiting job once there
// are maxTeamRecords records.
func (q *Queue) evictIdleTeams() {
	if len(q.teams) < maxTeamRecords {
		return
	}
	for name, u := range q.teams {
		if u.jobs == 0 {
			delete(q.teams, name)
		}
	}
}
