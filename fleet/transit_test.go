package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"foxtailmux/home"
	"foxtailmux/logger"
	"foxtailmux/model"
	"foxtailmux/peer"
)

// holdingConn is a connection whose written bytes can be held up, its end included.
type holdingConn struct {
	net.Conn
	mu     sync.Mutex
	holds  bool
	held   []byte
	closed bool
}

// Write keeps the bytes while they are held up.
func (c *holdingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.holds {
		return c.Conn.Write(p)
	}
	c.held = append(c.held, p...)
	return len(p), nil
}

// Close closes the connection once all bytes are delivered.
func (c *holdingConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed = true; c.holds {
		return nil
	}
	return c.Conn.Close()
}

func (c *holdingConn) hold() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holds = true
}

func (c *holdingConn) holdsBytes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.held) > 0
}

func (c *holdingConn) release() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holds = false
	_, err := c.Conn.Write(c.held)
	if c.closed {
		return errors.Join(err, c.Conn.Close())
	}
	return err
}

// newHoldingGroup returns a group that only calls others, and its connections.
func newHoldingGroup(t *testing.T, id string) (*peer.Group, chan *holdingConn) {
	t.Helper()
	conns := make(chan *holdingConn, 1)
	g := peer.New(peer.Options{
		Self: model.Entry{ID: id, Incarnation: "1"},
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			var d net.Dialer
			raw, err := d.DialContext(ctx, "tcp", addr)
			if err != nil {
				return nil, err
			}
			conn := &holdingConn{Conn: raw}
			conns <- conn
			return conn, nil
		},
	})
	t.Cleanup(func() { _ = g.Close(context.Background()) })
	return g, conns
}

// Guards against a task that runs twice: a forwarded job that was held up before the first heartbeat of
// its origin counted as new, and ran beside the next submission of its caller.
func TestTransitIsKnownWithoutAHeartbeatOfTheOrigin(t *testing.T) {
	for name, c := range map[string]struct {
		heldFor time.Duration
		want    error
	}{
		"at once": {},
		"held up": {heldFor: maxTransit + 200*time.Millisecond, want: errLate},
	} {
		t.Run(name, func(t *testing.T) {
			in := &Instance{
				ctx: t.Context(), peers: startGroup(t, "home"), heartbeats: newListener(t).heartbeats,
				log:        &logger.Logger{Logger: log.Logger{Writer: log.IOWriter{Writer: io.Discard}}},
				localHomes: map[string]*home.Home{"kochi": home.New(home.Options{DataCentre: "kochi", Token: 1, MaxLease: time.Second})},
			}
			in.localHomes["kochi"].Close()
			served := make(chan error, 1)
			in.peers.Handle(methodRun, func(ctx context.Context, params json.RawMessage) (any, error) {
				outcome, err := in.serveRun(ctx, params)
				served <- err
				return outcome, err
			})

			origin, conns := newHoldingGroup(t, "entry")
			origin.SetPeer("home", in.peers.Addr())
			if err := origin.Call(t.Context(), "home", "none", nil, nil); err == nil {
				t.Fatal("an unknown method was served")
			}
			conn := <-conns
			if c.heldFor > 0 {
				conn.hold()
			}
			s := home.Submission{Batch: model.Batch{ID: "a"}, Origin: "entry", Incarnation: "1", TimeLeft: 3 * time.Second}
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			err := origin.Call(ctx, "home", methodRun, runRequest{DataCentre: "kochi", Job: s}, nil)
			if diff := cmp.Diff(c.heldFor > 0, err != nil); diff != "" {
				t.Fatalf("error of the call (-want +got):\n%s%v", diff, err)
			}
			time.Sleep(max(c.heldFor-300*time.Millisecond, 0))
			if err := conn.release(); err != nil {
				t.Fatal(err)
			}
			if got := <-served; !errors.Is(got, c.want) {
				t.Errorf("the home returned %v, want %v", got, c.want)
			}
		})
	}
}
