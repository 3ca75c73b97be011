package daemon

import (
	"context"
	"encoding/json"
	"slices"

	"foxtailmux/member"
	"foxtailmux/peer"
	"foxtailmux/relay"
)

// peers shows the other parts the live entry instances beside this one.
type peers struct {
	self    *Daemon
	group   *peer.Group
	members *member.Group
}

func (p peers) others() []member.Member {
	return slices.DeleteFunc(p.members.Members(), func(m member.Member) bool {
		return m.Entry.ID == p.self.self.ID
	})
}

// Alive returns the peers that tasks may be forwarded to.
func (p peers) Alive() []relay.Peer {
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

// Find returns the id of the peer with that incarnation unless it is dead.
func (p peers) Find(incarnation string) (peerID string, ok bool) {
	for _, m := range p.others() {
		if m.Entry.Incarnation == incarnation && m.State != member.StateDead {
			return m.Entry.ID, true
		}
	}
	return "", false
}

// LiveIncarnations returns the incarnations of the live peers, those of the own data
// centre first.
func (p peers) LiveIncarnations() []string {
	var near, far []string
	for _, m := range p.others() {
		switch {
		case m.State != member.StateAlive:
		case m.Entry.DataCentre == p.self.self.DataCentre:
			near = append(near, m.Entry.Incarnation)
		default:
			far = append(far, m.Entry.Incarnation)
		}
	}
	return append(near, far...)
}

// Call sends a request to a peer once.
func (p peers) Call(ctx context.Context, peerID, method string, params, result any) error {
	return p.group.Call(ctx, peerID, method, params, result)
}

// Handle registers the handler of a method.
func (p peers) Handle(method string, f func(ctx context.Context, params json.RawMessage) (any, error)) {
	p.group.Handle(method, f)
}
