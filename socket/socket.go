// Package socket examines the sockets of connections without reading from them.
package socket

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// State is what a read from a socket would find.
type State int

// A quiet socket is open and has no bytes to read. A closed one was closed by the other end, after which
// there is nothing left to read, or has failed.
const (
	Quiet State = iota
	Readable
	Closed
)

// Raw returns the socket of a connection, or nil if it has none.
func Raw(conn net.Conn) syscall.RawConn {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// Peek returns the state of a socket. A connection without a socket, nil, counts as quiet.
func Peek(raw syscall.RawConn) State {
	if raw == nil {
		return Quiet
	}
	state := Closed
	if err := raw.Control(func(fd uintptr) { state = peek(fd) }); err != nil {
		return Closed
	}
	return state
}

// HungUp reports whether the other end has closed a socket, at least for sending, or the socket has failed,
// also while there are bytes left to read. A connection without a socket, nil, counts as open.
func HungUp(raw syscall.RawConn) bool {
	if raw == nil {
		return false
	}
	hungUp := true
	if err := raw.Control(func(fd uintptr) { hungUp = isHungUp(fd) }); err != nil {
		return true
	}
	return hungUp
}

// AwaitHangUp waits until HungUp holds. It returns os.ErrDeadlineExceeded at the read deadline of the
// connection.
func AwaitHangUp(raw syscall.RawConn) error {
	return raw.Read(isHungUp)
}

// isHungUp looks for the end of the stream, too: not every kernel reports a hang-up.
func isHungUp(fd uintptr) bool { return peek(fd) == Closed || pollHangUp(fd) }

func pollHangUp(fd uintptr) bool {
	const hangUp = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	_, err := unix.Poll(fds, 0)
	for errors.Is(err, unix.EINTR) {
		_, err = unix.Poll(fds, 0)
	}
	return err != nil || fds[0].Revents&hangUp != 0
}

// peek looks at the next byte and leaves it in the socket.
func peek(fd uintptr) State {
	var next [1]byte
	n, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EINTR):
		return Quiet
	case err != nil, n == 0:
		return Closed
	}
	return Readable
}

// SinceLastBytes returns the time since the last bytes arrived at a socket, by a clock that stands
// still while the machine is suspended. It returns 0 if they have just arrived, and also if the
// socket does not tell, as on kernels that leave this field empty.
func SinceLastBytes(raw syscall.RawConn) time.Duration {
	if raw == nil {
		return 0
	}
	var info *unix.TCPInfo
	var err error
	control := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if control != nil || err != nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}
