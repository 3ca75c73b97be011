package home_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"foxtailmux/home"
	"foxtailmux/lease"
	"foxtailmux/model"
)

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
