package entry

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
)

// watchInterval is the time between two looks at a caller's connection.
const watchInterval = 250 * time.Millisecond

// watcher looks whether the caller of a request is still connected.
type watcher struct {
	conn  syscall.RawConn
	gone  func()
	ended chan struct{}
	group conc.WaitGroup
}

// watch calls gone once if the caller closes the connection before stop. A
// caller that has closed only its sending side counts as gone too.
func watch(conn net.Conn, gone func()) *watcher {
	w := &watcher{gone: gone, ended: make(chan struct{})}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return w
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return w
	}

	w.conn = raw
	w.group.Go(w.run)
	return w
}

func (w *watcher) run() {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()

	for {
		select {
		case <-w.ended:
			return
		case <-ticker.C:
		}
		if closed(w.conn) {
			w.gone()
			return
		}
	}
}

// stop ends the watch, and the context that gone would have ended.
func (w *watcher) stop() {
	close(w.ended)
	w.group.Wait()
	w.gone()
}

// closed peeks at the socket without taking bytes of a next request from it.
func closed(conn syscall.RawConn) bool {
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
