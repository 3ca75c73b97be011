package member

import "time"

// stateOf derives the state of a member from the time since its last heartbeat
// and from its reachability.
func (g *Group) stateOf(r *record, now time.Time) State {
	sinceHeartbeat := now.Sub(r.member.LastHeartbeat)
	suspectAfter, deadAfter := g.timeouts(r)

	switch {
	case sinceHeartbeat > deadAfter:
		return StateDead
	case r.leaving:
		return StateLeaving
	case sinceHeartbeat > suspectAfter || !r.unreachableSince.IsZero():
		return StateSuspect
	default:
		return StateAlive
	}
}

func (g *Group) timeouts(r *record) (suspectAfter, deadAfter time.Duration) {
	if r.member.Entry.DataCentre != g.self.Entry.DataCentre {
		return remoteSuspectAfter, remoteDeadAfter
	}
	suspectAfter = maxMissedPeriods * max(r.period, g.period, g.minPeriod())
	return suspectAfter, 2 * suspectAfter
}

// RecordReachability records whether a new connection to a member could be opened.
// An unreachable member is suspect until a heartbeat arrives from the member
// itself or a connection succeeds. Hints from other members do not end the
// suspicion, since those may reach a member that this instance can't reach.
func (g *Group) RecordReachability(id string, reachable bool) {
	g.notify(g.setReachable(id, reachable))
}

func (g *Group) setReachable(id string, reachable bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	r := g.records[id]
	if r == nil || !r.hasAddr() {
		return false
	}
	now := time.Now()
	switch {
	case reachable:
		r.unreachableSince = time.Time{}
	case r.unreachableSince.IsZero():
		r.unreachableSince = now
		r.retriedSinceUnreachable = false
	}

	before := r.member.State
	r.member.State = g.stateOf(r, now)
	return r.member.State != before
}

// updateStates updates the states of all members, removes members without a
// heartbeat for forgetAfter, and reports whether anything changed.
func (g *Group) updateStates(now time.Time) bool {
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

// compensatePause moves the last heartbeat of every member forward by a pause of
// this process, since no heartbeat could be received during the pause.
func (g *Group) compensatePause(now time.Time, pause time.Duration) {
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
