package daemon

import (
	"net"

	"foxtailmux/setup"
)

// listeners are the ports of an instance. They are opened before the components are created,
// since the instance announces their addresses, and port 0 in the settings picks a free one.
type listeners struct {
	callers   net.Listener
	operators net.Listener
	peers     net.Listener
}

func listen(s setup.Settings) (*listeners, error) {
	l := &listeners{}
	for target, addr := range map[*net.Listener]string{
		&l.callers:   s.Callers.Addr,
		&l.operators: s.Operators.Addr,
		&l.peers:     s.Peers.Addr,
	} {
		opened, err := net.Listen("tcp", addr)
		if err != nil {
			l.close()
			return nil, &Error{Op: "listen", Kind: KindStart, Err: err}
		}
		*target = opened
	}
	return l, nil
}

func (l *listeners) close() {
	for _, opened := range []net.Listener{l.callers, l.operators, l.peers} {
		if opened != nil {
			_ = opened.Close()
		}
	}
}
