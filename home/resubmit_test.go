package home_test

import (
	"context"
	"fmt"
	"slices"
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

const (
	resubmitDelay    = 1300 * time.Millisecond // after which a caller submits a job again
	heartbeatTimeout = 1050 * time.Millisecond
	adoptionWindow   = 300 * time.Millisecond
	maxLease         = time.Second
)

// twoCentres are two data centres, each with a home, whose runs are recorded together.
type twoCentres struct {
	first, second         *testCentre
	firstHome, secondHome *home.Home
	lostAt                atomic.Pointer[time.Time] // when the origins were lost, nil if they are heard
}

func (c *twoCentres) lastMessage(string, string) time.Time {
	if at := c.lostAt.Load(); at != nil {
		return *at
	}
	return time.Now()
}

// withTwoHomes runs a test in virtual time with the homes of two data centres, whose tasks last for runTime.
func withTwoHomes(t *testing.T, runTime time.Duration, test func(t *testing.T, c *twoCentres)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &twoCentres{first: newTestCentre(t, 2), second: newTestCentre(t, 0)}
		c.second.ledger, c.first.lastMessage = c.first.ledger, c.lastMessage
		for _, id := range []string{"v0", "v1"} {
			w := c.first.listed["w0"]
			w.ID, w.Addr = id, id
			c.second.listed[id] = w
			c.second.workers[id] = fakes.NewLeasedWorker(id, w.Capacity, c.first.ledger)
		}
		for _, dc := range []*testCentre{c.first, c.second} {
			for _, w := range dc.workers {
				w.RunTime = func(string) time.Duration { return runTime }
			}
		}
		c.firstHome, c.secondHome = c.first.readyHome(1), c.second.readyHome(2)
		defer c.first.close(c.firstHome)
		defer c.second.close(c.secondHome)
		test(t, c)
		c.first.checkLedger()
	})
}

// submitAgain submits a job to the second home when its caller, which was lost at a time, does so. It
// returns the outcome.
func (c *twoCentres) submitAgain(s home.Submission, lost time.Time) home.Outcome {
	time.Sleep(time.Until(lost.Add(resubmitDelay)))
	s.Origin, s.Incarnation, s.Number = "again", "1", 1
	return submit(c.secondHome, s)
}

// Guards against a task that runs at two homes: the submission of an origin that was lost counted as a
// heartbeat when it arrived, and it had been under way for half a second.
func TestLostOriginIsNotHeardBySubmissionsThatAreUnderWay(t *testing.T) {
	withTwoHomes(t, 2*time.Second, func(_ *testing.T, c *twoCentres) {
		lost := time.Now()
		c.lostAt.Store(&lost)
		s := submission("a", 2)
		s.Incarnation, s.Number, s.TimeLeft = "1", 1, 3*time.Second
		transit := s
		time.Sleep(500 * time.Millisecond)
		transit.Transit, transit.Age, transit.TimeLeft = 500*time.Millisecond, 500*time.Millisecond, s.TimeLeft-500*time.Millisecond
		go submit(c.firstHome, transit)
		c.submitAgain(s, lost)
	})
}

// deafEndpoint is a worker that answers no stop, while other requests reach it.
type deafEndpoint struct {
	*fakes.LeasedWorker
	deaf *atomic.Bool
}

// Stop leaves a stop without a response.
func (e deafEndpoint) Stop(s lease.Stop, timeout time.Duration) (lease.Reply, error) {
	if !e.deaf.Load() {
		return e.LeasedWorker.Stop(s, timeout)
	}
	time.Sleep(timeout)
	return lease.Reply{}, fakes.ErrNoResponse
}

// Guards against a task that runs at two homes: its worker answered no stop, and renewals for other runs
// kept extending its lease.
func TestRunWhoseStopIsNotAnsweredEndsWithItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 1)
		var deaf atomic.Bool
		dc.connect = func(w model.Worker, _ func(time.Duration)) home.Endpoint {
			return deafEndpoint{dc.workers[w.ID], &deaf}
		}
		dc.workers["w0"].RunTime = func(string) time.Duration { return 4 * time.Second }
		h := dc.readyHome(1)
		defer dc.close(h)
		other := submission("other", 1)
		other.TimeLeft = 10 * time.Second
		go submit(h, other)
		ctx, cancel := context.WithCancel(t.Context())
		go h.Submit(ctx, submission("a", 1))
		time.Sleep(500 * time.Millisecond)

		deaf.Store(true)
		cancel()
		time.Sleep(resubmitDelay)
		if id := dc.ledger.WorkerOf("a.0.0.0"); id != "" {
			t.Errorf("the task still runs on %s when its caller submits it again", id)
		}
	})
}

// countingEndpoint is a worker that counts the starts that are sent to it.
type countingEndpoint struct {
	*fakes.LeasedWorker
	starts *atomic.Int32
}

// Start counts a start.
func (e countingEndpoint) Start(s lease.Start, timeout time.Duration) (lease.Reply, error) {
	e.starts.Add(1)
	return e.LeasedWorker.Start(s, timeout)
}

// Guards against a task that is started although its caller has left.
func TestSubmissionWhoseCallerHasLeftStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 1)
		var starts atomic.Int32
		dc.connect = func(w model.Worker, _ func(time.Duration)) home.Endpoint {
			return countingEndpoint{dc.workers[w.ID], &starts}
		}
		h := dc.readyHome(1)
		defer dc.close(h)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		got := resultOf(h.Submit(ctx, submission("a", 1)))
		if diff := cmp.Diff(home.Cancelled, got); diff != "" {
			t.Errorf("result (-want +got):\n%s", diff)
		}
		time.Sleep(time.Second)
		if diff := cmp.Diff(int32(0), starts.Load()); diff != "" {
			t.Errorf("starts (-want +got):\n%s", diff)
		}
	})
}

// Guards against a task that runs at two homes: nobody adopted its run at a new home, the worker answered no
// stop, and renewals for adopted runs kept extending its lease.
func TestUnclaimedRunWhoseStopIsNotAnsweredEndsWithItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 1)
		var deaf atomic.Bool
		dc.connect = func(w model.Worker, _ func(time.Duration)) home.Endpoint {
			return deafEndpoint{dc.workers[w.ID], &deaf}
		}
		dc.workers["w0"].RunTime = func(string) time.Duration { return 5 * time.Second }
		earlier := dc.readyHome(1)
		adopted := submission("adopted", 1)
		adopted.TimeLeft = 10 * time.Second
		go submit(earlier, submission("unclaimed", 1))
		go submit(earlier, adopted)
		time.Sleep(300 * time.Millisecond)
		deaf.Store(true)
		dc.close(earlier)

		later := dc.newHome(2)
		defer dc.close(later)
		adopted.Resumed = true
		go submit(later, adopted)
		time.Sleep(adoptionWindow + maxLease + 200*time.Millisecond)
		if id := dc.ledger.WorkerOf("unclaimed.0.0.0"); id != "" {
			t.Errorf("the unclaimed run is still on %s", id)
		}
	})
}

// Guards against a task that runs twice: it waited for the stop of an earlier submission's run when its home
// closed, and the next home, which had not heard of that run yet, was not told of it.
func TestLaterHomeIsToldOfRunsThatAreBeingStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 2)
		var deaf atomic.Bool
		dc.connect = func(w model.Worker, _ func(time.Duration)) home.Endpoint {
			return deafEndpoint{dc.workers[w.ID], &deaf}
		}
		for _, w := range dc.workers {
			w.RunTime = func(string) time.Duration { return 5 * time.Second }
		}
		h := dc.readyHome(1)
		defer dc.close(h)
		ctx, cancel := context.WithCancel(t.Context())
		go h.Submit(ctx, submission("a", 1))
		time.Sleep(100 * time.Millisecond)
		deaf.Store(true)
		cancel()
		time.Sleep(100 * time.Millisecond)
		outcome := make(chan home.Outcome, 1)
		again := submission("a", 2)
		again.Content = again.Batch.Digest()
		go func() { outcome <- submit(h, again) }()
		time.Sleep(100 * time.Millisecond)
		h.Close()
		got := <-outcome
		slices.Sort(got.MaybeRunning)
		want := home.Outcome{Result: home.Moved, Reason: got.Reason, MaybeRunning: []string{"a.0.0.0", "a.0.0.1"}}
		for i, r := range got.LeftRuns {
			if at := dc.ledger.WorkerOf(r.Task); r.Worker != at && at != "" {
				t.Errorf("run of %s is on %s and said to be on %s", r.Task, at, r.Worker)
			}
			if left := time.Until(r.Until.Time); left <= 0 || left > maxLease+home.LeaseMargin {
				t.Errorf("lease of %s ends in %v", r.Task, left)
			}
			if want := fmt.Sprintf("a.0.0.%d", i); r.Task != want {
				t.Errorf("run %d is of %s, want %s", i, r.Task, want)
			}
		}
		if diff := cmp.Diff(2, len(got.LeftRuns)); diff != "" {
			t.Errorf("runs that are left (-want +got):\n%s", diff)
		}
		got.LeftRuns = nil // their workers are drawn
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("outcome (-want +got):\n%s", diff)
		}
	})
}
