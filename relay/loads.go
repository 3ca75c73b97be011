package relay

import (
	"sync"
	"time"

	"foxtailmux/model"
)

// loads holds what is known of the peers' load: the newest of what their
// heartbeats and their replies told, and the tasks that were forwarded since.
type loads struct {
	mu    sync.Mutex
	peers map[string]*peerLoad
}

type peerLoad struct {
	load  model.Load
	at    time.Time
	since int // tasks forwarded after the load was told
}

// of returns a peer's load and the tasks that were forwarded to it since.
func (l *loads) of(m Peer) (load model.Load, since int) {
	l.mu.Lock()
	defer l.mu.Unlock()

	p := l.peer(m.ID)
	p.told(m.Load, m.LastHeartbeat)
	return p.load, p.since
}

// tell records a load that a message of the peer carried.
func (l *loads) tell(peerID string, load model.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.peer(peerID).told(load, time.Now())
}

// forwarded counts tasks that are on their way to a peer.
func (l *loads) forwarded(peerID string, tasks int) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.peer(peerID).since += tasks
}

// peer returns the record of a peer. The lock is held.
func (l *loads) peer(id string) *peerLoad {
	if l.peers == nil {
		l.peers = map[string]*peerLoad{}
	}
	p, ok := l.peers[id]
	if !ok {
		p = &peerLoad{}
		l.peers[id] = p
	}
	return p
}

func (p *peerLoad) told(load model.Load, at time.Time) {
	if p.at.IsZero() || at.After(p.at) {
		*p = peerLoad{load: load, at: at}
	}
}

// keep forgets the peers that are no longer listed.
func (l *loads) keep(members []Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if len(l.peers) <= len(members) {
		return
	}
	listed := map[string]bool{}
	for _, m := range members {
		listed[m.ID] = true
	}
	for id := range l.peers {
		if !listed[id] {
			delete(l.peers, id)
		}
	}
}
