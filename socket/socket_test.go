package socket_test

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/socket"
)

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialled, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	near, far = dialled.(*net.TCPConn), accepted.(*net.TCPConn)
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return near, far
}

func TestStates(t *testing.T) {
	cases := map[string]struct {
		change func(near, far *net.TCPConn)
		want   socket.State
	}{
		"nothing sent":      {func(_, _ *net.TCPConn) {}, socket.Quiet},
		"bytes":             {func(_, far *net.TCPConn) { _, _ = far.Write([]byte("x")) }, socket.Readable},
		"bytes and the end": {func(_, far *net.TCPConn) { _, _ = far.Write([]byte("x")); _ = far.Close() }, socket.Readable},
		"the end":           {func(_, far *net.TCPConn) { _ = far.CloseWrite() }, socket.Closed},
		"reset":             {func(_, far *net.TCPConn) { _ = far.SetLinger(0); _ = far.Close() }, socket.Closed},
		"closed here":       {func(near, _ *net.TCPConn) { _ = near.Close() }, socket.Closed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			near, far := connect(t)
			raw := socket.Raw(near)
			c.change(near, far)
			time.Sleep(50 * time.Millisecond)
			for range 2 { // the first look changes nothing
				if diff := cmp.Diff(c.want, socket.Peek(raw)); diff != "" {
					t.Errorf("state (-want +got):\n%s", diff)
				}
			}
		})
	}
	if diff := cmp.Diff(socket.Quiet, socket.Peek(nil)); diff != "" {
		t.Errorf("without a socket (-want +got):\n%s", diff)
	}
}

func TestHangUp(t *testing.T) {
	cases := map[string]struct {
		change func(near, far *net.TCPConn)
		want   bool
	}{
		"nothing sent":        {func(_, _ *net.TCPConn) {}, false},
		"bytes":               {func(_, far *net.TCPConn) { _, _ = far.Write([]byte("x")) }, false},
		"bytes and the end":   {func(_, far *net.TCPConn) { _, _ = far.Write([]byte("x")); _ = far.Close() }, true},
		"the end":             {func(_, far *net.TCPConn) { _ = far.CloseWrite() }, true},
		"reset":               {func(_, far *net.TCPConn) { _ = far.SetLinger(0); _ = far.Close() }, true},
		"bytes and the reset": {func(_, far *net.TCPConn) { _, _ = far.Write([]byte("x")); _ = far.SetLinger(0); _ = far.Close() }, true},
		"closed here":         {func(near, _ *net.TCPConn) { _ = near.Close() }, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			near, far := connect(t)
			c.change(near, far)
			time.Sleep(50 * time.Millisecond)
			if diff := cmp.Diff(c.want, socket.HungUp(socket.Raw(near))); diff != "" {
				t.Errorf("hung up (-want +got):\n%s", diff)
			}
		})
	}
	if socket.HungUp(nil) {
		t.Error("a connection without a socket is hung up")
	}
}

func TestAwaitHangUpEndsWithTheConnectionOrTheDeadline(t *testing.T) {
	near, far := connect(t)
	raw := socket.Raw(near)
	if _, err := io.WriteString(far, "x"); err != nil {
		t.Fatal(err)
	}
	if err := near.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if err := socket.AwaitHangUp(raw); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("at the deadline: %v", err)
	}
	if err := near.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(50*time.Millisecond, func() { _, _ = io.WriteString(far, "x") })
	closed := time.Now().Add(100 * time.Millisecond)
	time.AfterFunc(time.Until(closed), func() { _ = far.Close() })
	if err := socket.AwaitHangUp(raw); err != nil || time.Now().Before(closed) {
		t.Errorf("%v before the end: %v", time.Until(closed), err)
	}
	if diff := cmp.Diff(socket.Readable, socket.Peek(raw)); diff != "" {
		t.Errorf("state after the wait (-want +got):\n%s", diff)
	}
}

func TestTimeSinceTheLastBytes(t *testing.T) {
	near, far := connect(t)
	if _, err := io.WriteString(far, "x"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(200 * time.Millisecond)
	if got := socket.SinceLastBytes(socket.Raw(near)); got < 150*time.Millisecond || got > 5*time.Second {
		t.Errorf("%v after 200 ms", got)
	}
}
