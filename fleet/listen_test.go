package fleet

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sys/unix"

	"foxtailmux/setup"
	"foxtailmux/socket"
)

// Guards against a task that runs at two homes: the reset of a connection reached its client only, which
// submits the job again after 1.3 s, and a probe would have told so, but none was sent for 15 s.
func TestLostConnectionsAreProbedBeforeTheirJobsAreSubmittedAgain(t *testing.T) {
	var s setup.Settings
	const loopback = "127.0.0.1:0"
	s.Callers.Addr, s.Callers.ReadyAddr, s.Operators.Addr, s.Peers.Addr = loopback, loopback, loopback, loopback
	l, err := listen(s)
	for range 20 {
		if !errors.Is(err, unix.EADDRINUSE) {
			break
		}
		l, err = listen(s) // another process had the UDP port of that number
	}
	if err != nil {
		t.Fatal(err)
	}
	defer l.close()
	for name, listener := range map[string]net.Listener{"callers": l.callers, "peers": l.peers} {
		client, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		accepted, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer accepted.Close()
		if diff := cmp.Diff(time.Second, probeDelay(t, accepted)); diff != "" {
			t.Errorf("%s: time without bytes until a probe (-want +got):\n%s", name, diff)
		}
	}
}

// probeDelay returns the time without bytes after which the kernel probes a connection.
func probeDelay(t *testing.T, conn net.Conn) time.Duration {
	t.Helper()
	var seconds int
	var optionErr error
	err := socket.Raw(conn).Control(func(fd uintptr) {
		var enabled int
		if enabled, optionErr = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE); enabled == 0 {
			return
		}
		seconds, optionErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)
	})
	if err != nil || optionErr != nil {
		t.Fatal(err, optionErr)
	}
	return time.Duration(seconds) * time.Second
}
