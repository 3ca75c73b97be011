package home_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/home"
	"foxtailmux/lease"
	"foxtailmux/model"
)

// maxStall is the longest time that a home may stand still between two ticks and go on, less a tick.
const maxStall = 880 * time.Millisecond

// pausedEndpoint simulates a process that is paused between the decision to start a task and
// the send.
type pausedEndpoint struct {
	home.Endpoint
	pause time.Duration
	armed *atomic.Bool
}

// Start sends the request after the pause.
func (s pausedEndpoint) Start(start lease.Start, timeout time.Duration) (lease.Reply, error) {
	if s.armed.CompareAndSwap(true, false) {
		time.Sleep(s.pause)
	}
	return s.Endpoint.Start(start, timeout)
}

// Guards against a second run of a task: a paused process sends its start while a later home
// runs the task, after the task has ended there, or before the job has reached that home.
func TestStartOfAPausedProcessRunsNoTaskTwice(t *testing.T) {
	for _, pause := range []time.Duration{20, 80, 300, 900, 1500, 5000} {
		synctest.Test(t, func(t *testing.T) {
			dc := newTestCentre(t, 2)
			var armed atomic.Bool
			connect := dc.connect
			dc.connect = func(w model.Worker, late func(time.Duration)) home.Endpoint {
				return pausedEndpoint{connect(w, late), pause * time.Millisecond, &armed}
			}
			earlier := dc.readyHome(1)
			defer dc.close(earlier)
			armed.Store(true)
			s := submission("a", 1)
			go submit(earlier, s)
			time.Sleep(10 * time.Millisecond)

			dc.connect = connect
			later := dc.newHome(2)
			defer dc.close(later)
			s.Resumed = true
			if got := resultOf(submit(later, s)); got != home.Succeeded {
				t.Errorf("paused for %d ms: result %q", pause, got)
			}
			time.Sleep(6 * time.Second)
			if n := dc.ledger.Starts("a.0.0.0"); n != 1 {
				t.Errorf("paused for %d ms: the task ran %d times", pause, n)
			}
			dc.checkLedger()
		})
	}
}

// Guards against a task that runs at two homes: a home stood still while the caller of a waiting job left, and
// on waking the end of another run started the job's task before the cancel was read.
func TestHomeThatStoodStillStartsNoTask(t *testing.T) {
	for name, c := range map[string]struct {
		stall  time.Duration
		starts int
		fenced int32
	}{
		"short":              {maxStall, 1, 0},
		"until others acted": {maxStall + 40*time.Millisecond, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			withHome(t, 1, func(t *testing.T, dc *testCentre, h *home.Home) {
				dc.workers["w0"].RunTime = func(string) time.Duration { return 51 * time.Millisecond }
				results := make(chan home.Result, 2)
				go func() { results <- resultOf(submit(h, submission("before", 2))) }()
				time.Sleep(5 * time.Millisecond)
				s := submission("waits", 1)
				s.Resumed, s.TasksReported = true, true // waits for capacity
				go func() { results <- resultOf(submit(h, s)) }()
				time.Sleep(45 * time.Millisecond)
				dc.stall.Store(int64(c.stall)) // until the end of the runs, before the next tick
				time.Sleep(30 * time.Millisecond)
				if diff := cmp.Diff(c.starts, dc.ledger.Starts("waits.0.0.0")); diff != "" {
					t.Errorf("starts on waking (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(c.fenced, dc.fenced.Load()); diff != "" {
					t.Errorf("given up (-want +got):\n%s", diff)
				}
				h.Close()
				for range 2 {
					<-results
				}
			})
		})
	}
}

// Guards against a task that runs at two homes: on waking, a home first took a job, extended a lease or
// handled a tick, each before anything else had shown that it stood still.
func TestFirstEventAfterAPauseGivesTheHomeUp(t *testing.T) {
	cases := map[string]struct {
		within time.Duration // of the pause's end, shorter than until the next tick but for the tick itself
		event  func(h *home.Home) home.Result
	}{
		"submission": {5 * time.Millisecond, func(h *home.Home) home.Result { return resultOf(submit(h, submission("new", 1))) }},
		"tick":       {25 * time.Millisecond, func(*home.Home) home.Result { return home.Moved }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withHome(t, 1, func(t *testing.T, dc *testCentre, h *home.Home) {
				dc.stall.Store(int64(maxStall + 40*time.Millisecond))
				got := c.event(h)
				time.Sleep(c.within)
				if diff := cmp.Diff(home.Moved, got); diff != "" {
					t.Errorf("result (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(int32(1), dc.fenced.Load()); diff != "" {
					t.Errorf("given up (-want +got):\n%s", diff)
				}
			})
		})
	}
	t.Run("renewal", func(t *testing.T) {
		withHome(t, 1, func(t *testing.T, dc *testCentre, h *home.Home) {
			dc.workers["w0"].RunTime = func(string) time.Duration { return 4 * time.Second }
			s := submission("a", 1)
			s.TimeLeft = 6 * time.Second
			go submit(h, s)
			time.Sleep(500 * time.Millisecond)
			dc.stall.Store(int64(maxStall + 40*time.Millisecond))
			time.Sleep(1100 * time.Millisecond)
			if id := dc.ledger.WorkerOf("a.0.0.0"); id != "" {
				t.Errorf("the task runs on %s after its lease", id)
			}
		})
	})
}
