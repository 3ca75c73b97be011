package relay

import (
	"sync"
	"time"

	"foxtailmux/model"
)

// peerLoads stores the load of each peer: the newest one that a heartbeat or a
// reply reported, and the number of tasks forwarded to the peer since then.
type peerLoads struct {
	mu    sync.Mutex
	peers map[string]*peerLoad
}

type peerLoad struct {
	load           model.Load
	reportedAt     time.Time
	forwardedSince int // tasks forwarded after the load was reported
}

// get returns the load of a peer and the number of tasks forwarded to it since
// that load was reported.
func (l *peerLoads) get(p Peer) (load model.Load, since int) {
	l.mu.Lock()
	defer l.mu.Unlock()

	r := l.entry(p.ID)
	r.updateIfNewer(p.Load, p.LastHeartbeat)
	return r.load, r.forwardedSince
}

// record stores a load that a reply of the peer reported.
func (l *peerLoads) record(peerID string, load model.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.entry(peerID).updateIfNewer(load, time.Now())
}

// addForwarded counts tasks that are forwarded to a peer.
func (l *peerLoads) addForwarded(peerID string, tasks int) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.entry(peerID).forwardedSince += tasks
}

// entry returns the record of a peer and creates it if there is none. The lock is
// held.
func (l *peerLoads) entry(id string) *peerLoad {
	if l.peers == nil {
		l.peers = map[string]*peerLoad{}
	}
	r, ok := l.peers[id]
	if !ok {
		r = &peerLoad{}
		l.peers[id] = r
	}
	return r
}

func (r *peerLoad) updateIfNewer(load model.Load, at time.Time) {
	if r.reportedAt.IsZero() || at.After(r.reportedAt) {
		*r = peerLoad{load: load, reportedAt: at}
	}
}

// retain removes the records of peers that are not in the list.
func (l *peerLoads) retain(peers []Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if len(l.peers) <= len(peers) {
		return
	}
	known := map[string]bool{}
	for _, p := range peers {
		known[p.ID] = true
	}
	for id := range l.peers {
		if !known[id] {
			delete(l.peers, id)
		}
	}
}
