package proof

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// closeDials makes new connections hang as they do when packets are dropped: the kernel discards the first
// packet of each while the queue of the listener is full, and the dialling end repeats it 1, 3 and 7 s later.
// Connections that are open are not affected.
func (fp *faultProxy) closeDials() error {
	if err := fp.setBacklog(0); err != nil {
		return err
	}
	if err := fp.listener.(*net.TCPListener).SetDeadline(time.Now()); err != nil {
		return err
	}
	for {
		filler, err := net.DialTimeout("tcp", fp.addr(), fillTimeout)
		if err != nil {
			return nil // the queue is full
		}
		fp.fillers = append(fp.fillers, filler)
	}
}

// openDials ends closeDials.
func (fp *faultProxy) openDials() error {
	for _, filler := range fp.fillers {
		_ = filler.(*net.TCPConn).SetLinger(0) // its end at the proxy is reset
		_ = filler.Close()
	}
	fp.fillers = nil
	return errors.Join(fp.setBacklog(defaultBacklog), fp.listener.(*net.TCPListener).SetDeadline(time.Time{}))
}

const (
	// fillTimeout is longer than the kernel takes to accept a connection on the loopback interface.
	fillTimeout = 30 * time.Millisecond

	defaultBacklog = 128
)

func (fp *faultProxy) setBacklog(n int) error {
	raw, err := fp.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), n) })
	return errors.Join(err, failed)
}

// accept returns the next connection, and waits while dials are closed.
func (fp *faultProxy) accept() (net.Conn, error) {
	for {
		in, err := fp.listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			time.Sleep(holdInterval)
			continue
		}
		return in, err
	}
}

func TestDialsHangWhileTheyAreClosed(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	var accepted atomic.Int64
	go func() {
		for {
			if _, err := target.Accept(); err != nil {
				return
			}
			accepted.Add(1)
		}
	}()
	fp := startFaultProxy(t, target.Addr().String())
	if err := fp.closeDials(); err != nil {
		t.Fatal(err)
	}
	if _, err := net.DialTimeout("tcp", fp.addr(), 150*time.Millisecond); err == nil {
		t.Error("a dial succeeded while dials are closed")
	}
	late := make(chan error, 1)
	go func() {
		_, err := net.DialTimeout("tcp", fp.addr(), 4*time.Second)
		late <- err
	}()
	time.Sleep(50 * time.Millisecond)
	if err := fp.openDials(); err != nil {
		t.Fatal(err)
	}
	if err := <-late; err != nil {
		t.Errorf("a dial that began while dials were closed: %v", err)
	}
	waitFor(t, "the connection reaches the target", func() bool { return accepted.Load() > 0 })
}
