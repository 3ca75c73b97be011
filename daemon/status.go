package daemon

import (
	"net/netip"
	"time"

	"foxtailmux/config"
	"foxtailmux/member"
	"foxtailmux/model"
)

// status is the evidence of what is in force here, with the other instances
// that are to be asked too.
func (d *Daemon) status() config.Status {
	s := d.watcher.Status(d.self.ID, d.self.DataCentre)
	for _, m := range d.members.Members() {
		if m.Entry.ID == d.self.ID {
			continue
		}
		s.Members = append(s.Members, config.MemberStatus{
			Instance:           m.Entry.ID,
			DataCentre:         m.Entry.DataCentre,
			OperatorsAddr:      operatorsAddr(m.Entry),
			State:              string(stateOf(m)),
			HeartbeatAgeMillis: max(0, time.Since(m.LastHeartbeat).Milliseconds()),
		})
	}
	return s
}

// stateOf tells a member that ended as planned from one that is lost.
func stateOf(m member.Member) member.State {
	if m.Entry.State == model.Leaving {
		return member.StateLeaving
	}
	return m.State
}

// operatorsAddr returns where to ask an instance. One that listens on every
// interface is asked on that of its peers' port.
func operatorsAddr(e model.Entry) string {
	addr, err := netip.ParseAddrPort(e.AdminAddr)
	if err != nil || !addr.Addr().IsUnspecified() {
		return e.AdminAddr
	}
	peer, err := netip.ParseAddrPort(e.PeerAddr)
	if err != nil {
		return ""
	}
	return netip.AddrPortFrom(peer.Addr(), addr.Port()).String()
}
