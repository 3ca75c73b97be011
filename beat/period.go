package beat

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// forwardWindow is how long instances depend on each other after one forwarded a job
	// to the other; jobs last a few seconds at most.
	forwardWindow = 5 * time.Second

	// homePeriodPerPeer, remotePeriodPerPeer and localPeriodPerPeer bound the rate of
	// heartbeats that an instance sends and receives in large fleets: with many peers of
	// a kind the period is their number times this duration.
	homePeriodPerPeer   = 5 * time.Millisecond
	remotePeriodPerPeer = 25 * time.Millisecond
	localPeriodPerPeer  = 100 * time.Millisecond

	// maxSuccessors is the number of instances of a data centre that exchange heartbeats
	// with each other as often as with its home, since one of them succeeds it: two of
	// them may fail together with the home.
	maxSuccessors = 3
)

// CompareSuccessors orders instances by how suitable they are as the home of their data
// centre: by their cores, most first, and equal ones in an order on which all instances
// agree.
func CompareSuccessors(a, b Peer) int {
	return cmp.Or(-cmp.Compare(a.Cores, b.Cores), cmp.Compare(tieBreaker(a), tieBreaker(b)))
}

// tieBreaker gives instances with equal cores an order, by a hash of the name.
func tieBreaker(p Peer) uint64 { return xxhash.Sum64String(p.DataCentre + "/" + p.Instance) }

// sentHeartbeat is the last heartbeat to an instance and the period that it announced.
type sentHeartbeat struct {
	at     time.Time
	period time.Duration
}

// dueHeartbeat is a heartbeat that is due.
type dueHeartbeat struct {
	peer   Peer
	period time.Duration
	toHome bool
}

// RecordForward records that a job was forwarded to or from an instance.
func (d *Detector) RecordForward(instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastForward[instance] = time.Now()
}

// due returns the heartbeats to send now and records them as sent.
func (d *Detector) due(now time.Time, isHome bool) []dueHeartbeat {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.topology(now)
	var list []dueHeartbeat
	for id, p := range d.peers {
		hb := dueHeartbeat{peer: p, period: d.period(p, isHome, t, now), toHome: len(d.statuses[id].Homes) > 0}
		wait := hb.period
		last, ok := d.sent[id]
		if ok {
			wait = min(wait, last.period)
		}
		// Ticks are a little early or late.
		if ok && now.Sub(last.at) < wait-heartbeatInterval/4 {
			continue
		}
		d.sent[id] = sentHeartbeat{at: now, period: hb.period}
		list = append(list, hb)
	}
	return list
}

// topology holds the numbers of peers in this data centre and in others, and, if this
// instance is one of them, the instances that may succeed the home of this data centre.
type topology struct {
	localPeers, remotePeers int
	successors              map[string]bool
}

// topology returns the present topology. The caller holds the lock.
func (d *Detector) topology(now time.Time) topology {
	var t topology
	alive := []Peer{d.options.Self}
	for id, p := range d.peers {
		if p.DataCentre != d.options.Self.DataCentre {
			t.remotePeers++
			continue
		}
		t.localPeers++
		if d.aliveAt(id, now) {
			alive = append(alive, p)
		}
	}
	slices.SortFunc(alive, CompareSuccessors)
	names := map[string]bool{}
	for _, p := range alive[:min(len(alive), maxSuccessors)] {
		names[p.Instance] = true
	}
	if names[d.options.Self.Instance] {
		t.successors = names
	}
	return t
}

// period returns the time between heartbeats to a peer. Homes exchange heartbeats at
// heartbeatInterval with each other and with the instances of their data centre, which may
// succeed them. So do two instances of which one has just forwarded a job to the other, and
// the possible successors of this data centre's home. The others only need to discover each
// other.
func (d *Detector) period(p Peer, isHome bool, t topology, now time.Time) time.Duration {
	sameDataCentre := p.DataCentre == d.options.Self.DataCentre
	peerIsHome := len(d.statuses[p.Instance].Homes) > 0
	forwardedAt, ok := d.lastForward[p.Instance]
	switch {
	case ok && now.Sub(forwardedAt) < forwardWindow, isHome && peerIsHome, sameDataCentre && (isHome || peerIsHome), t.successors[p.Instance]:
		return heartbeatInterval
	case isHome, peerIsHome:
		return max(heartbeatInterval, time.Duration(t.remotePeers)*homePeriodPerPeer)
	case sameDataCentre:
		return max(heartbeatInterval, time.Duration(t.localPeers)*localPeriodPerPeer)
	}
	return max(remoteInterval, time.Duration(t.remotePeers)*remotePeriodPerPeer)
}
