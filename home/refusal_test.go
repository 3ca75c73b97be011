package home_test

import (
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

// misreadEndpoint is a worker whose first start is carried out, and gets the refusal of an earlier one.
type misreadEndpoint struct {
	*fakes.LeasedWorker
	refused *atomic.Bool
}

// Start carries a start out and returns the refusal for the first one.
func (e misreadEndpoint) Start(s lease.Start, timeout time.Duration) (lease.Reply, error) {
	reply, err := e.LeasedWorker.Start(s, timeout)
	if !e.refused.Swap(true) {
		reply.Refusal = lease.Outdated
	}
	return reply, err
}

// Guards against a task that runs twice: a second response to an earlier start, which was sent twice and
// refused, was taken for the response to a start that is carried out.
func TestRefusalOfAnotherStartBeginsNoSecondRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 2)
		var refused atomic.Bool
		dc.connect = func(w model.Worker, _ func(time.Duration)) home.Endpoint {
			return misreadEndpoint{dc.workers[w.ID], &refused}
		}
		h := dc.readyHome(1)
		defer dc.close(h)
		got := resultOf(submit(h, submission("a", 1)))
		if diff := cmp.Diff(home.Succeeded, got); diff != "" {
			t.Errorf("result (-want +got):\n%s", diff)
		}
		dc.checkLedger()
	})
}
