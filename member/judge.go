package member

import "time"

// stateOf judges a member by the time since it was last heard.
func (g *Group) stateOf(r *record, now time.Time) State {
	silence := now.Sub(r.member.LastHeartbeat)
	suspectAfter, deadAfter := g.limits(r)

	switch {
	case silence > deadAfter:
		return StateDead
	case r.leaving:
		return StateLeaving
	case silence > suspectAfter || !r.unreachedAt.IsZero():
		return StateSuspect
	default:
		return StateAlive
	}
}

func (g *Group) limits(r *record) (suspectAfter, deadAfter time.Duration) {
	if r.member.Entry.DataCentre != g.self.Entry.DataCentre {
		return remoteSuspectAfter, remoteDeadAfter
	}
	suspectAfter = missedPeriods * max(r.period, g.period, g.minPeriod())
	return suspectAfter, 2 * suspectAfter
}

// RecordReachability records whether a new connection to a member could be opened.
// An unreachable member is suspect until a heartbeat arrives from the member
// itself or a connection succeeds. Hints from other members do not end the
// suspicion, since those may reach a member that this instance can't reach.
func (g *Group) RecordReachability(id string, reached bool) {
	g.notify(g.setReached(id, reached))
}

func (g *Group) setReached(id string, reached bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	r := g.records[id]
	if r == nil || !r.known() {
		return false
	}
	now := time.Now()
	switch {
	case reached:
		r.unreachedAt = time.Time{}
	case r.unreachedAt.IsZero():
		r.unreachedAt = now
		r.retried = false
	}

	before := r.member.State
	r.member.State = g.stateOf(r, now)
	return r.member.State != before
}

// judge updates the states of all members and reports a change.
func (g *Group) judge(now time.Time) bool {
	changed := false
	for id, r := range g.records {
		state := g.stateOf(r, now)
		changed = changed || state != r.member.State
		r.member.State = state

		if now.Sub(r.member.LastHeartbeat) > forgetAfter {
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
		r.member.LastHeartbeat = earlier(now, r.member.LastHeartbeat.Add(pause))
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
