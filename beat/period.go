package beat

import "time"

const (
	// useTime is how long instances depend on each other after a job went from
	// one to the other; jobs last a few seconds at most.
	useTime = 5 * time.Second

	// homeShare and otherShare bound the heartbeats that an instance sends and
	// takes in large fleets: with more instances of a kind the period is their
	// number times the share.
	homeShare  = 5 * time.Millisecond
	otherShare = 25 * time.Millisecond
)

// sending is the last heartbeat to an instance, and when it told the next one for.
type sending struct {
	at     time.Time
	period time.Duration
}

// dueBeat is a heartbeat that is due.
type dueBeat struct {
	peer   Peer
	period time.Duration
}

// Use notes that a job goes to an instance, or came from it.
func (g *Group) Use(instance string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.usedAt[instance] = time.Now()
}

// due returns the heartbeats that are sent now.
func (g *Group) due(now time.Time, home bool) []dueBeat {
	g.mu.Lock()
	defer g.mu.Unlock()
	near, far := 0, 0
	for _, p := range g.peers {
		if p.DataCentre == g.options.Self.DataCentre {
			near++
		} else {
			far++
		}
	}

	var list []dueBeat
	for id, p := range g.peers {
		d := dueBeat{peer: p, period: g.period(p, home, near, far, now)}
		wait := d.period
		last, ok := g.sent[id]
		if ok {
			wait = min(wait, last.period)
		}
		// Rounds come a little early or late.
		if ok && now.Sub(last.at) < wait-interval/4 {
			continue
		}
		g.sent[id] = sending{at: now, period: d.period}
		list = append(list, d)
	}
	return list
}

// period returns the time between heartbeats to an instance. Home tells whether this
// one is a home, near and far are the numbers of instances in its data centre and
// elsewhere. Homes are watched by those that may follow them and by those that
// forward jobs; the others only have to be known.
func (g *Group) period(p Peer, home bool, near, far int, now time.Time) time.Duration {
	same := p.DataCentre == g.options.Self.DataCentre
	other := len(g.members[p.Instance].Homes) > 0
	used, ok := g.usedAt[p.Instance]
	switch {
	case ok && now.Sub(used) < useTime, home && other, same && (home || other):
		return interval
	case home, other:
		return max(interval, time.Duration(far)*homeShare)
	case same:
		return max(interval, time.Duration(near)*otherShare)
	}
	return max(farInterval, time.Duration(far)*otherShare)
}
