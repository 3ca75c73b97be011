package entry

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"foxtailmux/socket"
)

// watchInterval is the time between two checks of a caller's connection whose end can't be waited for.
const watchInterval = 250 * time.Millisecond

// connWatcher watches whether the caller of a request is still connected.
type connWatcher struct {
	conn     net.Conn
	raw      syscall.RawConn // socket of conn, nil if the connection is not watched
	onClosed func()
	stopped  chan struct{}
	group    conc.WaitGroup
}

// watchConn calls onClosed as soon as the caller has closed the connection. Since stop
// calls it too, it may be called twice. A caller that closed only its sending side
// counts as disconnected. A connection without a socket is not watched. Nothing else may
// read from the connection until stop has returned.
func watchConn(conn net.Conn, onClosed func()) *connWatcher {
	w := &connWatcher{conn: conn, raw: socket.Raw(conn), onClosed: onClosed, stopped: make(chan struct{})}
	if w.raw == nil {
		return w
	}
	_ = conn.SetReadDeadline(time.Time{}) // fails for a closed connection only, which run notices
	w.group.Go(w.run)
	return w
}

func (w *connWatcher) run() {
	if w.awaitReadable() && socket.Peek(w.raw) == socket.Closed {
		w.onClosed()
		return
	}
	// Bytes of a next request are in the socket: its end is seen once they are read.
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.stopped:
			return
		case <-ticker.C:
		}
		if socket.Peek(w.raw) == socket.Closed {
			w.onClosed()
			return
		}
	}
}

// awaitReadable waits until the socket has bytes, or its end, to read. It returns false if the watch
// was stopped before.
func (w *connWatcher) awaitReadable() bool {
	return !errors.Is(socket.Await(w.raw), os.ErrDeadlineExceeded)
}

// stop ends the watch and calls onClosed, which releases the request's context.
func (w *connWatcher) stop() {
	close(w.stopped)
	if w.raw != nil {
		_ = w.conn.SetReadDeadline(time.Unix(1, 0)) // ends awaitReadable
		w.group.Wait()
		_ = w.conn.SetReadDeadline(time.Time{})
	}
	w.onClosed()
}
