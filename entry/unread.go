package entry

import (
	"syscall"
	"time"

	"foxtailmux/pause"
	"foxtailmux/socket"
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

// unreadTime returns how long a request that was just read may have waited in its socket, which is
// nil if there is none. Used after a pause of the process: the caller of a request from before may
// have submitted its job elsewhere in the meantime.
func unreadTime(conn syscall.RawConn, last pause.Pause) time.Duration {
	unread := socket.SinceLastBytes(conn)
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
