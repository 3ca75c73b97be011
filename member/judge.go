package member

import "time"

// stateOf judges a member by the time since it was last heard.
func (g *Group) stateOf(r *record, now time.Time) State {
	silence := now.Sub(r.member.LastHeard)
	suspectAfter, deadAfter := g.limits(r)

	switch {
	case silence > deadAfter:
		return StateDead
	case r.leaving:
		return StateLeaving
	case silence > suspectAfter:
		return StateSuspect
	default:
		return StateAlive
	}
}

func (g *Group) limits(r *record) (suspectAfter, deadAfter time.Duration) {
	if r.member.Entry.DataCentre != g.self.Entry.DataCentre {
		return remoteSuspectAfter, remoteDeadAfter
	}
	suspectAfter = missedPeriods * max(r.period, g.period, g.options.MinPeriod)
	return suspectAfter, 2 * suspectAfter
}

// judge updates the states of all members and reports a change.
func (g *Group) judge(now time.Time) bool {
	changed := false
	for id, r := range g.records {
		state := g.stateOf(r, now)
		changed = changed || state != r.member.State
		r.member.State = state

		if now.Sub(r.member.LastHeard) > forgetAfter {
			delete(g.records, id)
			g.options.Transport.RemovePeer(id)
			changed = true
		}
	}
	return changed
}

// excuse credits a pause of the own process to every member, since nobody
// could be heard during it.
func (g *Group) excuse(now time.Time, pause time.Duration) {
	for _, r := range g.records {
		r.member.LastHeard = earlier(now, r.member.LastHeard.Add(pause))
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
