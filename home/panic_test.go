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

// panickingEndpoint panics in renewals once it is armed.
type panickingEndpoint struct {
	home.Endpoint
	armed *atomic.Bool
}

// Renew panics if the endpoint is armed.
func (b panickingEndpoint) Renew(r lease.Renewal, timeout time.Duration) (lease.Report, error) {
	if b.armed.Load() {
		panic("unexpected answer")
	}
	return b.Endpoint.Renew(r, timeout)
}

// A panic in the requests to one worker must give the home up, and the next home must continue
// its runs without a second run of any task.
func TestPanicGivesTheHomeUpAndTheNextOneContinues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 2)
		var armed atomic.Bool
		dc.connect = func(w model.Worker, _ func(time.Duration)) home.Endpoint {
			return panickingEndpoint{dc.workers[w.ID], &armed}
		}
		h := dc.readyHome(1)
		s := submission("a", 4)
		outcome := make(chan home.Outcome, 1)
		armed.Store(true)
		go func() { outcome <- submit(h, s) }()
		time.Sleep(10 * time.Millisecond)
		if dc.fenced.Load() == 0 {
			t.Fatal("the home was not given up")
		}
		armed.Store(false)
		dc.close(h)

		moved := <-outcome
		if moved.Result != home.Moved {
			t.Fatalf("result %q", moved.Result)
		}
		later := dc.newHome(2)
		defer dc.close(later)
		s.Resumed, s.TasksReported, s.Done, s.MaybeRunning = true, true, moved.Done, moved.MaybeRunning
		if got := resultOf(submit(later, s)); got != home.Succeeded {
			t.Errorf("result %q", got)
		}
		if n := dc.ledger.Starts("a.0.0.0"); n != 1 {
			t.Errorf("the first task ran %d times", n)
		}
		dc.checkLedger()
	})
}
