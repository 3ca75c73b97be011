package home_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/drain"
	"foxtailmux/home"
	"foxtailmux/model"
)

func (dc *testCentre) drainRequest() (drain.Request, bool) {
	r := dc.drained.Load()
	if r == nil {
		return drain.Request{}, false
	}
	return *r, true
}

// drain drains the data centre, or takes that back if the request is nil.
func (dc *testCentre) drain(h *home.Home, r *drain.Request) {
	dc.drained.Store(r)
	h.ReviewDrain()
}

// submitAfter submits a job in the background and waits until its tasks were started.
func submitAfter(h *home.Home, s home.Submission) chan home.Outcome {
	result := make(chan home.Outcome, 1)
	go func() { result <- submit(h, s) }()
	time.Sleep(5 * time.Millisecond)
	return result
}

// Callers of a loaded data centre lose nothing when it is drained: what runs ends, and what waits goes
// elsewhere at once.
func TestDrainedHomeLetsRunsEndAndHandsWaitingJobsBack(t *testing.T) {
	withHome(t, 2, func(t *testing.T, dc *testCentre, h *home.Home) {
		running := submitAfter(h, submission("running", 4))
		waiting := submitAfter(h, submission("waiting", 2))
		began := time.Now()
		dc.drain(h, &drain.Request{Version: 7, Since: time.Now()})
		want := home.Outcome{Result: home.Drained, Reason: "the data centre is drained"}
		if diff := cmp.Diff([]home.Outcome{want, want}, []home.Outcome{<-waiting, submit(h, submission("new", 1))}); diff != "" {
			t.Error(diff)
		}
		if took := time.Since(began); took > 0 {
			t.Errorf("handed back after %v, want at once", took)
		}
		if diff := cmp.Diff(model.FreeCapacity{}, h.FreeCapacity()); diff != "" || h.StartableTasks(submission("ask", 1)) != 0 {
			t.Errorf("the drained data centre offers capacity:\n%s", diff)
		}
		if got := resultOf(<-running); got != home.Succeeded || h.RunCount() != 0 {
			t.Errorf("running job: %s, %d runs left", got, h.RunCount())
		}
		dc.drain(h, nil)
		if got := resultOf(submit(h, submission("after", 4))); got != home.Succeeded {
			t.Errorf("after it was taken back: %s", got)
		}
		dc.checkLedger()
	})
}

// Tasks of a job run on a drained data centre when others still wait: for capacity, for an earlier step,
// or for a retry.
func TestBegunJobIsFinishedOrContinuedElsewhere(t *testing.T) {
	cases := map[string]struct {
		runTime time.Duration
		want    home.Result
		done    int
	}{
		"short tasks":                          {60 * time.Millisecond, home.Succeeded, 0},
		"tasks that take until after the time": {700 * time.Millisecond, home.Drained, 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withHome(t, 1, func(t *testing.T, dc *testCentre, h *home.Home) {
				for _, w := range dc.workers {
					w.RunTime = func(string) time.Duration { return c.runTime }
				}
				s := submission("job", 8)
				s.TimeLeft, s.Route.Allowance = 10*time.Second, 10*time.Second
				result := submitAfter(h, s)
				since := time.Now()
				dc.drain(h, &drain.Request{Version: 7, Since: since})
				time.Sleep(time.Second)
				h.ReviewDrain()
				if got := h.RunCount(); got > 2 {
					t.Errorf("%d runs a second later", got)
				}
				o := <-result
				if o.Result != c.want || len(o.Done) != c.done || len(o.MaybeRunning) > 0 {
					t.Errorf("result %q after %v with %v done and %v running, want %q with %d done", o.Result, time.Since(since), o.Done, o.MaybeRunning, c.want, c.done)
				}
				if took := time.Since(since); took > 1500*time.Millisecond {
					t.Errorf("took %v", took)
				}
				dc.checkLedger()
			})
		})
	}
}

// Guards against a refusal as not run of a job that has run: its run was lost with its worker, and the job is
// handed back without a task that is done.
func TestJobWhoseRunWasLostIsHandedBackAsBegun(t *testing.T) {
	withHome(t, 1, func(t *testing.T, dc *testCentre, h *home.Home) {
		for _, w := range dc.workers {
			w.RunTime = func(string) time.Duration { return time.Minute }
		}
		s := submission("job", 1)
		s.TimeLeft, s.Route.Allowance = 10*time.Second, 10*time.Second
		result := submitAfter(h, s)
		dc.drained.Store(&drain.Request{Version: 7})
		h.SetWorkers(map[string]model.Worker{}, true)
		for _, w := range dc.workers {
			w.Crash()
		}
		want := home.Outcome{Result: home.Drained, Reason: "the data centre is drained", Begun: true}
		if diff := cmp.Diff(want, <-result); diff != "" {
			t.Error(diff)
		}
	})
}

// The next home continues what was begun elsewhere: only the rest of the tasks is started.
func TestHomeContinuesAJobOfADrainedDataCentre(t *testing.T) {
	withHome(t, 2, func(t *testing.T, dc *testCentre, h *home.Home) {
		s := submission("job", 4)
		s.Resumed, s.TasksReported, s.Done = true, true, []string{"job.0.0.0", "job.0.0.2"}
		result := submitAfter(h, s)
		if got := h.RunCount(); got != 2 {
			t.Errorf("%d runs, want 2", got)
		}
		if got := resultOf(<-result); got != home.Succeeded {
			t.Error(got)
		}
	})
}

// A home that has just taken a drained data centre over adopts what runs there, and hands back a job of
// which no worker can have a run, but not before all workers have reported.
func TestLaterHomeOfADrainedDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 2)
		for _, w := range dc.workers {
			w.RunTime = func(string) time.Duration { return 300 * time.Millisecond }
		}
		first := dc.readyHome(1)
		earlier := submitAfter(first, submission("runs", 2))
		first.Close()
		<-first.Done()
		moved := <-earlier

		dc.drained.Store(&drain.Request{Version: 7})
		h := dc.newHome(2)
		defer dc.close(h)
		runs, lost := submission("runs", 2), submission("lost", 2)
		runs.Resumed, runs.TasksReported, runs.MaybeRunning = true, true, moved.MaybeRunning
		lost.Resumed = true
		began := time.Now()
		adopted, other := submitAfter(h, runs), submitAfter(h, lost)
		got := map[string]home.Result{"runs": resultOf(<-adopted), "lost": resultOf(<-other)}
		want := map[string]home.Result{"runs": home.Succeeded, "lost": home.Drained}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("after %v (-want +got):\n%s", time.Since(began), diff)
		}
		dc.checkLedger()
	})
}

// The backlog of a loaded data centre goes elsewhere in one pass.
func TestBacklogOfADrainedDataCentreIsHandedBackAtOnce(t *testing.T) {
	withHome(t, 1, func(t *testing.T, dc *testCentre, h *home.Home) {
		results := make(chan home.Outcome, 100)
		for i := range cap(results) {
			go func() {
				s := submission(fmt.Sprintf("job%02d", i), 1)
				s.TimeLeft, s.Route.Allowance = 30*time.Second, 30*time.Second
				results <- submit(h, s)
			}()
		}
		time.Sleep(20 * time.Millisecond)
		began := time.Now()
		dc.drain(h, &drain.Request{Version: 7, Since: began})
		got := map[home.Result]int{}
		for range cap(results) {
			got[resultOf(<-results)]++
		}
		if diff := cmp.Diff(map[home.Result]int{home.Succeeded: 2, home.Drained: 98}, got); diff != "" {
			t.Error(diff)
		}
		if took := time.Since(began); took > runTime {
			t.Errorf("took %v", took)
		}
	})
}
