package home_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/home"
)

// Wide, short jobs at high load: no data centre has free capacity for all of their tasks at one
// moment, but many running tasks end before a waiting one would be late. A home that is asked
// counts those, and a part of a job waits for them instead of being declined.
func TestPartOfAWideJobWaitsForTasksThatEndInTime(t *testing.T) {
	withHome(t, 6, func(t *testing.T, dc *testCentre, h *home.Home) {
		results := make(chan home.Outcome, 6)
		for i := range 6 { // all workers are busy
			go func() { results <- submit(h, submission(fmt.Sprintf("before%d", i), 2)) }()
		}
		time.Sleep(5 * time.Millisecond) // until the starts are confirmed

		wide := submission("wide", 20)
		if got := h.StartableTasks(wide); got != 12 {
			t.Errorf("%d tasks could start in time, want 12", got)
		}
		wide.Batch.ID, wide.Part, wide.Immediate, wide.NoRedirect = "part", &home.Part{First: 0, Count: 10}, true, true
		began := time.Now()
		if got := resultOf(submit(h, wide)); got != home.Succeeded {
			t.Errorf("part: %s", got)
		}
		if took := time.Since(began); took > objective {
			t.Errorf("part took %v, the objective is %v", took, objective)
		}
		for range 6 {
			if got := resultOf(<-results); got != home.Succeeded {
				t.Errorf("earlier job: %s", got)
			}
		}
		dc.checkLedger()
	})
}

// Capacity counts as startable only as far as more urgent jobs leave it, and running tasks only
// if they end early enough.
func TestStartableTasksLeaveRoomForMoreUrgentJobs(t *testing.T) {
	withHome(t, 2, func(t *testing.T, dc *testCentre, h *home.Home) {
		results := make(chan home.Outcome, 2)
		submitAll := func(id string, tasks int) {
			go func() { results <- submit(h, submission(id, tasks)) }()
			time.Sleep(5 * time.Millisecond) // until the starts are confirmed
		}
		submitAll("first", 4)
		submitAll("waits", 3)
		if got := h.StartableTasks(submission("later", 20)); got != 1 {
			t.Errorf("%d tasks behind a waiting job, want 1", got)
		}
		short := submission("short", 20)
		short.Age = 100 * time.Millisecond // 56 ms are left of its objective, less than a task takes
		if got := h.StartableTasks(short); got != 0 {
			t.Errorf("%d tasks for a job that is late, want 0", got)
		}
		for range 2 {
			<-results
		}
		dc.checkLedger()
	})
}

// A caller that lost its connection submits its job again at another instance, while the parts that the
// first instance divided it into still run: their tasks were started a second time.
func TestTasksOfARunningPartAreNotStartedForTheWholeJob(t *testing.T) {
	withHome(t, 4, func(t *testing.T, dc *testCentre, h *home.Home) {
		part := submission("a", 4)
		part.Part, part.NoRedirect = &home.Part{First: 0, Count: 2}, true
		results := make(chan home.Result, 2)
		go func() { results <- resultOf(submit(h, part)) }()
		time.Sleep(5 * time.Millisecond) // until the starts are confirmed
		go func() { results <- resultOf(submit(h, submission("a", 4))) }()
		for range 2 {
			if got := <-results; got != home.Succeeded {
				t.Errorf("result %q", got)
			}
		}
		dc.checkLedger()
	})
}

// Guards against a job that is answered as succeeded without all of its tasks being done: it meets
// the outcome, or joins the run, of another job or part with the same id (review/2).
func TestOutcomeOfOneJobIsNotThatOfAnother(t *testing.T) {
	part := func(first, count int) home.Submission {
		s := submission("a", 8)
		s.Part, s.NoRedirect = &home.Part{First: first, Count: count}, true
		return s
	}
	otherQueue, otherContent := submission("a", 4), submission("a", 4)
	otherQueue.Batch.Queue = "books"
	otherContent.Batch.Spec = "y"
	otherContent.Content = otherContent.Batch.Digest()
	cases := map[string]struct {
		earlier, later home.Submission
		both           []int // tasks of both, which the later job runs as well
	}{
		"longer part":      {part(0, 2), part(0, 4), []int{0, 1}},
		"shorter part":     {part(0, 4), part(0, 2), []int{0, 1}},
		"part and whole":   {part(0, 2), submission("a", 4), []int{0, 1}},
		"whole and part":   {submission("a", 4), part(0, 2), []int{0, 1}},
		"of another queue": {submission("a", 4), otherQueue, []int{0, 1, 2, 3}},
		"other content":    {submission("a", 4), otherContent, []int{0, 1, 2, 3}},
	}
	for name, c := range cases {
		for when, gap := range map[string]time.Duration{"while it runs": runTime / 2, "after its end": 2 * runTime} {
			t.Run(name+" "+when, func(t *testing.T) {
				withHome(t, 4, func(t *testing.T, dc *testCentre, h *home.Home) {
					results := make(chan home.Result, 2)
					go func() { results <- resultOf(submit(h, c.earlier)) }()
					time.Sleep(gap)
					go func() { results <- resultOf(submit(h, c.later)) }()
					for range 2 {
						if got := <-results; got != home.Succeeded {
							t.Errorf("result %q", got)
						}
					}
					for _, i := range c.both {
						if diff := cmp.Diff(2, dc.ledger.Starts(fmt.Sprintf("a.0.0.%d", i))); diff != "" {
							t.Errorf("starts of task %d (-want +got):\n%s", i, diff)
						}
					}
					for i := range max(tasksOf(c.earlier), tasksOf(c.later)) {
						if dc.ledger.Starts(fmt.Sprintf("a.0.0.%d", i)) == 0 {
							t.Errorf("task %d did not run", i)
						}
					}
					dc.checkLedger()
				})
			})
		}
	}
}

func tasksOf(s home.Submission) int {
	if s.Part != nil {
		return s.Part.Count
	}
	return s.Batch.Tasks()
}

// A repeated submission joins the run of the job, or gets its outcome: an origin that lost the
// response submits the job again.
func TestRepeatedSubmissionSharesTheRun(t *testing.T) {
	for when, gap := range map[string]time.Duration{"while it runs": runTime / 2, "after its end": 2 * runTime} {
		t.Run(when, func(t *testing.T) {
			withHome(t, 2, func(t *testing.T, dc *testCentre, h *home.Home) {
				s := submission("a", 2)
				s.Content = s.Batch.Digest()
				results := make(chan home.Result, 2)
				for range 2 {
					go func() { results <- resultOf(submit(h, s)) }()
					time.Sleep(gap)
				}
				for range 2 {
					if got := <-results; got != home.Succeeded {
						t.Errorf("result %q", got)
					}
				}
				if diff := cmp.Diff(1, dc.ledger.Starts("a.0.0.0")); diff != "" {
					t.Errorf("starts (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// Guards against more tasks of a step on a worker than its limit allows: two parts of a job run at
// the same home, and only the tasks of one of them count (stand perserver of the review).
func TestLimitOfAStepHoldsForAllParts(t *testing.T) {
	withHome(t, 2, func(t *testing.T, dc *testCentre, h *home.Home) {
		results := make(chan home.Result, 2)
		for first := range 2 {
			s := submission("a", 2)
			s.Batch.Steps[0].MaxPerWorker = 1
			s.Part, s.NoRedirect = &home.Part{First: first, Count: 1}, true
			go func() { results <- resultOf(submit(h, s)) }()
		}
		time.Sleep(runTime / 2)
		if diff := cmp.Diff(2, dc.ledger.RunningTasks()); diff != "" {
			t.Errorf("running tasks (-want +got):\n%s", diff)
		}
		if w := dc.ledger.WorkerOf("a.0.0.0"); w == dc.ledger.WorkerOf("a.0.0.1") {
			t.Errorf("both tasks run on %s", w)
		}
		for range 2 {
			if got := <-results; got != home.Succeeded {
				t.Errorf("result %q", got)
			}
		}
	})
}

// Guards against a submission that is ended by the cancel of an earlier one: the caller has submitted
// its job again at another instance, where it joined the run, before the first instance noticed that
// the caller had left.
func TestCancelEndsOnlyTheSubmissionItIsFor(t *testing.T) {
	cases := map[string]func(h *home.Home, cancelFirst context.CancelFunc, s home.Submission){
		"connection of the earlier origin closed": func(_ *home.Home, cancelFirst context.CancelFunc, _ home.Submission) { cancelFirst() },
		"cancel of the earlier origin":            func(h *home.Home, _ context.CancelFunc, s home.Submission) { h.Cancel(s.Key(), s.ID()) },
	}
	for name, cancel := range cases {
		t.Run(name, func(t *testing.T) {
			withHome(t, 2, func(t *testing.T, dc *testCentre, h *home.Home) {
				first := submission("a", 2)
				first.TimeLeft = runTime * 3 / 4
				ctx, cancelFirst := context.WithCancel(t.Context())
				defer cancelFirst()
				results := make(chan home.Result, 2)
				go func() { results <- resultOf(h.Submit(ctx, first)) }()
				time.Sleep(runTime / 3)
				again := submission("a", 2)
				again.Origin = "other"
				go func() { results <- resultOf(submit(h, again)) }()
				time.Sleep(runTime / 3)
				cancel(h, cancelFirst, first)
				for range 2 {
					if got := <-results; got != home.Succeeded {
						t.Errorf("result %q", got)
					}
				}
				if diff := cmp.Diff(1, dc.ledger.Starts("a.0.0.0")); diff != "" {
					t.Errorf("starts (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// Guards against a task that runs twice: a submission and its cancel are read together, and the cancel
// is handled first.
func TestCancelledSubmissionThatArrivesLaterIsNotRun(t *testing.T) {
	withHome(t, 2, func(t *testing.T, dc *testCentre, h *home.Home) {
		s := submission("a", 2)
		s.Incarnation, s.Number = "1", 7
		h.Cancel(s.Key(), s.ID())
		if diff := cmp.Diff(home.Cancelled, resultOf(submit(h, s))); diff != "" {
			t.Errorf("result (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(0, dc.ledger.Starts("a.0.0.0")); diff != "" {
			t.Errorf("starts (-want +got):\n%s", diff)
		}
		s.Number++
		if diff := cmp.Diff(home.Succeeded, resultOf(submit(h, s))); diff != "" {
			t.Errorf("result of the next submission (-want +got):\n%s", diff)
		}
	})
}

// Guards against a task that runs twice: the origin of its job has lost power and is up again before
// its heartbeats are missed.
func TestJobOfAnEarlierIncarnationOfItsOriginIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 2)
		dc.lastMessage = func(_, incarnation string) time.Time {
			if incarnation == "2" {
				return time.Now()
			}
			return time.Time{}
		}
		h := dc.readyHome(1)
		defer dc.close(h)
		s := submission("a", 2)
		s.Incarnation = "1"
		dc.workers["w0"].RunTime = func(string) time.Duration { return 5 * time.Second }
		dc.workers["w1"].RunTime = dc.workers["w0"].RunTime
		began := time.Now()
		if diff := cmp.Diff(home.Cancelled, resultOf(submit(h, s))); diff != "" {
			t.Errorf("result (-want +got):\n%s", diff)
		}
		if took := time.Since(began); took > heartbeatTimeout+25*time.Millisecond {
			t.Errorf("cancelled after %v", took)
		}
	})
}

// Guards against a task that runs beside the next submission of its caller: after a pause of the home an
// end is handled, and starts a waiting task, before the tick that ends the job whose time is over.
func TestTaskOfAJobWhoseTimeIsOverIsNotStarted(t *testing.T) {
	withHome(t, 1, func(t *testing.T, dc *testCentre, h *home.Home) {
		dc.workers["w0"].RunTime = func(string) time.Duration { return 51 * time.Millisecond }
		results := make(chan home.Result, 2)
		go func() { results <- resultOf(submit(h, submission("before", 2))) }()
		time.Sleep(5 * time.Millisecond)
		s := submission("late", 1)
		s.Resumed, s.TasksReported, s.TimeLeft = true, true, 45*time.Millisecond // over 4 ms before the ends, 10 ms before the tick
		go func() { results <- resultOf(submit(h, s)) }()
		for range 2 {
			<-results
		}
		if diff := cmp.Diff(0, dc.ledger.Starts("late.0.0.0")); diff != "" {
			t.Errorf("starts (-want +got):\n%s", diff)
		}
	})
}
