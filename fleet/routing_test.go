package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"foxtailmux/beat"
	"foxtailmux/home"
	"foxtailmux/logger"
	"foxtailmux/meter"
	"foxtailmux/model"
	"foxtailmux/peer"
)

// startGroup returns a started group of peers on a port of its own.
func startGroup(t *testing.T, id string) *peer.Group {
	t.Helper()
	return startGroupWith(t, peer.Options{Self: model.Entry{ID: id, Incarnation: "1"}})
}

func startGroupWith(t *testing.T, o peer.Options) *peer.Group {
	t.Helper()
	o.ListenAddr = "127.0.0.1:0"
	g := peer.New(o)
	if err := g.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := g.Close(ctx); err != nil {
			t.Error(err)
		}
	})
	return g
}

// listener is an instance that hears heartbeats.
type listener struct {
	*Instance
	hear func(heartbeat string) // sends it a heartbeat
}

func newListener(t *testing.T) listener {
	t.Helper()
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	quiet := log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
	ctx, cancel := context.WithCancel(t.Context())
	in := &Instance{
		ctx: ctx, log: &logger.Logger{Logger: quiet}, meter: meter.New("entry", "kochi"), changed: newNotifier(),
		configured: make(chan struct{}),
		cancelling: map[int64]int{}, localHomes: map[string]*home.Home{},
	}
	in.heartbeats = beat.New(beat.Options{
		Conn: udp, OwnHeartbeat: func() beat.Heartbeat { return beat.Heartbeat{} }, OnChange: in.onPeerChange,
		OnCancelled: in.onCancelled, Log: &quiet,
	})
	in.peers = startGroupWith(t, peer.Options{
		Self:       model.Entry{ID: "entry", Incarnation: "1"},
		OnActivity: func(id, incarnation string) { in.heartbeats.RecordMessage(id, incarnation) },
	})
	go in.heartbeats.Run(ctx)
	sender, err := net.Dial("udp", udp.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		<-in.heartbeats.Done()
		in.background.Wait()
		_ = sender.Close()
	})
	return listener{in, func(heartbeat string) {
		if _, err := io.WriteString(sender, heartbeat); err != nil {
			t.Error(err)
		}
	}}
}

// Guards against an old configuration in force at an instance without the store: it asked a peer for
// the newer one when the peer's heartbeat first reported it, and never again if that request failed.
func TestConfigurationOfAPeerIsFetchedUntilItIsThere(t *testing.T) {
	var requests atomic.Int32
	other := startGroup(t, "other")
	other.Handle(methodRouting, func(context.Context, json.RawMessage) (any, error) {
		if requests.Add(1) <= 2 {
			return nil, errors.New("not now")
		}
		return model.Routing{Version: 5}, nil
	})
	in := newListener(t)
	in.peers.SetPeer("other", other.Addr())
	for range 30 {
		in.hear(`{"instance":"other","incarnation":"1","routing":5,"nextMillis":250}`)
		time.Sleep(100 * time.Millisecond)
		in.fetchNewerRouting()
		if in.routing.Load() != nil {
			break
		}
	}
	var got int64
	if r := in.routing.Load(); r != nil {
		got = r.Version
	}
	if diff := cmp.Diff(int64(5), got); diff != "" {
		t.Errorf("version in force after %d requests (-want +got):\n%s", requests.Load(), diff)
	}
}
