package beat_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"foxtailmux/beat"
	"foxtailmux/model"
)

// wire is a network of packets in memory, with cuts.
type wire struct {
	mu   sync.Mutex
	ends map[string]*packetConn
	cut  map[string]bool // by sender and receiver
	sent int
}

type packet struct {
	from string
	body []byte
}

type packetConn struct {
	net.PacketConn
	wire   *wire
	addr   string
	queue  chan packet
	closed chan struct{}
}

func (c *packetConn) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case got := <-c.queue:
		return copy(p, got.body), &net.UDPAddr{}, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

func (c *packetConn) WriteTo(p []byte, to net.Addr) (int, error) {
	c.wire.mu.Lock()
	defer c.wire.mu.Unlock()
	c.wire.sent++
	other := c.wire.ends[to.String()]
	if other != nil && !c.wire.cut[c.addr+">"+other.addr] {
		other.queue <- packet{c.addr, append([]byte(nil), p...)}
	}
	return len(p), nil
}

func (c *packetConn) Close() error { close(c.closed); return nil }

func (w *wire) set(from, to string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[from+">"+to] = cut
}

// member starts an instance and tells the others of it.
func (w *wire) member(t *testing.T, name, dc, addr string, homes map[string]model.FreeCapacity) *beat.Detector {
	return w.peer(t, beat.Peer{Instance: name, DataCentre: dc, Addr: addr, Incarnation: "1"}, homes)
}

// peer starts an instance as the store lists it.
func (w *wire) peer(t *testing.T, p beat.Peer, homes map[string]model.FreeCapacity) *beat.Detector {
	return w.listener(t, p, homes, func(beat.Heartbeat) {})
}

// listener starts an instance that passes on the heartbeats that are news.
func (w *wire) listener(t *testing.T, p beat.Peer, homes map[string]model.FreeCapacity, onBeat func(beat.Heartbeat)) *beat.Detector {
	c := &packetConn{wire: w, addr: p.Addr, queue: make(chan packet, 1000), closed: make(chan struct{})}
	w.mu.Lock()
	w.ends[p.Addr] = c
	w.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	g := beat.New(beat.Options{
		Self: p,
		Conn: c,
		OwnHeartbeat: func() beat.Heartbeat {
			return beat.Heartbeat{Instance: p.Instance, Incarnation: p.Incarnation, Homes: homes}
		},
		OnChange: onBeat,
		Log:      &log.Logger{Writer: log.IOWriter{Writer: io.Discard}},
	})
	go g.Run(ctx)
	t.Cleanup(func() { cancel(); <-g.Done() })
	return g
}

// during returns how many packets are sent in a time that begins now, after the first
// round, which may come before the instances are known.
func (w *wire) during(d time.Duration) int {
	count := func() int {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.sent
	}
	time.Sleep(time.Millisecond)
	before := count()
	time.Sleep(d)
	return count() - before
}

func newWire() *wire { return &wire{ends: map[string]*packetConn{}, cut: map[string]bool{}} }

func TestSilentInstanceIsDeadAfterASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWire()
		a := w.member(t, "a", "kochi", "10.0.0.1:7", nil)
		b := w.member(t, "b", "kochi", "10.0.0.2:7", nil)
		a.SetPeer(beat.Peer{Instance: "b", DataCentre: "kochi", Addr: "10.0.0.2:7"})
		b.SetPeer(beat.Peer{Instance: "a", DataCentre: "kochi", Addr: "10.0.0.1:7"})
		time.Sleep(600 * time.Millisecond)
		got := []bool{a.IsAlive("b"), b.IsAlive("a"), a.IsAlive("c"), a.IsAlive("a")}

		w.set("10.0.0.2:7", "10.0.0.1:7", true) // one way
		time.Sleep(700 * time.Millisecond)
		got = append(got, a.IsAlive("b"))
		time.Sleep(700 * time.Millisecond)
		got = append(got, a.IsAlive("b"), b.IsAlive("a"))

		w.set("10.0.0.2:7", "10.0.0.1:7", false)
		time.Sleep(300 * time.Millisecond)
		got = append(got, a.IsAlive("b"))
		want := []bool{true, true, false, true, true, false, true, true}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	})
}

// In a large fleet the heartbeats of an instance are bounded, except between those
// that depend on each other.
func TestHeartbeatsOfALargeFleetAreBounded(t *testing.T) {
	count := func(homes map[string]model.FreeCapacity, peers int, dc string, use bool) (sent int) {
		synctest.Test(t, func(t *testing.T) {
			w := newWire()
			a := w.member(t, "a", "kochi", "10.0.0.1:7", homes)
			for i := range peers {
				a.SetPeer(beat.Peer{Instance: fmt.Sprint(i), DataCentre: dc, Addr: fmt.Sprintf("10.0.1.%d:7", i)})
			}
			if use {
				a.RecordForward("0")
			}
			sent = w.during(5 * time.Second)
		})
		return sent
	}
	home := map[string]model.FreeCapacity{"kochi": {}}
	cases := map[string]struct{ got, most int }{
		"others here":         {count(nil, 100, "kochi", false), 5 * 40},
		"others elsewhere":    {count(nil, 100, "tvm", false), 5 * 40},
		"others and one used": {count(nil, 100, "tvm", true), 5 * 44},
		"home to elsewhere":   {count(home, 100, "tvm", false), 5 * 200},
	}
	for name, c := range cases {
		if c.got > c.most {
			t.Errorf("%s: %d in 5 s, want at most %d", name, c.got, c.most)
		}
	}
	if got := count(home, 100, "kochi", false); got != 20*100 {
		t.Errorf("%d of a home in its data centre, want one each 250 ms for each", got)
	}
	if got := count(nil, 1, "tvm", true); got != 20 {
		t.Errorf("%d to an instance in use", got)
	}
}

// An instance that sends less often is not taken for dead in between, also when it
// has just changed to it.
func TestSilenceFollowsThePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWire()
		a := w.member(t, "a", "kochi", "10.0.0.1:7", nil)
		b := w.member(t, "b", "tvm", "10.0.0.2:7", nil)
		a.SetPeer(beat.Peer{Instance: "b", DataCentre: "tvm", Addr: "10.0.0.2:7"})
		b.SetPeer(beat.Peer{Instance: "a", DataCentre: "kochi", Addr: "10.0.0.1:7"})
		for i := range 100 { // 99 further instances: a period of 2.5 s
			b.SetPeer(beat.Peer{Instance: fmt.Sprint(i), DataCentre: "kochi", Addr: fmt.Sprintf("10.0.1.%d:7", i)})
		}
		b.RecordForward("a")
		time.Sleep(time.Second)
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			if !a.IsAlive("b") {
				t.Fatal("taken for dead")
			}
		}
		w.set("10.0.0.2:7", "10.0.0.1:7", true)
		time.Sleep(12 * time.Second)
		if a.IsAlive("b") {
			t.Error("not taken for dead")
		}
	})
}

// Instances that do not depend on each other spend a quarter of the packets.
func TestHeartbeatsAreRareWhereNothingDependsOnThem(t *testing.T) {
	count := func(dc string, homes map[string]model.FreeCapacity) (sent int) {
		synctest.Test(t, func(t *testing.T) {
			w := newWire()
			a := w.member(t, "a", "kochi", "10.0.0.1:7", homes)
			a.SetPeer(beat.Peer{Instance: "b", DataCentre: dc, Addr: "10.0.0.2:7"})
			sent = w.during(10 * time.Second)
		})
		return sent
	}
	got := []int{count("kochi", nil), count("tvm", map[string]model.FreeCapacity{"kochi": {}}), count("tvm", nil)}
	if diff := cmp.Diff([]int{40, 40, 10}, got); diff != "" {
		t.Error(diff)
	}
}

func TestBadPacketIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWire()
		a := w.member(t, "a", "kochi", "10.0.0.1:7", nil)
		b := w.member(t, "b", "kochi", "10.0.0.2:7", nil)
		b.SetPeer(beat.Peer{Instance: "a", DataCentre: "kochi", Addr: "10.0.0.1:7"})
		w.ends["10.0.0.1:7"].queue <- packet{body: []byte("{")}
		w.ends["10.0.0.1:7"].queue <- packet{body: []byte(`{"instance":""}`)}
		time.Sleep(600 * time.Millisecond)
		if !a.IsAlive("b") {
			t.Error("a good heartbeat after a bad one was not taken")
		}
	})
}

// An instance that sends rarely tells nothing new with each heartbeat: whoever follows
// news would review all homes for each.
func TestRareHeartbeatsAreNoNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWire()
		var news atomic.Int32
		w.listener(t, beat.Peer{Instance: "a", DataCentre: "kochi", Addr: "10.0.0.1:7"}, nil, func(beat.Heartbeat) { news.Add(1) })
		b := w.member(t, "b", "tvm", "10.0.0.2:7", nil)
		b.SetPeer(beat.Peer{Instance: "a", DataCentre: "kochi", Addr: "10.0.0.1:7"})
		for i := range 100 {
			b.SetPeer(beat.Peer{Instance: fmt.Sprint(i), DataCentre: "kochi", Addr: fmt.Sprintf("10.0.1.%d:7", i)})
		}
		time.Sleep(20 * time.Second)
		if n := news.Load(); n != 1 {
			t.Errorf("%d heartbeats were news", n)
		}
	})
}

func TestPanicOverOneHeartbeatCostsNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWire()
		a := w.listener(t, beat.Peer{Instance: "a", DataCentre: "kochi", Addr: "10.0.0.1:7"}, nil, func(b beat.Heartbeat) { panic("unexpected " + b.Instance) })
		w.ends["10.0.0.1:7"].queue <- packet{body: []byte(`{"instance":"b","incarnation":"1"}`)}
		w.ends["10.0.0.1:7"].queue <- packet{body: []byte(`{"instance":"c","incarnation":"1"}`)}
		time.Sleep(time.Millisecond)
		if !a.IsAlive("b") || !a.IsAlive("c") {
			t.Error("an instance was not heard")
		}
	})
}

// The instances that may follow a home hear each other at the interval also in a large
// data centre, so that the loss of two of them with the home costs no longer than that of
// the home.
func TestThoseThatMayFollowAHomeHearEachOtherOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWire()
		peers := make([]beat.Peer, 25)
		groups := make([]*beat.Detector, len(peers))
		for i := range peers {
			p := beat.Peer{Instance: fmt.Sprintf("i%d", i), DataCentre: "kochi", Addr: fmt.Sprintf("10.0.0.%d:7", i), Cores: 0.2}
			if i < 3 {
				p.Cores = 0.8
			}
			peers[i] = p
			groups[i] = w.peer(t, p, nil)
		}
		for _, g := range groups {
			for _, p := range peers {
				g.SetPeer(p)
			}
		}
		time.Sleep(20 * time.Second)
		w.set(peers[1].Addr, peers[0].Addr, true)
		w.set(peers[9].Addr, peers[0].Addr, true)
		time.Sleep(1500 * time.Millisecond)
		got := []bool{groups[0].IsAlive("i1"), groups[0].IsAlive("i2"), groups[0].IsAlive("i9")}
		if diff := cmp.Diff([]bool{false, true, true}, got); diff != "" {
			t.Error(diff)
		}
	})
}

// An instance that starts again hears the others soon, however rarely they send.
func TestNewLifeHearsTheOthersSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWire()
		a := w.member(t, "a", "kochi", "10.0.0.1:7", nil)
		for i := range 100 {
			a.SetPeer(beat.Peer{Instance: fmt.Sprint(i), DataCentre: "tvm", Addr: fmt.Sprintf("10.0.1.%d:7", i)})
		}
		time.Sleep(20 * time.Second)
		b := w.member(t, "b", "tvm", "10.0.0.2:7", nil)
		a.SetPeer(beat.Peer{Instance: "b", DataCentre: "tvm", Addr: "10.0.0.2:7"})
		b.SetPeer(beat.Peer{Instance: "a", DataCentre: "kochi", Addr: "10.0.0.1:7"})
		time.Sleep(600 * time.Millisecond)
		if !a.IsAlive("b") || !b.IsAlive("a") {
			t.Fatal("not heard at first")
		}
		b2 := w.peer(t, beat.Peer{Instance: "b", DataCentre: "tvm", Addr: "10.0.0.2:7", Incarnation: "2"}, nil)
		b2.SetPeer(beat.Peer{Instance: "a", DataCentre: "kochi", Addr: "10.0.0.1:7"})
		time.Sleep(600 * time.Millisecond)
		if !b2.IsAlive("a") {
			t.Error("the new life does not hear the other")
		}
	})
}

// On a full link heartbeats get lost, while answers arrive late.
func TestInstanceThatAnswersIsAliveWithoutHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWire()
		a := w.member(t, "a", "kochi", "10.0.0.1:7", nil)
		b := w.member(t, "b", "kochi", "10.0.0.2:7", nil)
		b.SetPeer(beat.Peer{Instance: "a", DataCentre: "kochi", Addr: "10.0.0.1:7"})
		time.Sleep(600 * time.Millisecond)
		heartbeat := a.Status("b").LastHeartbeat
		w.set("10.0.0.2:7", "10.0.0.1:7", true)
		for range 4 {
			time.Sleep(900 * time.Millisecond)
			a.RecordMessage("b")
		}
		time.Sleep(900 * time.Millisecond)
		a.RecordMessage("stranger")
		got := []bool{a.IsAlive("b"), a.IsAlive("stranger"), a.Status("b").LastHeartbeat.Sub(heartbeat) < time.Second}
		time.Sleep(200 * time.Millisecond)
		got = append(got, a.IsAlive("b"))
		if diff := cmp.Diff([]bool{true, false, true, false}, got); diff != "" {
			t.Error(diff)
		}
	})
}
