package proof

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// faultProxy forwards TCP connections and UDP datagrams to a target, and injects faults of the
// network in between.
type faultProxy struct {
	listener  net.Listener
	datagrams net.PacketConn
	target    string

	holdAll       atomic.Bool // the bytes of connections in both directions
	retransmit    atomic.Bool // held bytes are delivered when TCP would have sent them again
	holdRequests  atomic.Bool // those to the target
	holdResponses atomic.Bool
	holdDatagrams atomic.Bool
	dropDatagrams atomic.Bool
	unreachable   atomic.Bool // new connections are accepted, but carry no bytes
	delayReads    atomic.Bool
	reset         atomic.Bool // connections are closed when bytes arrive
	stutter       atomic.Bool // send each response twice, the second time late
	fillers       []net.Conn  // fill the queue of the listener while dials are closed

	mu      sync.Mutex
	silence chan struct{} // closed when the open connections go silent
	open    map[net.Conn]bool
	closed  chan struct{}
}

const (
	readDelay    = 40 * time.Millisecond // of each read with delayReads
	maxStutter   = 60 * time.Millisecond // longest delay of a second response
	holdInterval = 10 * time.Millisecond // between two looks at whether bytes are still held

	minRetransmission = 200 * time.Millisecond // after which TCP sends bytes again, and doubles the time

	maxDatagramBytes = 2048
)

func startFaultProxy(t *testing.T, target string) *faultProxy {
	t.Helper()
	fp := &faultProxy{target: target, silence: make(chan struct{}), open: map[net.Conn]bool{}, closed: make(chan struct{})}
	if err := fp.listen(); err != nil {
		t.Fatal(err)
	}
	go fp.serve()
	go fp.serveDatagrams()
	t.Cleanup(func() {
		_, _ = fp.listener.Close(), fp.datagrams.Close()
		close(fp.closed)
		fp.resetClients()
	})
	return fp
}

// listen listens on a port that is free for TCP and UDP.
func (fp *faultProxy) listen() (err error) {
	for range 20 {
		if fp.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return err
		}
		if fp.datagrams, err = net.ListenPacket("udp", fp.addr()); err == nil {
			return nil
		}
		err = errors.Join(err, fp.listener.Close())
	}
	return err
}

func (fp *faultProxy) addr() string { return fp.listener.Addr().String() }

// goSilent makes the open connections carry no more bytes, without a reset. New ones work.
func (fp *faultProxy) goSilent() {
	fp.mu.Lock()
	defer fp.mu.Unlock()
	close(fp.silence)
	fp.silence = make(chan struct{})
}

// resetClients resets the open connections for the client; those to the target go silent.
func (fp *faultProxy) resetClients() {
	fp.goSilent()
	fp.mu.Lock()
	defer fp.mu.Unlock()
	for conn := range fp.open {
		_, _ = conn.(*net.TCPConn).SetLinger(0), conn.Close()
	}
	clear(fp.open)
}

func (fp *faultProxy) serve() {
	for {
		in, err := fp.accept()
		if err != nil {
			return
		}
		if fp.unreachable.Load() {
			go func() {
				<-fp.closed
				_ = in.Close()
			}()
			continue
		}
		out, err := net.Dial("tcp", fp.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		fp.mu.Lock()
		silence := fp.silence
		fp.open[in] = true
		fp.mu.Unlock()
		go fp.copy(&stutteringConn{Conn: in, stutter: &fp.stutter}, out, &fp.holdResponses, silence)
		go func() {
			fp.copy(out, in, &fp.holdRequests, silence)
			fp.mu.Lock()
			delete(fp.open, in)
			fp.mu.Unlock()
		}()
	}
}

// stutteringConn writes everything twice while stutter is set, the second time after a random delay.
type stutteringConn struct {
	net.Conn
	stutter *atomic.Bool
}

// Write writes the bytes, and again later.
func (c *stutteringConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err == nil && c.stutter.Load() {
		again := bytes.Clone(p)
		time.AfterFunc(rand.N(maxStutter), func() { _, _ = c.Conn.Write(again) }) // it may be closed by then
	}
	return n, err
}

// copy forwards bytes from one connection to another, until silence is closed. It holds
// them back while holdAll or held is set.
func (fp *faultProxy) copy(to, from net.Conn, held *atomic.Bool, silence <-chan struct{}) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if fp.reset.Load() {
			return
		}
		if fp.delayReads.Load() {
			time.Sleep(readDelay)
		}
		fp.waitWhileHeld(held)
		select {
		case <-silence:
			<-fp.closed
			return
		default:
		}
		if _, failed := to.Write(buffer[:n]); err != nil || failed != nil {
			return
		}
	}
}

// waitWhileHeld waits until bytes that have just been sent pass the link.
func (fp *faultProxy) waitWhileHeld(held *atomic.Bool) {
	interval := minRetransmission
	for fp.holdAll.Load() || held.Load() {
		if !fp.retransmit.Load() {
			time.Sleep(holdInterval)
			continue
		}
		time.Sleep(interval)
		interval *= 2
	}
}

func (fp *faultProxy) serveDatagrams() {
	to, err := net.Dial("udp", fp.target)
	if err != nil {
		return
	}
	defer to.Close()
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := fp.datagrams.ReadFrom(buffer)
		switch {
		case err != nil:
			return
		case fp.dropDatagrams.Load():
		case fp.holdDatagrams.Load():
			go fp.sendLater(to, bytes.Clone(buffer[:n]))
		default:
			_, _ = to.Write(buffer[:n]) // datagrams may get lost
		}
	}
}

// sendLater sends a datagram when datagrams are no longer held.
func (fp *faultProxy) sendLater(to net.Conn, datagram []byte) {
	for fp.holdDatagrams.Load() {
		time.Sleep(holdInterval)
	}
	_, _ = to.Write(datagram)
}
