package worker

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/fakes"
	"foxtailmux/model"
)

// age makes the idle connections look as if they were used long ago.
func (c *Client) age(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.idle {
		k.lastUsed = k.lastUsed.Add(-d)
	}
}

func TestClientMadeBeforeTheConfigurationKeepsConnections(t *testing.T) {
	w := startFake(t)
	c := NewClient(w.Addr(), DialTCP, 0)
	t.Cleanup(c.Close)
	mustStart(t, c, "a")
	kept := mustGet(t, c)
	c.put(kept)
	if again := mustGet(t, c); again != kept {
		t.Error("the kept connection was not used")
	}
}

func TestIdleConnectionIsProvenBeforeAStart(t *testing.T) {
	for name, c := range map[string]struct {
		faults fakes.WorkerFaults
		open   int // connections of the worker after the start
	}{
		"alive":       {open: 2},
		"silent":      {faults: fakes.WorkerFaults{BlackHole: true}, open: 1},
		"status down": {faults: fakes.WorkerFaults{StatusDown: true}, open: 2},
	} {
		t.Run(name, func(t *testing.T) {
			w := startFake(t)
			client := newTestClient(t, w.Addr())
			first, second := mustGet(t, client), mustGet(t, client)
			client.put(first)
			client.put(second)
			mustStart(t, client, "warm")
			if err := w.SetFaults(c.faults); err != nil {
				t.Fatal(err)
			}

			client.age(2 * probeAfter)
			mustStart(t, client, "a")
			if diff := cmp.Diff(c.open, client.OpenConnections()); diff != "" {
				t.Errorf("open connections (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(1, starts(w, "a")); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
		})
	}
}

// BenchmarkStartAfterIdle compares a start on a connection that is proven
// first with one on a new connection.
func BenchmarkStartAfterIdle(b *testing.B) {
	for name, prepare := range map[string]func(*Client){
		"used lately": func(*Client) {},
		"probe":       func(c *Client) { c.age(2 * probeAfter) },
		"dial":        func(c *Client) { c.CloseIdleConnections(0) },
	} {
		b.Run(name, func(b *testing.B) {
			w, err := fakes.StartWorker(fakes.WorkerOptions{})
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(w.Close)
			c := NewClient(w.Addr(), DialTCP, testMaxIdle)
			b.Cleanup(c.Close)

			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				prepare(c)
				start := model.StartRequest{TaskID: fmt.Sprintf("t%d", n), Attempt: 1, LeaseMillis: time.Minute.Milliseconds()}
				if _, err := c.Start(b.Context(), start); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func TestWorkerThatLeftWhileItWasQuietGetsNoStart(t *testing.T) {
	w := startFake(t)
	if err := w.SetFaults(fakes.WorkerFaults{Leaving: true, LeavingAccepts: true}); err != nil {
		t.Fatal(err)
	}

	reply, err := newTestClient(t, w.Addr()).Start(t.Context(), request(t, "a", time.Second))
	if err != nil {
		t.Fatal(err)
	}
	want := model.TaskReply{TaskID: "a", Outcome: model.OutcomeNotRun, Reason: "the worker is leaving", Leaving: true}
	if diff := cmp.Diff(want, reply); diff != "" {
		t.Errorf("reply (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(0, starts(w, "a")); diff != "" {
		t.Errorf("starts (-want +got):\n%s", diff)
	}
}
