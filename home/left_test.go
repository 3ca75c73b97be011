package home_test

import (
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/fakes"
	"foxtailmux/home"
	"foxtailmux/model"
)

// resume returns a submission as its origin submits it to the home after one that ended it with an outcome.
func resume(s home.Submission, o home.Outcome) home.Submission {
	s.Resumed, s.TasksReported, s.Done, s.MaybeRunning, s.LeftRuns = true, true, o.Done, o.MaybeRunning, o.LeftRuns
	return s
}

// handOver lets a home begin a job of long tasks on all workers and closes it.
func handOver(t *testing.T, dc *testCentre, tasks int) (home.Submission, home.Outcome) {
	t.Helper()
	for _, w := range dc.workers {
		w.RunTime = func(string) time.Duration { return 3 * time.Second }
	}
	earlier := dc.readyHome(1)
	s := submission("a", tasks)
	s.TimeLeft, s.Batch.Steps[0].Estimate = 9*time.Second, 3*time.Second
	moved := make(chan home.Outcome, 1)
	go func() { moved <- submit(earlier, s) }()
	time.Sleep(200 * time.Millisecond)
	dc.close(earlier)
	o := <-moved
	if len(o.MaybeRunning) != tasks || dc.ledger.RunningTasks() != tasks {
		t.Fatalf("%d tasks run, outcome %+v", dc.ledger.RunningTasks(), o)
	}
	return s, o
}

// Guards against a task that runs twice: a home that is stopped while workers are added has started tasks on
// a worker that the list of the next home, read a moment before, does not have.
func TestTaskOnAWorkerThatTheLaterHomeDoesNotKnowIsNotStartedAgain(t *testing.T) {
	cases := map[string]struct {
		change func(w *model.Worker, row map[string]model.Worker) // of the row that the later home has of w0
		listed time.Duration                                      // until its list is up to date, 0 for never
	}{
		"never listed":          {func(*model.Worker, map[string]model.Worker) {}, 0},
		"listed later":          {func(*model.Worker, map[string]model.Worker) {}, 300 * time.Millisecond},
		"listed by its address": {func(w *model.Worker, rows map[string]model.Worker) { w.Addr = "gone"; rows["w0"] = *w }, 300 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dc := newTestCentre(t, 5)
				idle := dc.listed["w4"] // could run the tasks again
				delete(dc.listed, "w4")
				gone := fakes.NewLeasedWorker("gone", dc.listed["w0"].Capacity, dc.ledger)
				gone.SetFaults(fakes.LeasedWorkerFaults{Unresponsive: true})
				dc.connect = func(w model.Worker, _ func(time.Duration)) home.Endpoint {
					if w.Addr == "gone" {
						return gone
					}
					return dc.workers[w.ID]
				}
				s, o := handOver(t, dc, 8)
				dc.listed["w4"] = idle
				row := dc.listed["w0"]
				delete(dc.listed, "w0")
				changed := row
				c.change(&changed, dc.listed)
				later := dc.newHome(2)
				defer dc.close(later)
				results := make(chan home.Result, 1)
				go func() { results <- resultOf(submit(later, resume(s, o))) }()
				time.Sleep(max(c.listed, 50*time.Millisecond))
				if diff := cmp.Diff(true, dc.refreshes.Load() > 0 || name == "listed by its address"); diff != "" {
					t.Errorf("list of workers requested (-want +got):\n%s", diff)
				}
				if c.listed > 0 {
					dc.listed["w0"] = row
					later.SetWorkers(dc.listed, true)
				}
				if diff := cmp.Diff(home.Succeeded, <-results); diff != "" {
					t.Errorf("result (-want +got):\n%s", diff)
				}
				dc.checkLedger()
			})
		})
	}
}

// The runs on workers that have not reported don't hold back a task whose run was on another worker, and are
// started again as soon as their lease has ended.
func TestOnlyTheRunsThatWereNamedAreHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 3)
		s, o := handOver(t, dc, 4)
		silent := o.LeftRuns[0].Worker
		dc.workers[silent].SetFaults(fakes.LeasedWorkerFaults{Unresponsive: true})
		restarted := ""
		for _, r := range o.LeftRuns {
			if r.Worker != silent {
				restarted = r.Worker
			}
		}
		dc.workers[restarted].Crash()
		dc.describe(restarted)
		closed := time.Now()
		later := dc.newHome(2)
		defer dc.close(later)
		go submit(later, resume(s, o))
		time.Sleep(50 * time.Millisecond)
		for _, r := range o.LeftRuns {
			want := 1
			if r.Worker == restarted {
				want = 2
			}
			if diff := cmp.Diff(want, dc.ledger.Starts(r.Task)); diff != "" {
				t.Errorf("starts of %s, left on %s, 50 ms later (-want +got):\n%s", r.Task, r.Worker, diff)
			}
		}
		time.Sleep(time.Until(closed.Add(maxLease + home.LeaseMargin)))
		for _, r := range o.LeftRuns {
			if diff := cmp.Diff(2, dc.ledger.Starts(r.Task)); r.Worker == silent && diff != "" {
				t.Errorf("starts of %s after the end of its lease (-want +got):\n%s", r.Task, diff)
			}
		}
		dc.checkLedger()
	})
}

// Guards against a task that runs twice: a home that is replaced before it has seen the runs that the first one
// left does not name them to the third.
func TestRunsThatAreLeftAreNamedToTheNextHomeButOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 4)
		s, o := handOver(t, dc, 8)
		for _, w := range dc.workers {
			w.SetFaults(fakes.LeasedWorkerFaults{Unresponsive: true})
		}
		second := dc.newHome(2)
		moved := make(chan home.Outcome, 1)
		go func() { moved <- submit(second, resume(s, o)) }()
		time.Sleep(100 * time.Millisecond)
		dc.close(second)
		again := <-moved
		if diff := cmp.Diff(o.LeftRuns, again.LeftRuns); diff != "" {
			t.Errorf("runs named by the second home (-want +got):\n%s", diff)
		}
		for id, w := range dc.workers {
			w.SetFaults(fakes.LeasedWorkerFaults{Unresponsive: id == "w0"})
		}
		third := dc.newHome(3)
		defer dc.close(third)
		if diff := cmp.Diff(home.Succeeded, resultOf(submit(third, resume(s, again)))); diff != "" {
			t.Errorf("result (-want +got):\n%s", diff)
		}
		dc.checkLedger()
	})
}

// Guards against a task that runs twice: a submission that arrives as its home closes was answered like one
// whose tasks have all ended.
func TestClosedHomeTellsWhatItHasLeftOnceMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 2)
		earlier := dc.readyHome(1)
		s := submission("a", 2)
		moved := make(chan home.Outcome, 1)
		go func() { moved <- submit(earlier, s) }()
		time.Sleep(runTime / 2)
		dc.close(earlier)
		if diff := cmp.Diff(<-moved, submit(earlier, s)); diff != "" {
			t.Errorf("outcome of the second submission (-first +second):\n%s", diff)
		}
		if o := submit(earlier, submission("b", 1)); o.Result != home.Moved || !o.NotTaken {
			t.Errorf("outcome of a submission that was not begun: %+v", o)
		}
	})
}

// The time at which a lease ends holds on a machine with another clock, and is never too early.
func TestLeaseEndIsSentAsTheTimeLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		text, err := json.Marshal(home.LeftRun{Task: "a.0.0.0", Worker: "w0", Until: home.LeaseEnd{Time: time.Now().Add(time.Second)}})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Millisecond) // under way
		var got home.LeftRun
		if err := json.Unmarshal(text, &got); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(time.Second, time.Until(got.Until.Time)); diff != "" {
			t.Errorf("time left (-want +got):\n%s", diff)
		}
		if err := json.Unmarshal([]byte(strings.ReplaceAll(string(text), "1000000000", `"soon"`)), &got); err == nil {
			t.Error("a lease end that is no number was accepted")
		}
	})
}

// A worker that has reported in an earlier incarnation than the one with the run tells nothing of that.
func TestRunOnALaterIncarnationOfAWorkerIsHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 2)
		h := dc.readyHome(2)
		defer dc.close(h)
		s := submission("a", 1)
		s.Resumed, s.TasksReported, s.MaybeRunning, s.TimeLeft = true, true, []string{"a.0.0.0"}, 4*time.Second
		s.Batch.Steps[0].Estimate = time.Second
		until := time.Now().Add(time.Second)
		s.LeftRuns = []home.LeftRun{{Task: "a.0.0.0", Worker: "w0", Incarnation: dc.workers["w0"].Incarnation() + 1, Until: home.LeaseEnd{Time: until}}}
		go submit(h, s)
		time.Sleep(900 * time.Millisecond)
		if diff := cmp.Diff(0, dc.ledger.Starts("a.0.0.0")); diff != "" {
			t.Errorf("starts before the lease has ended (-want +got):\n%s", diff)
		}
		time.Sleep(time.Until(until) + 50*time.Millisecond)
		if diff := cmp.Diff(1, dc.ledger.Starts("a.0.0.0")); diff != "" {
			t.Errorf("starts after that (-want +got):\n%s", diff)
		}
	})
}

// A task that is held back until its caller gives up does not keep the others of its job from running, and its job
// is not answered as one that did not run.
func TestJobWithARunThatIsHeldBackIsNotRefused(t *testing.T) {
	for name, named := range map[string]bool{"named": true, "not named": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dc := newTestCentre(t, 3)
				s, o := handOver(t, dc, 3)
				silent := o.LeftRuns[0].Worker
				dc.workers[silent].SetFaults(fakes.LeasedWorkerFaults{Unresponsive: true})
				for id, w := range dc.workers {
					if id != silent {
						w.Crash()
						dc.describe(id)
					}
					w.SetRunTime(func(string) time.Duration { return 100 * time.Millisecond })
				}
				later := dc.newHome(2)
				defer dc.close(later)
				s = resume(s, o)
				s.TimeLeft, s.Batch.Steps[0].Estimate, s.TasksReported = 700*time.Millisecond, 100*time.Millisecond, named
				got := submit(later, s)
				if got.Result != home.Lost && got.Result != home.Cancelled {
					t.Errorf("outcome %+v", got)
				}
				for _, r := range o.LeftRuns {
					want := 1
					if r.Worker != silent && named {
						want = 2
					}
					if diff := cmp.Diff(want, dc.ledger.Starts(r.Task)); diff != "" {
						t.Errorf("starts of %s, left on %s (-want +got):\n%s", r.Task, r.Worker, diff)
					}
				}
			})
		})
	}
}
