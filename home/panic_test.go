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

// broken is an endpoint whose answers bring the process down once it is armed.
type broken struct {
	home.Endpoint
	armed *atomic.Bool
}

// Renew panics.
func (b broken) Renew(h lease.Renewal, timeout time.Duration) (lease.Report, error) {
	if b.armed.Load() {
		panic("unexpected answer")
	}
	return b.Endpoint.Renew(h, timeout)
}

// An unexpected error in the orders to one worker gives the home up; the next one goes on
// with what runs, and nothing runs twice.
func TestPanicGivesTheHomeUpAndTheNextOneGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlace(t, 2)
		var armed atomic.Bool
		p.connect = func(w model.Worker, _ func(time.Duration)) home.Endpoint { return broken{p.workers[w.ID], &armed} }
		h := p.ready(1)
		s := submission("a", 4)
		outcome := make(chan home.Outcome, 1)
		armed.Store(true)
		go func() { outcome <- submit(h, s) }()
		time.Sleep(10 * time.Millisecond)
		if p.fenced.Load() == 0 {
			t.Fatal("the home was not given up")
		}
		armed.Store(false)
		p.close(h)

		moved := <-outcome
		if moved.Result != home.Moved {
			t.Fatalf("verdict %q", moved.Result)
		}
		later := p.home(2)
		defer p.close(later)
		s.Resumed, s.TasksReported, s.Done, s.MaybeRunning = true, true, moved.Done, moved.MaybeRunning
		if got := verdict(submit(later, s)); got != home.Succeeded {
			t.Errorf("verdict %q", got)
		}
		if n := p.ledger.Starts("a.0.0.0"); n != 1 {
			t.Errorf("the first task ran %d times", n)
		}
		p.check()
	})
}
