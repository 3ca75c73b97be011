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

// connWatcher watches whether the caller of a request is still connected.
type connWatcher struct {
	conn     net.Conn
	raw      syscall.RawConn // socket of conn, nil if the connection is not watched
	onClosed func()
	group    conc.WaitGroup
}

// watchConn calls onClosed as soon as the caller has closed the connection. Since stop
// calls it too, it may be called twice. A caller that closed only its sending side
// counts as disconnected. A connection without a socket is not watched. Nothing else may
// read from the connection until stop has returned.
func watchConn(conn net.Conn, onClosed func()) *connWatcher {
	w := &connWatcher{conn: conn, raw: socket.Raw(conn), onClosed: onClosed}
	if w.raw == nil {
		return w
	}
	_ = conn.SetReadDeadline(time.Time{}) // fails for a closed connection only, which run notices
	w.group.Go(w.run)
	return w
}

func (w *connWatcher) run() {
	if err := socket.AwaitHangUp(w.raw); !errors.Is(err, os.ErrDeadlineExceeded) {
		w.onClosed()
	}
}

// stop ends the watch and calls onClosed, which releases the request's context.
func (w *connWatcher) stop() {
	if w.raw != nil {
		_ = w.conn.SetReadDeadline(time.Unix(1, 0)) // ends AwaitHangUp
		w.group.Wait()
		_ = w.conn.SetReadDeadline(time.Time{})
	}
	w.onClosed()
}
