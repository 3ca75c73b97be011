package home_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/fakes"
	"foxtailmux/home"
	"foxtailmux/lease"
	"foxtailmux/model"
)

// refusingEndpoint is a worker whose requests can be refused: with an error before any byte is
// sent, as by an address where nothing listens, or by another worker that has taken the address.
type refusingEndpoint struct {
	*fakes.LeasedWorker
	dialError, otherWorker atomic.Bool
	refused                atomic.Int32
}

var errRefusedDial = &notSentError{errors.New("connection refused")}

type notSentError struct{ error }

// Sent reports that no byte was sent.
func (*notSentError) Sent() bool { return false }

// refuse returns the response or the error if requests are refused.
func (e *refusingEndpoint) refuse() (lease.Reply, error, bool) {
	switch {
	case e.dialError.Load():
		e.refused.Add(1)
		return lease.Reply{}, errRefusedDial, true
	case e.otherWorker.Load():
		e.refused.Add(1)
		return lease.Reply{Refusal: lease.OtherWorker}, nil, true
	}
	return lease.Reply{}, nil, false
}

func (e *refusingEndpoint) Start(s lease.Start, timeout time.Duration) (lease.Reply, error) {
	if reply, err, ok := e.refuse(); ok {
		return reply, err
	}
	return e.LeasedWorker.Start(s, timeout)
}

func (e *refusingEndpoint) Renew(r lease.Renewal, timeout time.Duration) (lease.Report, error) {
	if reply, err, ok := e.refuse(); ok {
		return lease.Report{Reply: reply}, err
	}
	return e.LeasedWorker.Renew(r, timeout)
}

// Guards against idle workers that are never used again: the only request that finds them out of
// order is a start, and no further request is sent to a worker that does not respond (review/3).
func TestIdleWorkersAreUsedAgainAfterAnOutage(t *testing.T) {
	const outage = 3 * time.Second
	cases := map[string]func(e *refusingEndpoint, down bool){
		"crash": func(e *refusingEndpoint, down bool) {
			e.dialError.Store(down)
			e.Crash()
		},
		"address taken": func(e *refusingEndpoint, down bool) { e.otherWorker.Store(down) },
		"no response": func(e *refusingEndpoint, down bool) {
			e.SetFaults(fakes.LeasedWorkerFaults{Unresponsive: down})
		},
		"responses lost": func(e *refusingEndpoint, down bool) {
			e.SetFaults(fakes.LeasedWorkerFaults{LoseResponses: down})
		},
	}
	for name, set := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dc := newTestCentre(t, 2)
				var endpoints []*refusingEndpoint
				dc.connect = func(w model.Worker, _ func(time.Duration)) home.Endpoint {
					e := &refusingEndpoint{LeasedWorker: dc.workers[w.ID]}
					endpoints = append(endpoints, e)
					return e
				}
				h := dc.readyHome(1)
				defer dc.close(h)
				time.Sleep(time.Minute) // all ends are acknowledged

				for _, e := range endpoints {
					set(e, true)
				}
				if got := resultOf(submit(h, submission("during", 2))); got == home.Succeeded {
					t.Errorf("result during the outage %q", got)
				}
				time.Sleep(outage)
				for _, e := range endpoints {
					set(e, false)
				}
				for id := range dc.workers {
					dc.setRow(h, id)
				}
				time.Sleep(time.Second)
				if diff := cmp.Diff(home.Succeeded, resultOf(submit(h, submission("after", 4)))); diff != "" {
					t.Errorf("result after the outage (-want +got):\n%s", diff)
				}
				dc.checkLedger()
			})
		})
	}
}

// A worker that is out of order for long gets a few probes a second, and one that leaves none.
func TestProbesOfAnIdleWorkerAreFew(t *testing.T) {
	for state, most := range map[model.WorkerState]int32{model.Live: 3 * 60, model.Leaving: 10} {
		t.Run(string(state), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dc := newTestCentre(t, 1)
				var e *refusingEndpoint
				dc.connect = func(w model.Worker, _ func(time.Duration)) home.Endpoint {
					e = &refusingEndpoint{LeasedWorker: dc.workers[w.ID]}
					return e
				}
				h := dc.readyHome(1)
				defer dc.close(h)
				e.dialError.Store(true)
				submit(h, submission("a", 1))
				w := dc.listed["w0"]
				w.State = state
				h.SetWorkers(map[string]model.Worker{"w0": w}, true)

				e.refused.Store(0)
				time.Sleep(time.Minute)
				if n := e.refused.Load(); n > most || n == 0 && state == model.Live {
					t.Errorf("%d probes in a minute, want at most %d", n, most)
				}
			})
		})
	}
}

// Guards against a worker that is never used again: after an ejection it gets one run, and that run
// ends without a result, as its caller goes away.
func TestWorkerIsUsedAgainAfterItsRunAfterAnEjectionWasCancelled(t *testing.T) {
	withHome(t, 1, func(t *testing.T, dc *testCentre, h *home.Home) {
		dc.workers["w0"].SetFaults(fakes.LeasedWorkerFaults{FailEverything: true})
		submit(h, submission("a", 1))
		submit(h, submission("b", 1))
		dc.workers["w0"].SetFaults(fakes.LeasedWorkerFaults{})
		time.Sleep(5 * time.Second) // the ejection is over

		ctx, cancel := context.WithTimeout(t.Context(), runTime/2)
		defer cancel()
		h.Submit(ctx, submission("cancelled", 1))
		if diff := cmp.Diff(1, dc.ledger.Starts("cancelled.0.0.0")); diff != "" {
			t.Fatalf("starts of the cancelled task (-want +got):\n%s", diff)
		}
		time.Sleep(time.Minute)
		if diff := cmp.Diff(home.Succeeded, resultOf(submit(h, submission("after", 1)))); diff != "" {
			t.Errorf("result after the cancelled run (-want +got):\n%s", diff)
		}
	})
}
