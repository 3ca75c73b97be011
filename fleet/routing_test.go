package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"foxtailmux/beat"
	"foxtailmux/logger"
	"foxtailmux/meter"
	"foxtailmux/model"
	"foxtailmux/peer"
)

// startGroup returns a started group of peers on a port of its own.
func startGroup(t *testing.T, id string) *peer.Group {
	t.Helper()
	g := peer.New(peer.Options{Self: model.Entry{ID: id, Incarnation: "1"}, ListenAddr: "127.0.0.1:0"})
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
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	quiet := log.Logger{Writer: log.IOWriter{Writer: io.Discard}}
	ctx, cancel := context.WithCancel(t.Context())
	in := &Instance{
		ctx: ctx, log: &logger.Logger{Logger: quiet}, meter: meter.New("entry", "kochi"), changed: newNotifier(),
		configured: make(chan struct{}), peers: startGroup(t, "entry"),
	}
	in.peers.SetPeer("other", other.Addr())
	in.heartbeats = beat.New(beat.Options{
		Conn: udp, OwnHeartbeat: func() beat.Heartbeat { return beat.Heartbeat{} }, OnChange: in.onPeerChange, Log: &quiet,
	})
	go in.heartbeats.Run(ctx)
	defer func() {
		cancel()
		<-in.heartbeats.Done()
		in.background.Wait()
	}()

	sender, err := net.Dial("udp", udp.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer sender.Close()
	for range 30 {
		if _, err := fmt.Fprint(sender, `{"instance":"other","incarnation":"1","routing":5,"nextMillis":250}`); err != nil {
			t.Fatal(err)
		}
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
