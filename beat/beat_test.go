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

// wire is an in-memory packet network whose links can be cut in each direction.
type wire struct {
	mu    sync.Mutex
	conns map[string]*packetConn
	cut   map[string]bool // by "sender>receiver" address
	sent  int
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
	other := c.wire.conns[to.String()]
	if other != nil && !c.wire.cut[c.addr+">"+other.addr] {
		other.queue <- packet{c.addr, append([]byte(nil), p...)}
	}
	return len(p), nil
}

func (c *packetConn) Close() error { close(c.closed); return nil }

func (w *wire) setCut(from, to string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[from+">"+to] = cut
}

// start starts an instance of the given name and address.
func (w *wire) start(t *testing.T, name, dc, addr string, homes map[string]model.FreeCapacity) *beat.Detector {
	return w.startPeer(t, beat.Peer{Instance: name, DataCentre: dc, Addr: addr, Incarnation: "1"}, homes)
}

// startPeer starts an instance with the given row.
func (w *wire) startPeer(t *testing.T, p beat.Peer, homes map[string]model.FreeCapacity) *beat.Detector {
	return w.startWith(t, p, homes, func(beat.Heartbeat) {})
}

// startWith starts an instance whose detector calls onChange.
func (w *wire) startWith(t *testing.T, p beat.Peer, homes map[string]model.FreeCapacity, onChange func(beat.Heartbeat)) *beat.Detector {
	return w.startOptions(t, beat.Options{
		Self: p,
		OwnHeartbeat: func() beat.Heartbeat {
			return beat.Heartbeat{Instance: p.Instance, Incarnation: p.Incarnation, Homes: homes}
		},
		OnChange: onChange,
	})
}

// startOptions starts an instance with options but for the connection and the log.
func (w *wire) startOptions(t *testing.T, o beat.Options) *beat.Detector {
	c := &packetConn{wire: w, addr: o.Self.Addr, queue: make(chan packet, 1000), closed: make(chan struct{})}
	w.mu.Lock()
	w.conns[o.Self.Addr] = c
	w.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	o.Conn, o.Log = c, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
	d := beat.New(o)
	go d.Run(ctx)
	t.Cleanup(func() { cancel(); <-d.Done() })
	return d
}

// sentDuring returns the number of packets that are sent within d from now, without the first
// round of heartbeats, which may be sent before the peers are set.
func (w *wire) sentDuring(d time.Duration) int {
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

func newWire() *wire { return &wire{conns: map[string]*packetConn{}, cut: map[string]bool{}} }

func TestInstanceWithoutHeartbeatsIsDeadAfterASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWire()
		a := w.start(t, "a", "kochi", "10.0.0.1:7", nil)
		b := w.start(t, "b", "kochi", "10.0.0.2:7", nil)
		a.SetPeer(beat.Peer{Instance: "b", DataCentre: "kochi", Addr: "10.0.0.2:7"})
		b.SetPeer(beat.Peer{Instance: "a", DataCentre: "kochi", Addr: "10.0.0.1:7"})
		time.Sleep(600 * time.Millisecond)
		got := []bool{a.IsAlive("b"), b.IsAlive("a"), a.IsAlive("c"), a.IsAlive("a")}

		w.setCut("10.0.0.2:7", "10.0.0.1:7", true) // in one direction only
		time.Sleep(700 * time.Millisecond)
		got = append(got, a.IsAlive("b"))
		time.Sleep(700 * time.Millisecond)
		got = append(got, a.IsAlive("b"), b.IsAlive("a"))

		w.setCut("10.0.0.2:7", "10.0.0.1:7", false)
		time.Sleep(300 * time.Millisecond)
		got = append(got, a.IsAlive("b"))
		want := []bool{true, true, false, true, true, false, true, true}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	})
}

// In a large fleet the rate of heartbeats of an instance must be bounded, except between
// instances that depend on each other.
func TestHeartbeatsOfALargeFleetAreBounded(t *testing.T) {
	count := func(homes map[string]model.FreeCapacity, peers int, dc string, forwarded bool) (sent int) {
		synctest.Test(t, func(t *testing.T) {
			w := newWire()
			a := w.start(t, "a", "kochi", "10.0.0.1:7", homes)
			for i := range peers {
				a.SetPeer(beat.Peer{Instance: fmt.Sprint(i), DataCentre: dc, Addr: fmt.Sprintf("10.0.1.%d:7", i)})
			}
			if forwarded {
				a.RecordForward("0")
			}
			sent = w.sentDuring(5 * time.Second)
		})
		return sent
	}
	home := map[string]model.FreeCapacity{"kochi": {}}
	cases := map[string]struct{ got, most int }{
		"no home, same data centre":   {count(nil, 100, "kochi", false), 5 * 40},
		"no home, other data centre":  {count(nil, 100, "tvm", false), 5 * 40},
		"no home, one recent forward": {count(nil, 100, "tvm", true), 5 * 44},
		"home, other data centre":     {count(home, 100, "tvm", false), 5 * 200},
	}
	for name, c := range cases {
		if c.got > c.most {
			t.Errorf("%s: %d in 5 s, want at most %d", name, c.got, c.most)
		}
	}
	if got := count(home, 100, "kochi", false); got != 20*100 {
		t.Errorf("a home sent %d in its data centre, want one per peer each 250 ms", got)
	}
	if got := count(nil, 1, "tvm", true); got != 20 {
		t.Errorf("%d in 5 s to an instance with a recent forward, want 20", got)
	}
}

// An instance that sends at a longer interval must not be suspected dead in between, not
// even when it has just switched to that interval.
func TestTimeoutFollowsTheHeartbeatPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWire()
		a := w.start(t, "a", "kochi", "10.0.0.1:7", nil)
		b := w.start(t, "b", "tvm", "10.0.0.2:7", nil)
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
				t.Fatal("suspected dead although it sends heartbeats")
			}
		}
		w.setCut("10.0.0.2:7", "10.0.0.1:7", true)
		time.Sleep(12 * time.Second)
		if a.IsAlive("b") {
			t.Error("not suspected dead 12 s after the last heartbeat")
		}
	})
}

// Instances of different data centres that do not depend on each other send each other a
// quarter of the usual heartbeats.
func TestHeartbeatsAreRareBetweenIndependentInstances(t *testing.T) {
	count := func(dc string, homes map[string]model.FreeCapacity) (sent int) {
		synctest.Test(t, func(t *testing.T) {
			w := newWire()
			a := w.start(t, "a", "kochi", "10.0.0.1:7", homes)
			a.SetPeer(beat.Peer{Instance: "b", DataCentre: dc, Addr: "10.0.0.2:7"})
			sent = w.sentDuring(10 * time.Second)
		})
		return sent
	}
	got := []int{count("kochi", nil), count("tvm", map[string]model.FreeCapacity{"kochi": {}}), count("tvm", nil)}
	if diff := cmp.Diff([]int{40, 40, 10}, got); diff != "" {
		t.Error(diff)
	}
}

func TestInvalidPacketIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWire()
		a := w.start(t, "a", "kochi", "10.0.0.1:7", nil)
		b := w.start(t, "b", "kochi", "10.0.0.2:7", nil)
		b.SetPeer(beat.Peer{Instance: "a", DataCentre: "kochi", Addr: "10.0.0.1:7"})
		w.conns["10.0.0.1:7"].queue <- packet{body: []byte("{")}
		w.conns["10.0.0.1:7"].queue <- packet{body: []byte(`{"instance":""}`)}
		time.Sleep(600 * time.Millisecond)
		if !a.IsAlive("b") {
			t.Error("a valid heartbeat after an invalid one was ignored")
		}
	})
}

// Rare heartbeats of an unchanged instance must not call OnChange: each call causes a review
// of all homes.
func TestUnchangedHeartbeatsAreNotReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWire()
		var changes atomic.Int32
		w.startWith(t, beat.Peer{Instance: "a", DataCentre: "kochi", Addr: "10.0.0.1:7"}, nil, func(beat.Heartbeat) { changes.Add(1) })
		b := w.start(t, "b", "tvm", "10.0.0.2:7", nil)
		b.SetPeer(beat.Peer{Instance: "a", DataCentre: "kochi", Addr: "10.0.0.1:7"})
		for i := range 100 {
			b.SetPeer(beat.Peer{Instance: fmt.Sprint(i), DataCentre: "kochi", Addr: fmt.Sprintf("10.0.1.%d:7", i)})
		}
		time.Sleep(20 * time.Second)
		if n := changes.Load(); n != 1 {
			t.Errorf("OnChange was called %d times, want once", n)
		}
	})
}

func TestPanicDoesNotStopTheReceiver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWire()
		a := w.startWith(t, beat.Peer{Instance: "a", DataCentre: "kochi", Addr: "10.0.0.1:7"}, nil, func(h beat.Heartbeat) { panic("unexpected " + h.Instance) })
		w.conns["10.0.0.1:7"].queue <- packet{body: []byte(`{"instance":"b","incarnation":"1"}`)}
		w.conns["10.0.0.1:7"].queue <- packet{body: []byte(`{"instance":"c","incarnation":"1"}`)}
		time.Sleep(time.Millisecond)
		if !a.IsAlive("b") || !a.IsAlive("c") {
			t.Error("a heartbeat was lost after a panic in OnChange")
		}
	})
}

// The possible successors of a home exchange heartbeats at the short interval even in a large
// data centre, so that losing two of them together with the home takes no longer to repair
// than losing the home alone.
func TestSuccessorsExchangeHeartbeatsOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWire()
		peers := make([]beat.Peer, 25)
		detectors := make([]*beat.Detector, len(peers))
		for i := range peers {
			p := beat.Peer{Instance: fmt.Sprintf("i%d", i), DataCentre: "kochi", Addr: fmt.Sprintf("10.0.0.%d:7", i), Cores: 0.2}
			if i < 3 {
				p.Cores = 0.8
			}
			peers[i] = p
			detectors[i] = w.startPeer(t, p, nil)
		}
		for _, d := range detectors {
			for _, p := range peers {
				d.SetPeer(p)
			}
		}
		time.Sleep(20 * time.Second)
		w.setCut(peers[1].Addr, peers[0].Addr, true)
		w.setCut(peers[9].Addr, peers[0].Addr, true)
		time.Sleep(1500 * time.Millisecond)
		got := []bool{detectors[0].IsAlive("i1"), detectors[0].IsAlive("i2"), detectors[0].IsAlive("i9")}
		if diff := cmp.Diff([]bool{false, true, true}, got); diff != "" {
			t.Error(diff)
		}
	})
}

// A restarted instance must soon receive heartbeats of the others, however rarely they send.
func TestRestartedInstanceHearsTheOthersSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWire()
		a := w.start(t, "a", "kochi", "10.0.0.1:7", nil)
		for i := range 100 {
			a.SetPeer(beat.Peer{Instance: fmt.Sprint(i), DataCentre: "tvm", Addr: fmt.Sprintf("10.0.1.%d:7", i)})
		}
		time.Sleep(20 * time.Second)
		b := w.start(t, "b", "tvm", "10.0.0.2:7", nil)
		a.SetPeer(beat.Peer{Instance: "b", DataCentre: "tvm", Addr: "10.0.0.2:7"})
		b.SetPeer(beat.Peer{Instance: "a", DataCentre: "kochi", Addr: "10.0.0.1:7"})
		time.Sleep(600 * time.Millisecond)
		if !a.IsAlive("b") || !b.IsAlive("a") {
			t.Fatal("no heartbeats after the first start")
		}
		b2 := w.startPeer(t, beat.Peer{Instance: "b", DataCentre: "tvm", Addr: "10.0.0.2:7", Incarnation: "2"}, nil)
		b2.SetPeer(beat.Peer{Instance: "a", DataCentre: "kochi", Addr: "10.0.0.1:7"})
		time.Sleep(600 * time.Millisecond)
		if !b2.IsAlive("a") {
			t.Error("the restarted instance receives no heartbeats")
		}
	})
}

// On a congested link heartbeats get lost while responses over TCP arrive late.
func TestInstanceThatRespondsIsAliveWithoutHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWire()
		a := w.start(t, "a", "kochi", "10.0.0.1:7", nil)
		b := w.start(t, "b", "kochi", "10.0.0.2:7", nil)
		b.SetPeer(beat.Peer{Instance: "a", DataCentre: "kochi", Addr: "10.0.0.1:7"})
		time.Sleep(600 * time.Millisecond)
		heartbeat := a.Status("b").LastHeartbeat
		w.setCut("10.0.0.2:7", "10.0.0.1:7", true)
		for range 4 {
			time.Sleep(900 * time.Millisecond)
			a.RecordMessage("b", a.Status("b").Incarnation)
		}
		time.Sleep(900 * time.Millisecond)
		a.RecordMessage("stranger", "")
		got := []bool{a.IsAlive("b"), a.IsAlive("stranger"), a.Status("b").LastHeartbeat.Sub(heartbeat) < time.Second}
		time.Sleep(200 * time.Millisecond)
		got = append(got, a.IsAlive("b"))
		if diff := cmp.Diff([]bool{true, false, true, false}, got); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against homes that are not told of the open jobs of others, such as one that has just become a home, and
// against open jobs in the heartbeats to all other instances.
func TestOpenJobsGoToHomesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWire()
		home := map[string]model.FreeCapacity{"kochi": {}}
		open := beat.OpenJobs{{Job: beat.HashJob("quotes", "a"), Left: time.Second}}
		received := map[string]*atomic.Int32{}
		start := func(p beat.Peer, homes func() map[string]model.FreeCapacity) *beat.Detector {
			received[p.Instance] = &atomic.Int32{}
			return w.startOptions(t, beat.Options{
				Self: p,
				OwnHeartbeat: func() beat.Heartbeat {
					return beat.Heartbeat{Instance: p.Instance, Incarnation: "1", Homes: homes(), Open: open}
				},
				OnChange: func(beat.Heartbeat) {},
				OnOpen:   func(beat.Heartbeat) { received[p.Instance].Add(1) },
			})
		}
		var isHome atomic.Bool
		a, b := beat.Peer{Instance: "a", DataCentre: "kochi", Addr: "10.0.0.1:7"}, beat.Peer{Instance: "b", DataCentre: "tvm", Addr: "10.0.0.2:7"}
		first := start(a, func() map[string]model.FreeCapacity { return home })
		second := start(b, func() map[string]model.FreeCapacity {
			if isHome.Load() {
				return map[string]model.FreeCapacity{"tvm": {}}
			}
			return nil
		})
		first.SetPeer(b)
		second.SetPeer(a)
		time.Sleep(3 * time.Second)
		got := []int32{received["b"].Load()}
		isHome.Store(true)
		second.Announce()
		time.Sleep(time.Millisecond)
		got = append(got, received["b"].Load())
		if diff := cmp.Diff([]int32{0, 1}, got); diff != "" {
			t.Errorf("heartbeats with open jobs before and at once after it became a home (-want +got):\n%s", diff)
		}
	})
}

// Guards against jobs that are cancelled, and homes that are replaced, though the instance lives: its row was lost for a
// moment, which counted as if it had never been heard.
func TestInstanceThatLeavesTheListLivesWhileItIsHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWire()
		a := w.start(t, "a", "kochi", "10.0.0.1:7", nil)
		b := w.start(t, "b", "tvm", "10.0.0.2:7", nil)
		rowOfB := beat.Peer{Instance: "b", DataCentre: "tvm", Addr: "10.0.0.2:7"}
		a.SetPeer(rowOfB)
		b.SetPeer(beat.Peer{Instance: "a", DataCentre: "kochi", Addr: "10.0.0.1:7"})
		a.RecordForward("b")
		b.RecordForward("a")
		time.Sleep(600 * time.Millisecond)

		a.RemovePeer("b")
		got := []bool{a.IsAlive("b"), time.Since(a.Status("b").LastMessage) < 300*time.Millisecond}
		time.Sleep(10 * time.Millisecond)
		a.SetPeer(rowOfB)
		for range 20 { // the forward still counts for the period
			time.Sleep(100 * time.Millisecond)
			got = append(got, time.Since(b.Status("a").LastMessage) < 300*time.Millisecond)
		}
		a.RemovePeer("b")
		w.setCut("10.0.0.2:7", "10.0.0.1:7", true)
		time.Sleep(1100 * time.Millisecond)
		got = append(got, !a.IsAlive("b"))
		want := make([]bool, len(got))
		for i := range want {
			want[i] = true
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("alive and heard, heard often, dead in the end (-want +got):\n%s", diff)
		}
	})
}
