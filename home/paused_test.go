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

// stalled is an endpoint of a process that is paused between the decision to start a task
// and the send.
type stalled struct {
	home.Endpoint
	pause time.Duration
	armed *atomic.Bool
}

// Start sends after the pause.
func (s stalled) Start(order lease.Start, timeout time.Duration) (lease.Reply, error) {
	if s.armed.CompareAndSwap(true, false) {
		time.Sleep(s.pause)
	}
	return s.Endpoint.Start(order, timeout)
}

// A process that is paused after it has decided on a start sends it when a later home runs
// the task, has run it, or before that home has heard of the job.
func TestStartOfAPausedProcessRunsNothingTwice(t *testing.T) {
	for _, pause := range []time.Duration{20, 80, 300, 900, 1500, 5000} {
		synctest.Test(t, func(t *testing.T) {
			p := newPlace(t, 2)
			var armed atomic.Bool
			sound := p.connect
			p.connect = func(w model.Worker, late func(time.Duration)) home.Endpoint {
				return stalled{sound(w, late), pause * time.Millisecond, &armed}
			}
			earlier := p.ready(1)
			defer p.close(earlier)
			armed.Store(true)
			s := submission("a", 1)
			go submit(earlier, s)
			time.Sleep(10 * time.Millisecond)

			p.connect = sound
			later := p.home(2)
			defer p.close(later)
			s.Resumed = true
			if got := verdict(submit(later, s)); got != home.Succeeded {
				t.Errorf("paused for %d ms: verdict %q", pause, got)
			}
			time.Sleep(6 * time.Second)
			if n := p.ledger.Starts("a.0.0.0"); n != 1 {
				t.Errorf("paused for %d ms: the task ran %d times", pause, n)
			}
			p.check()
		})
	}
}
