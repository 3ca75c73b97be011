package home_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/home"
	"foxtailmux/model"
)

var (
	firstRequest = home.RequestID{Origin: "first", Incarnation: "1", Number: 1}
	laterRequest = home.RequestID{Origin: "later", Incarnation: "1", Number: 1}
)

// requestOf returns a submission of a request whose tasks run for as long as those of withTwoHomes.
func requestOf(r home.RequestID, id string, tasks int) home.Submission {
	s := submission(id, tasks)
	s.Origin, s.Incarnation, s.Request, s.TimeLeft = r.Origin, r.Incarnation, r.Number, 5*time.Second
	return s
}

// Guards against a task that runs at two homes: the first one has no sign that the caller of a job has left and
// submitted it again.
func TestEarlierSubmissionHasEndedBeforeTheNextRuns(t *testing.T) {
	withTwoHomes(t, 2*time.Second, func(t *testing.T, c *twoCentres) {
		first := make(chan home.Outcome, 1)
		go func() { first <- submit(c.firstHome, requestOf(firstRequest, "a", 2)) }()
		time.Sleep(resubmitDelay)

		later, err := c.firstHome.Supersede(t.Context(), home.SupersedeRequest{Job: "a", Queue: "quotes", By: laterRequest, Announced: true})
		if err != nil || later {
			t.Errorf("later job open: %t, error %v", later, err)
		}
		if diff := cmp.Diff(0, c.first.ledger.RunningTasks()); diff != "" {
			t.Errorf("running tasks of the first submission (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(home.Cancelled, (<-first).Result); diff != "" {
			t.Errorf("first submission (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(home.Succeeded, submit(c.secondHome, requestOf(laterRequest, "a", 2)).Result); diff != "" {
			t.Errorf("second submission (-want +got):\n%s", diff)
		}
	})
}

// Guards against a job that fails though its caller waits: an earlier request of it arrives late and ends it, or
// a part of the job ends another part.
func TestEarlierRequestSupersedesNoLaterOne(t *testing.T) {
	withHome(t, 2, func(t *testing.T, _ *testCentre, h *home.Home) {
		ended := make(chan home.Outcome, 1)
		go func() { ended <- submit(h, requestOf(laterRequest, "a", 1)) }()
		time.Sleep(10 * time.Millisecond)

		laterOpen := map[string]bool{}
		for name, r := range map[string]home.SupersedeRequest{
			"earlier request": {Job: "a", Queue: "quotes", By: firstRequest, Age: resubmitDelay},
			"same request":    {Job: "a", Queue: "quotes", By: laterRequest},
			"other job":       {Job: "a0", Queue: "quotes", By: firstRequest},
			"other queue":     {Job: "a", Queue: "prices", By: firstRequest},
		} {
			later, err := h.Supersede(t.Context(), r)
			if err != nil {
				t.Errorf("%s: %v", name, err)
			}
			laterOpen[name] = later
		}
		want := map[string]bool{"earlier request": true, "same request": false, "other job": false, "other queue": false}
		if diff := cmp.Diff(want, laterOpen); diff != "" {
			t.Errorf("later job open (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(home.Succeeded, (<-ended).Result); diff != "" {
			t.Errorf("job (-want +got):\n%s", diff)
		}
	})
}

// Guards against a task that runs at two homes: the worker of the first submission answers no stop, and the next
// submission does not wait for its lease.
func TestEarlierSubmissionHasNotEndedWhileAStopIsNotAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 1)
		var deaf atomic.Bool
		deaf.Store(true)
		dc.connect = func(w model.Worker, _ func(time.Duration)) home.Endpoint {
			return deafEndpoint{dc.workers[w.ID], &deaf}
		}
		dc.workers["w0"].RunTime = func(string) time.Duration { return 4 * time.Second }
		h := dc.readyHome(1)
		defer dc.close(h)
		go submit(h, requestOf(firstRequest, "a", 1))
		time.Sleep(resubmitDelay)

		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		r := home.SupersedeRequest{Job: "a", Queue: "quotes", By: laterRequest, Announced: true}
		if _, err := h.Supersede(ctx, r); err == nil {
			t.Error("the runs count as ended before the lease of their worker has expired")
		}
		if _, err := h.Supersede(t.Context(), r); err != nil {
			t.Error(err)
		}
		if diff := cmp.Diff(0, dc.ledger.RunningTasks()); diff != "" {
			t.Errorf("running tasks (-want +got):\n%s", diff)
		}
	})
}

// Guards against a task that runs at two homes: the home of the first submission is lost, and the next one has not
// read all runs that it left behind.
func TestRunsOfALostHomeAreNotOverBeforeAllAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 1)
		dc.workers["w0"].RunTime = func(string) time.Duration { return 4 * time.Second }
		earlier := dc.readyHome(1)
		go submit(earlier, requestOf(firstRequest, "a", 1))
		time.Sleep(resubmitDelay)
		dc.close(earlier)

		next := dc.newHome(2)
		defer dc.close(next)
		later, err := next.Supersede(t.Context(), home.SupersedeRequest{Job: "a", Queue: "quotes", By: laterRequest, Announced: true})
		if err != nil || later {
			t.Errorf("later job open: %t, error %v", later, err)
		}
		if diff := cmp.Diff(0, dc.ledger.RunningTasks()); diff != "" {
			t.Errorf("running tasks (-want +got):\n%s", diff)
		}
	})
}

// Guards against jobs that no other home is told of, or only too late for two heartbeats.
func TestLongOpenJobsAreThoseOfOldRequests(t *testing.T) {
	withTwoHomes(t, 3*time.Second, func(t *testing.T, c *twoCentres) {
		ids := func() []string {
			list := []string{}
			for _, j := range c.firstHome.LongOpenJobs() {
				list = append(list, j.ID+" "+j.Request.Origin)
			}
			slices.Sort(list)
			return list
		}
		got := [][]string{ids()}
		go submit(c.firstHome, requestOf(firstRequest, "a", 1))
		time.Sleep(100 * time.Millisecond)
		go submit(c.firstHome, requestOf(firstRequest, "b", 1))
		time.Sleep(home.LongOpenAge - 50*time.Millisecond)
		got = append(got, ids())
		time.Sleep(100 * time.Millisecond)
		got = append(got, ids())
		go submit(c.firstHome, requestOf(laterRequest, "b", 1)) // joins the first submission
		time.Sleep(home.LongOpenAge)
		got = append(got, ids())
		want := [][]string{{}, {"a first"}, {"a first", "b first"}, {"a first", "b later"}}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("long open jobs (-want +got):\n%s", diff)
		}
	})
}
