package fleet

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"foxtailmux/memory"
	"foxtailmux/setup"
)

// listeners are the open ports of an instance. Heartbeats arrive over UDP on the same
// port number on which peers connect over TCP.
type listeners struct {
	callers    net.Listener
	balancer   net.Listener // readiness checks of the load balancer
	operators  net.Listener
	metrics    net.Listener // nil if no address is set
	peers      net.Listener
	heartbeats net.PacketConn
}

const (
	// keepAlivePeriod is the time without bytes after which the kernel probes a connection. A client whose
	// end of the connection is gone, such as by a reset that reached it alone, answers with a reset. It is
	// less than the time after which callers submit a job again.
	keepAlivePeriod = time.Second

	// keepAliveProbes is the number of probes without a response after which a connection is closed. A
	// partition proves nothing, and the end of a request's time comes sooner.
	keepAliveProbes = 120
)

func listen(s setup.Settings) (*listeners, error) {
	l := &listeners{}
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: keepAliveProbes,
	}}
	targets := []struct {
		into *net.Listener
		addr string
	}{
		{&l.callers, s.Callers.Addr},
		{&l.balancer, s.Callers.ReadyAddr},
		{&l.operators, s.Operators.Addr},
		{&l.metrics, s.Operators.MetricsAddr},
		{&l.peers, s.Peers.Addr},
	}
	for _, t := range targets {
		if t.addr == "" {
			continue
		}
		config.Control = nil
		if t.into == &l.callers {
			config.Control = boundReceiveBuffer
		}
		opened, err := config.Listen(context.Background(), "tcp", t.addr)
		if err != nil {
			l.close()
			return nil, &Error{Op: "listen", Kind: KindStart, Err: err}
		}
		*t.into = opened
	}

	var err error
	l.heartbeats, err = net.ListenPacket("udp", l.peers.Addr().String())
	if err != nil {
		l.close()
		return nil, &Error{Op: "listen", Kind: KindStart, Err: err}
	}
	return l, nil
}

// boundReceiveBuffer sets the size of the receive buffer of a listener's socket, which the connections that it
// accepts inherit. Without it the kernel lets the buffer of a connection that is not read grow to megabytes.
// A system that does not allow that keeps its own bound.
func boundReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, memory.ReceiveBuffer)
	})
}

func (l *listeners) close() {
	for _, opened := range []net.Listener{l.callers, l.balancer, l.operators, l.metrics, l.peers} {
		if opened != nil {
			_ = opened.Close()
		}
	}
	if l.heartbeats != nil {
		_ = l.heartbeats.Close()
	}
}
