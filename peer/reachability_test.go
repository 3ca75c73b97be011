package peer

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// connectResults records the calls of OnConnectResult.
type connectResults struct {
	mu      sync.Mutex
	results []bool
}

func (r *connectResults) add(_ string, connected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, connected)
}

// wait waits until count results were recorded, and returns all of them.
func (r *connectResults) wait(t *testing.T, count int) []bool {
	t.Helper()
	for limit := time.Now().Add(testTimeout); time.Now().Before(limit); time.Sleep(time.Millisecond) {
		r.mu.Lock()
		results := append([]bool(nil), r.results...)
		r.mu.Unlock()
		if len(results) >= count {
			return results
		}
	}
	t.Fatalf("OnConnectResult was not called %d times", count)
	return nil
}

// A peer that was shut down must be reported as unreachable by the periodic check of the
// connection, not only with the next call.
func TestLostPeerIsReportedWithoutACall(t *testing.T) {
	r := &connectResults{}
	o := optionsFor("a")
	o.OnConnectResult = r.add
	a, b := startGroup(t, o), startGroup(t, optionsFor("b"))
	b.Handle("echo", echo)
	a.SetPeer("b", b.Addr())
	if err := call(t, a, "b", "echo", 1, nil); err != nil {
		t.Fatal(err)
	}
	closeGroup(t, b)

	if diff := cmp.Diff([]bool{true, false}, r.wait(t, 2)); diff != "" {
		t.Errorf("connect results (-want +got)\n%s", diff)
	}
}

// The connection that a call waits on starts to drop all packets. The peer must be reported
// as unreachable only if a new connection drops all packets as well.
func TestUnresponsivePeerIsReportedWhileACallWaits(t *testing.T) {
	for name, dropsNew := range map[string]bool{"only the old connection drops packets": false, "new connections drop packets too": true} {
		t.Run(name, func(t *testing.T) {
			r := &connectResults{}
			o := optionsFor("a")
			o.OnConnectResult = r.add
			a, b := startGroup(t, o), startGroup(t, optionsFor("b"))
			entered := make(chan struct{})
			b.Handle("hang", func(ctx context.Context, _ json.RawMessage) (any, error) {
				close(entered)
				<-ctx.Done()
				return nil, ctx.Err()
			})
			h := startBlackHole(t, b.Addr())
			a.SetPeer("b", h.listener.Addr().String())

			ended := make(chan error, 1)
			go func() { ended <- call(t, a, "b", "hang", 1, nil) }()
			<-entered
			h.setDropsNew(dropsNew)
			h.dropOpen()

			wantOutcome(t, <-ended, outcome{Kind: Unconfirmed, Sent: true})
			if diff := cmp.Diff([]bool{true, !dropsNew}, r.wait(t, 2)); diff != "" {
				t.Errorf("connect results (-want +got)\n%s", diff)
			}
		})
	}
}

// setDropsNew determines whether new connections drop all bytes from the start.
func (h *blackHole) setDropsNew(dropsNew bool) {
	h.dropsNew.Store(dropsNew)
}

// OnActivity must be called when bytes of a peer arrive, but not for every read.
func TestResponsesAreReportedAsActivity(t *testing.T) {
	active := make(chan string, 100)
	o := optionsFor("a")
	o.OnActivity = func(id, _ string) { active <- id }
	a, b := startGroup(t, o), startGroup(t, optionsFor("b"))
	b.Handle("echo", echo)
	a.SetPeer("b", b.Addr())
	for i := range 20 {
		if err := call(t, a, "b", "echo", i, nil); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(active); n == 0 || n > 10 {
		t.Fatalf("OnActivity was called %d times", n)
	}
	if id := <-active; id != "b" {
		t.Errorf("activity of %q", id)
	}
}
