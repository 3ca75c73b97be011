package home_test

import (
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"foxtailmux/fakes"
	"foxtailmux/home"
	"foxtailmux/lease"
	"foxtailmux/model"
	"foxtailmux/plan"
)

// fakeOrigin sends the starts of its jobs for a home.
type fakeOrigin struct {
	dataCentre *testCentre
	spec       string
	fail       error
	calls      atomic.Int32
}

// start sends a start to its worker with the specification, which the home does not have.
func (o *fakeOrigin) start(w model.Worker, s lease.Start, timeout time.Duration) (lease.Reply, error) {
	o.calls.Add(1)
	if o.fail != nil {
		time.Sleep(timeout)
		return lease.Reply{}, o.fail
	}
	s.Spec = o.spec
	return o.dataCentre.workers[w.ID].Start(s, timeout)
}

func withOriginStarts(o *fakeOrigin, id string, tasks int) home.Submission {
	s := submission(id, tasks)
	s.Batch.Spec, s.SpecBytes = "", len(o.spec)
	s.OriginStarter = &home.OriginStarter{Link: plan.NewLink(linkMegabits), Start: o.start}
	return s
}

func TestOriginStartsTheTasksOfAJobWhoseSpecificationItKeeps(t *testing.T) {
	withHome(t, 2, func(t *testing.T, dc *testCentre, h *home.Home) {
		o := &fakeOrigin{dataCentre: dc, spec: strings.Repeat("x", 3000)}
		if got := resultOf(submit(h, withOriginStarts(o, "a", 4))); got != home.Succeeded {
			t.Errorf("result %q", got)
		}
		if n := o.calls.Load(); n != 4 {
			t.Errorf("%d starts by the origin", n)
		}
		dc.checkLedger()
	})
}

// The origin tells responses to earlier requests by the worker's clock, which the home knows.
func TestStartsByTheOriginCarryTheEarliestClock(t *testing.T) {
	withHome(t, 1, func(t *testing.T, dc *testCentre, h *home.Home) {
		time.Sleep(5 * time.Second)
		var earliest int64
		s := withOriginStarts(&fakeOrigin{}, "a", 1)
		s.OriginStarter.Start = func(w model.Worker, s lease.Start, timeout time.Duration) (lease.Reply, error) {
			earliest = s.Earliest
			reply, err := dc.workers[w.ID].Start(s, timeout)
			if behind := reply.Clock - earliest; behind < 0 || behind > 200 {
				t.Errorf("the start carries the clock %d, the worker's is %d", earliest, reply.Clock)
			}
			return reply, err
		}
		if got := resultOf(submit(h, s)); got != home.Succeeded || earliest == 0 {
			t.Errorf("result %q, clock %d", got, earliest)
		}
	})
}

// Failures of an unresponsive origin must not be attributed to the workers, and its job must
// not keep their capacity reserved.
func TestUnresponsiveOriginCostsOnlyItsJobs(t *testing.T) {
	withHome(t, 2, func(t *testing.T, dc *testCentre, h *home.Home) {
		lost := &fakeOrigin{dataCentre: dc, spec: "x", fail: &home.OriginError{Op: "start", Err: errors.New("no answer")}}
		began := time.Now()
		if got := resultOf(submit(h, withOriginStarts(lost, "a", 1))); got != home.Cancelled {
			t.Errorf("result %q", got)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("job given up after %v", took)
		}
		time.Sleep(200 * time.Millisecond) // runs that the origin may have started are stopped
		began = time.Now()
		if got := resultOf(submit(h, submission("b", 4))); got != home.Succeeded {
			t.Errorf("result %q", got)
		}
		if took := time.Since(began); took > runTime+20*time.Millisecond {
			t.Errorf("the next job took %v", took)
		}
		dc.checkLedger()
	})
}

func TestJobUnknownToItsOriginIsGivenUp(t *testing.T) {
	withHome(t, 2, func(t *testing.T, dc *testCentre, h *home.Home) {
		gone := &fakeOrigin{dataCentre: dc, spec: "x", fail: &home.OriginError{Op: "start", JobUnknown: true, Err: errors.New("gone")}}
		if got := resultOf(submit(h, withOriginStarts(gone, "a", 1))); got != home.Cancelled {
			t.Errorf("result %q", got)
		}
		if n := gone.calls.Load(); n != 1 {
			t.Errorf("%d starts by the origin", n)
		}
		dc.checkLedger()
	})
}

// A start that the origin sends after the home gave it up must not run beside the next run of
// its task.
func TestStartThatTheOriginSendsLateRunsNoTaskTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 2)
		h := dc.readyHome(1)
		defer dc.close(h)
		o := &fakeOrigin{dataCentre: dc, spec: "x"}
		var late atomic.Int32
		s := withOriginStarts(o, "a", 1)
		s.OriginStarter.Start = func(w model.Worker, s lease.Start, timeout time.Duration) (lease.Reply, error) {
			if late.Add(1) > 1 {
				return o.start(w, s, timeout)
			}
			go func() {
				time.Sleep(700 * time.Millisecond)
				_, _ = o.start(w, s, timeout)
			}()
			time.Sleep(timeout)
			return lease.Reply{}, fakes.ErrNoResponse
		}
		if got := resultOf(submit(h, s)); got != home.Succeeded {
			t.Errorf("result %q", got)
		}
		time.Sleep(2 * time.Second)
		if n := dc.ledger.Starts("a.0.0.0"); n != 1 {
			t.Errorf("the task ran %d times", n)
		}
		dc.checkLedger()
	})
}

// A job is submitted again by another instance, since its first origin died.
func TestJobIsStartedByItsLastOrigin(t *testing.T) {
	withHome(t, 2, func(t *testing.T, dc *testCentre, h *home.Home) {
		dead := &fakeOrigin{dataCentre: dc, spec: "x", fail: &home.OriginError{Op: "start", Err: errors.New("no answer")}}
		alive := &fakeOrigin{dataCentre: dc, spec: "x"}
		first := make(chan home.Result, 1)
		go func() { first <- submit(h, withOriginStarts(dead, "a", 1)).Result }()
		time.Sleep(time.Millisecond)
		if got := resultOf(submit(h, withOriginStarts(alive, "a", 1))); got != home.Succeeded {
			t.Errorf("result %q", got)
		}
		if got := <-first; got != home.Succeeded {
			t.Errorf("result of the first submission %q", got)
		}
		dc.checkLedger()
	})
}
