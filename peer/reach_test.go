package peer

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// reach records what a group tells of the peers that it reaches.
type reach struct {
	mu    sync.Mutex
	heard []bool
}

func (r *reach) add(_ string, reached bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard = append(r.heard, reached)
}

// wait returns what was told once there is as much of it.
func (r *reach) wait(t *testing.T, count int) []bool {
	t.Helper()
	for limit := time.Now().Add(patience); time.Now().Before(limit); time.Sleep(time.Millisecond) {
		r.mu.Lock()
		heard := append([]bool(nil), r.heard...)
		r.mu.Unlock()
		if len(heard) >= count {
			return heard
		}
	}
	t.Fatalf("not told %d times", count)
	return nil
}

func TestLostPeerIsReportedWithoutACall(t *testing.T) {
	r := &reach{}
	o := named("a")
	o.OnConnectResult = r.add
	a, b := startGroup(t, o), startGroup(t, named("b"))
	b.Handle("echo", echo)
	a.SetPeer("b", b.Addr())
	if err := call(t, a, "b", "echo", 1, nil); err != nil {
		t.Fatal(err)
	}
	closeGroup(t, b)

	if diff := cmp.Diff([]bool{true, false}, r.wait(t, 2)); diff != "" {
		t.Errorf("reached (-want +got)\n%s", diff)
	}
}

// TestSilentPeerIsReportedWhileACallWaits silences the connection that a call
// waits on. Only a peer that is silent on a new connection too is unreached.
func TestSilentPeerIsReportedWhileACallWaits(t *testing.T) {
	for name, frozen := range map[string]bool{"only the old connection": false, "new ones too": true} {
		t.Run(name, func(t *testing.T) {
			r := &reach{}
			o := named("a")
			o.OnConnectResult = r.add
			a, b := startGroup(t, o), startGroup(t, named("b"))
			begun := make(chan struct{})
			b.Handle("hang", func(ctx context.Context, _ json.RawMessage) (any, error) {
				close(begun)
				<-ctx.Done()
				return nil, ctx.Err()
			})
			s := startSwallower(t, b.Addr())
			a.SetPeer("b", s.listener.Addr().String())

			ended := make(chan error, 1)
			go func() { ended <- call(t, a, "b", "hang", 1, nil) }()
			<-begun
			s.freeze(frozen)
			s.silence()

			wantOutcome(t, <-ended, outcome{Kind: Unconfirmed, Sent: true})
			if diff := cmp.Diff([]bool{true, !frozen}, r.wait(t, 2)); diff != "" {
				t.Errorf("reached (-want +got)\n%s", diff)
			}
		})
	}
}

// freeze makes new connections silent from the start.
func (s *swallower) freeze(frozen bool) {
	s.frozen.Store(frozen)
}

func TestAnswersTellThatThePeerIsHeard(t *testing.T) {
	heard := make(chan string, 100)
	o := named("a")
	o.OnActivity = func(id string) { heard <- id }
	a, b := startGroup(t, o), startGroup(t, named("b"))
	b.Handle("echo", echo)
	a.SetPeer("b", b.Addr())
	for i := range 20 {
		if err := call(t, a, "b", "echo", i, nil); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(heard); n == 0 || n > 10 {
		t.Fatalf("told %d times", n)
	}
	if id := <-heard; id != "b" {
		t.Errorf("heard %q", id)
	}
}
