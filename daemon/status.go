package daemon

import (
	"net/netip"
	"time"

	"foxtailmux/config"
	"foxtailmux/member"
	"foxtailmux/model"
)

// status reports the configuration version in force on this instance, and lists the other
// instances, whose status an operator's command then requests too.
func (d *Daemon) status() config.Status {
	s := d.configWatcher.Status(d.self.ID, d.self.DataCentre)
	for _, m := range d.members.Members() {
		if m.Entry.ID == d.self.ID {
			continue
		}
		s.Members = append(s.Members, config.MemberStatus{
			Instance:           m.Entry.ID,
			DataCentre:         m.Entry.DataCentre,
			OperatorsAddr:      operatorsAddr(m.Entry),
			State:              string(statusState(m)),
			HeartbeatAgeMillis: max(0, time.Since(m.LastHeartbeat).Milliseconds()),
		})
	}
	return s
}

// statusState returns the state of a member. An instance that announced its stop is leaving,
// also after it has ended, so that it isn't taken for a failed one.
func statusState(m member.Member) member.State {
	if m.Entry.State == model.Leaving {
		return member.StateLeaving
	}
	return m.State
}

// operatorsAddr returns the address of an instance's port for operators, or "" if there is
// none. If it listens on all interfaces, the IP address of its port for peers is used.
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
