package beat

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// useTime is how long instances depend on each other after a job went from
	// one to the other; jobs last a few seconds at most.
	useTime = 5 * time.Second

	// homeShare, farShare and nearShare bound the heartbeats that an instance sends and
	// takes in large fleets: with more instances of a kind the period is their
	// number times the share.
	homeShare = 5 * time.Millisecond
	farShare  = 25 * time.Millisecond
	nearShare = 100 * time.Millisecond

	// successors is the number of instances of a data centre that hear each other as
	// often as they hear its home, since one of them follows it: two may be lost with it.
	successors = 3
)

// CompareSuccessors orders instances by how well they suit as the home of their data
// centre: those with most processor first, and equal ones so that all instances find the
// same order.
func CompareSuccessors(a, b Peer) int {
	return cmp.Or(-cmp.Compare(a.Cores, b.Cores), cmp.Compare(rank(a), rank(b)))
}

func rank(p Peer) uint64 { return xxhash.Sum64String(p.DataCentre + "/" + p.Instance) }

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

// RecordForward notes that a job goes to an instance, or came from it.
func (g *Detector) RecordForward(instance string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.usedAt[instance] = time.Now()
}

// due returns the heartbeats that are sent now.
func (g *Detector) due(now time.Time, home bool) []dueBeat {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.surroundings(now)
	var list []dueBeat
	for id, p := range g.peers {
		d := dueBeat{peer: p, period: g.period(p, home, r, now)}
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

// surroundings are the numbers of instances in the data centre and elsewhere, and the
// successors of the data centre's home if this instance is one of them.
type surroundings struct {
	near, far  int
	successors map[string]bool
}

func (g *Detector) surroundings(now time.Time) surroundings {
	var r surroundings
	living := []Peer{g.options.Self}
	for id, p := range g.peers {
		if p.DataCentre != g.options.Self.DataCentre {
			r.far++
			continue
		}
		r.near++
		if g.aliveAt(id, now) {
			living = append(living, p)
		}
	}
	slices.SortFunc(living, CompareSuccessors)
	list := map[string]bool{}
	for _, p := range living[:min(len(living), successors)] {
		list[p.Instance] = true
	}
	if list[g.options.Self.Instance] {
		r.successors = list
	}
	return r
}

// period returns the time between heartbeats to an instance. Home tells whether this
// one is a home. Homes are watched by those that may follow them and by those that
// forward jobs, and those that may follow watch each other; the others only have to be
// known.
func (g *Detector) period(p Peer, home bool, r surroundings, now time.Time) time.Duration {
	same := p.DataCentre == g.options.Self.DataCentre
	other := len(g.members[p.Instance].Homes) > 0
	used, ok := g.usedAt[p.Instance]
	switch {
	case ok && now.Sub(used) < useTime, home && other, same && (home || other), r.successors[p.Instance]:
		return interval
	case home, other:
		return max(interval, time.Duration(r.far)*homeShare)
	case same:
		return max(interval, time.Duration(r.near)*nearShare)
	}
	return max(farInterval, time.Duration(r.far)*farShare)
}
