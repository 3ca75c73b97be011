package daemon

import (
	"context"
	"encoding/json"
	"slices"

	"foxtailmux/member"
	"foxtailmux/peer"
	"foxtailmux/relay"
)

// peerDirectory gives the relay and the intake access to the other entry instances.
type peerDirectory struct {
	daemon  *Daemon
	group   *peer.Group
	members *member.Group
}

// others returns all members but this instance.
func (p peerDirectory) others() []member.Member {
	return slices.DeleteFunc(p.members.Members(), func(m member.Member) bool {
		return m.Entry.ID == p.daemon.self.ID
	})
}

// Alive returns the peers that tasks may be forwarded to.
func (p peerDirectory) Alive() []relay.Peer {
	var list []relay.Peer
	for _, m := range p.others() {
		if m.State == member.StateAlive {
			list = append(list, relay.Peer{
				ID:            m.Entry.ID,
				DataCentre:    m.Entry.DataCentre,
				Load:          m.Load,
				LastHeartbeat: m.LastHeartbeat,
			})
		}
	}
	return list
}

// Find returns the ID of the peer with the incarnation unless it is dead.
func (p peerDirectory) Find(incarnation string) (peerID string, ok bool) {
	for _, m := range p.others() {
		if m.Entry.Incarnation == incarnation && m.State != member.StateDead {
			return m.Entry.ID, true
		}
	}
	return "", false
}

// LiveIncarnations returns the incarnations of the live peers, those of the own data
// centre first.
func (p peerDirectory) LiveIncarnations() []string {
	var near, far []string
	for _, m := range p.others() {
		switch {
		case m.State != member.StateAlive:
		case m.Entry.DataCentre == p.daemon.self.DataCentre:
			near = append(near, m.Entry.Incarnation)
		default:
			far = append(far, m.Entry.Incarnation)
		}
	}
	return append(near, far...)
}

// Call sends a request to a peer at most once and decodes the response into result.
func (p peerDirectory) Call(ctx context.Context, peerID, method string, params, result any) error {
	return p.group.Call(ctx, peerID, method, params, result)
}

// Handle registers the handler of a method for requests from peers.
func (p peerDirectory) Handle(method string, f func(ctx context.Context, params json.RawMessage) (any, error)) {
	p.group.Handle(method, f)
}
