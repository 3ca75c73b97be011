package entry

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"foxtailmux/pause"
)

const (
	// unreadWindow is the time after a pause of the process within which the requests that arrived
	// during the pause are read. It is used where the socket does not tell when they arrived.
	unreadWindow = 300 * time.Millisecond

	// socketClockStep is the resolution of the time that a socket tells.
	socketClockStep = 10 * time.Millisecond
)

// PauseSource reports the latest pause of the process.
type PauseSource interface {
	Last() pause.Pause
}

// rawConn returns the socket of a connection, or nil if it has none.
func rawConn(conn net.Conn) syscall.RawConn {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// unreadTime returns how long a request that was just read may have waited in its socket, which is
// nil if there is none. Used after a pause of the process: the caller of a request from before may
// have submitted its job elsewhere in the meantime.
func unreadTime(conn syscall.RawConn, last pause.Pause) time.Duration {
	unread := sinceLastBytes(conn)
	if last.Length == 0 {
		return unread
	}
	sinceEnd := time.Since(last.EndedAt)
	switch {
	case unread > 0 && unread+socketClockStep >= sinceEnd:
		return unread + last.Suspended // which the clock of the socket does not count
	case unread > 0, sinceEnd > unreadWindow:
		return unread
	}
	return sinceEnd + last.Length
}

// sinceLastBytes returns the time since the last bytes arrived at a socket, by a clock that stands
// still while the machine is suspended. It returns 0 if they have just arrived, and also if the
// socket does not tell, as on kernels that leave this field empty.
func sinceLastBytes(conn syscall.RawConn) time.Duration {
	if conn == nil {
		return 0
	}
	var info *unix.TCPInfo
	var err error
	control := conn.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if control != nil || err != nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}
