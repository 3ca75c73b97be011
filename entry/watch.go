package entry

import (
	"errors"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
)

// watchInterval is the time between two checks of a caller's connection.
const watchInterval = 250 * time.Millisecond

// connWatcher checks regularly whether the caller of a request is still connected.
type connWatcher struct {
	conn     syscall.RawConn // nil if the connection is not watched
	onClosed func()
	stopped  chan struct{}
	group    conc.WaitGroup
}

// watchConn calls onClosed when the caller has closed the connection. Since stop
// calls it too, it may be called twice. A caller that closed only its sending side
// counts as disconnected. A connection without a socket, nil, is not watched.
func watchConn(conn syscall.RawConn, onClosed func()) *connWatcher {
	w := &connWatcher{conn: conn, onClosed: onClosed, stopped: make(chan struct{})}
	if conn != nil {
		w.group.Go(w.run)
	}
	return w
}

func (w *connWatcher) run() {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()

	for {
		select {
		case <-w.stopped:
			return
		case <-ticker.C:
		}
		if isClosed(w.conn) {
			w.onClosed()
			return
		}
	}
}

// stop ends the checks and calls onClosed, which releases the request's context.
func (w *connWatcher) stop() {
	close(w.stopped)
	w.group.Wait()
	w.onClosed()
}

// isClosed reports whether the caller closed the connection or the connection failed.
// A connection without a socket counts as open. It peeks at the socket, so that the bytes of a next request stay in it.
func isClosed(conn syscall.RawConn) bool {
	if conn == nil {
		return false
	}
	var n int
	var err error
	var peeked [1]byte
	control := conn.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if control != nil {
		return true
	}
	if err != nil {
		return !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	}
	return n == 0
}
