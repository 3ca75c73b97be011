package worker

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/fakes"
	"foxtailmux/model"
)

// ageIdle moves the last use of the idle connections back by d.
func (c *Client) ageIdle(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.idle {
		k.lastUsed = k.lastUsed.Add(-d)
	}
}

// Guards against a client created before the first configuration, with a maxIdle of 0, that
// opens a connection for every request.
func TestDefaultMaxIdleKeepsConnections(t *testing.T) {
	w := startFake(t)
	c := NewClient(w.Addr(), DialTCP, 0)
	t.Cleanup(c.Close)
	mustStart(t, c, "a")
	kept := mustGet(t, c)
	c.putIdle(kept)
	if again := mustGet(t, c); again != kept {
		t.Error("the idle connection was not reused")
	}
}

// Guards against a start request lost on an idle connection that no longer works: the client
// closes all idle connections after a probe without a response and starts on a new one.
func TestIdleConnectionIsProbedBeforeAStart(t *testing.T) {
	for name, c := range map[string]struct {
		faults fakes.WorkerFaults
		open   int // connections to the worker after the start
	}{
		"alive":        {open: 2},
		"unresponsive": {faults: fakes.WorkerFaults{BlackHole: true}, open: 1},
		"status down":  {faults: fakes.WorkerFaults{StatusDown: true}, open: 2},
	} {
		t.Run(name, func(t *testing.T) {
			w := startFake(t)
			client := newTestClient(t, w.Addr())
			first, second := mustGet(t, client), mustGet(t, client)
			client.putIdle(first)
			client.putIdle(second)
			mustStart(t, client, "warm")
			if err := w.SetFaults(c.faults); err != nil {
				t.Fatal(err)
			}

			client.ageIdle(2 * probeIdleAfter)
			mustStart(t, client, "a")
			if diff := cmp.Diff(c.open, client.OpenConnections()); diff != "" {
				t.Errorf("open connections (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(1, countStarts(w, "a")); diff != "" {
				t.Errorf("starts (-want +got):\n%s", diff)
			}
		})
	}
}

// BenchmarkStartAfterIdle compares starts on a connection used recently, on one that is
// probed first and on a new one.
func BenchmarkStartAfterIdle(b *testing.B) {
	for name, prepare := range map[string]func(*Client){
		"used recently": func(*Client) {},
		"probe":         func(c *Client) { c.ageIdle(2 * probeIdleAfter) },
		"dial":          func(c *Client) { c.CloseIdleConnections(0) },
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

// Guards against a start request to a worker that began to leave since its last response.
func TestLeavingWorkerGetsNoStart(t *testing.T) {
	w := startFake(t)
	if err := w.SetFaults(fakes.WorkerFaults{Leaving: true, LeavingAccepts: true}); err != nil {
		t.Fatal(err)
	}

	reply, err := newTestClient(t, w.Addr()).Start(t.Context(), startRequest(t, "a", time.Second))
	if err != nil {
		t.Fatal(err)
	}
	want := model.TaskReply{TaskID: "a", Outcome: model.OutcomeNotRun, Reason: "the worker is leaving", Leaving: true}
	if diff := cmp.Diff(want, reply); diff != "" {
		t.Errorf("reply (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(0, countStarts(w, "a")); diff != "" {
		t.Errorf("starts (-want +got):\n%s", diff)
	}
}
