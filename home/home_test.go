package home_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"foxtailmux/drain"
	"foxtailmux/fakes"
	"foxtailmux/home"
	"foxtailmux/model"
	"foxtailmux/plan"
)

const (
	core       = 1000
	workerSize = 64 * core
	taskSize   = 27 * core // two fit on a worker
	runTime    = 60 * time.Millisecond
)

// objective is that of a job of quotes whose tasks take runTime.
const objective = 156 * time.Millisecond

var quotes = model.Route{Name: "quotes", Service: "desk", Attempts: 2, Stretch: 1.6, Allowance: 60 * time.Millisecond}

// noopObserver is an observer without effect.
type noopObserver struct{}

func (noopObserver) TaskStarted()                             {}
func (noopObserver) Retried(string)                           {}
func (noopObserver) QueueWait(time.Duration)                  {}
func (noopObserver) TaskPlaced(bool, bool)                    {}
func (noopObserver) WorkerFactors(string, map[string]float64) {}

// testCentre is a data centre with fake workers.
type testCentre struct {
	t              testing.TB
	ledger         *fakes.Ledger
	workers        map[string]*fakes.LeasedWorker
	listed         map[string]model.Worker
	freeDataCentre func(int) (string, bool)
	fenced         atomic.Int32
	refreshes      atomic.Int32 // of the list of workers, as requested by homes
	link           *plan.Link
	farFactor      float64  // set before the home
	played         []string // ids of jobs of playJobs
	logWriter      io.Writer
	lastMessage    func(instance, incarnation string) time.Time // set before the home
	began          time.Time
	shares         bool
	stall          atomic.Int64 // nanoseconds for which the process has stood still
	connect        func(w model.Worker, late func(took time.Duration)) home.Endpoint
	drained        atomic.Pointer[drain.Request] // request to drain the data centre
	first          bool                          // home of the data centre; set before it
	store          func() time.Time              // when the store last confirmed the home; set before it, nil for always
}

func newTestCentre(t testing.TB, workers int) *testCentre {
	dc := &testCentre{t: t, ledger: fakes.NewLedger(), workers: map[string]*fakes.LeasedWorker{}, listed: map[string]model.Worker{}}
	dc.freeDataCentre = func(int) (string, bool) { return "", false }
	dc.link = plan.NewLink(0)
	dc.logWriter = io.Discard
	dc.began = time.Now()
	dc.lastMessage = func(string, string) time.Time { return time.Now() }
	dc.connect = func(w model.Worker, _ func(took time.Duration)) home.Endpoint { return dc.workers[w.ID] }
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		capacity := model.Resources{MilliCores: workerSize, MemoryMB: 1000}
		w := fakes.NewLeasedWorker(id, capacity, dc.ledger)
		w.Needs = func(string) model.Resources { return model.Resources{MilliCores: taskSize, MemoryMB: 64} }
		w.RunTime = func(string) time.Duration { return runTime }
		dc.workers[id] = w
		dc.listed[id] = model.Worker{ID: id, Addr: id, DataCentre: "kochi", Pool: "desk", State: model.Live, Capacity: capacity, Incarnation: w.Incarnation()}
	}
	return dc
}

func (dc *testCentre) newHome(token int64) *home.Home {
	h := home.New(home.Options{
		DataCentre:     "kochi",
		Token:          token,
		First:          dc.first,
		MaxLease:       time.Second,
		Connect:        dc.connect,
		ConfirmedAt:    dc.store,
		LastMessage:    func(instance, incarnation string) time.Time { return dc.lastMessage(instance, incarnation) },
		OriginTimeout:  heartbeatTimeout,
		ResubmitDelay:  1300 * time.Millisecond,
		Drained:        dc.drainRequest,
		LearnSpeeds:    true,
		Link:           dc.link,
		FarFactor:      dc.farFactor,
		Clock:          func() time.Duration { return time.Since(dc.began) + time.Duration(dc.stall.Load()) },
		FreeDataCentre: func(n int) (string, bool) { return dc.freeDataCentre(n) },
		OnFenced:       func() { dc.fenced.Add(1) },
		RefreshWorkers: func() { dc.refreshes.Add(1) },
		Observer:       noopObserver{},
		Log:            &log.Logger{Writer: log.IOWriter{Writer: dc.logWriter}},
		Shares:         dc.shares,
	})
	h.SetWorkers(dc.listed, true)
	return h
}

// readyHome returns a home whose workers have reported their runs.
func (dc *testCentre) readyHome(token int64) *home.Home {
	h := dc.newHome(token)
	time.Sleep(50 * time.Millisecond)
	return h
}

// withHome runs a test in virtual time with a home whose workers have reported their runs.
func withHome(t *testing.T, workers int, test func(t *testing.T, dc *testCentre, h *home.Home)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, workers)
		h := dc.readyHome(1)
		defer dc.close(h)
		test(t, dc, h)
	})
}

// close closes a home and waits for its end.
func (dc *testCentre) close(h *home.Home) {
	h.Close()
	<-h.Done()
}

func (dc *testCentre) checkLedger() {
	dc.t.Helper()
	if diff := cmp.Diff([]string(nil), dc.ledger.Violations()); diff != "" {
		dc.t.Errorf("violations (-want +got):\n%s", diff)
	}
}

func submission(id string, tasks int) home.Submission {
	return home.Submission{
		Batch: model.Batch{ID: id, Queue: "quotes", Spec: "x", Steps: []model.Step{{
			Replicas: tasks, Needs: model.Resources{MilliCores: taskSize, MemoryMB: 64}, Estimate: runTime,
		}}},
		Route: quotes, Origin: "entry", TimeLeft: 2 * time.Second,
	}
}

func submit(h *home.Home, s home.Submission) home.Outcome {
	return h.Submit(context.Background(), s)
}

// resultOf returns the result of an outcome without its other fields, some of which vary.
func resultOf(o home.Outcome) home.Result { return o.Result }

func TestJobSucceedsWhenAllItsTasksAreDone(t *testing.T) {
	withHome(t, 2, func(t *testing.T, dc *testCentre, h *home.Home) {
		began := time.Now()
		got := resultOf(submit(h, submission("a", 4)))
		if got != home.Succeeded {
			t.Errorf("result %q", got)
		}
		if took := time.Since(began); took > runTime+20*time.Millisecond {
			t.Errorf("job took %v", took)
		}
		for i := range 4 {
			if n := dc.ledger.Starts(fmt.Sprintf("a.0.0.%d", i)); n != 1 {
				t.Errorf("task %d started %d times", i, n)
			}
		}
		dc.checkLedger()
	})
}

func TestStepsRunInTheirOrder(t *testing.T) {
	withHome(t, 2, func(t *testing.T, dc *testCentre, h *home.Home) {
		s := submission("a", 2)
		second := s.Batch.Steps[0]
		second.After = []int{0}
		s.Batch.Steps = append(s.Batch.Steps, second)
		began := time.Now()
		if got := resultOf(submit(h, s)); got != home.Succeeded {
			t.Errorf("result %q", got)
		}
		if took := time.Since(began); took < 2*runTime {
			t.Errorf("the second step did not wait: %v", took)
		}
		dc.checkLedger()
	})
}

// One worker has a fault from before the job arrives until its end. The other workers have
// enough free capacity for the job.
func TestJobSurvivesOneBadWorker(t *testing.T) {
	cases := map[string]struct {
		faults fakes.LeasedWorkerFaults
		within time.Duration
	}{
		"failing":                  {fakes.LeasedWorkerFaults{FailEverything: true}, 200 * time.Millisecond},
		"answers lost":             {fakes.LeasedWorkerFaults{LoseResponses: true}, 2 * time.Second},
		"unresponsive":             {fakes.LeasedWorkerFaults{Unresponsive: true}, 2 * time.Second},
		"stalled":                  {fakes.LeasedWorkerFaults{Stalled: true}, 600 * time.Millisecond},
		"unhealthy":                {fakes.LeasedWorkerFaults{Unhealthy: true}, 200 * time.Millisecond},
		"ten times slower":         {fakes.LeasedWorkerFaults{Slowdown: 10}, 600 * time.Millisecond},
		"late and before the stop": {fakes.LeasedWorkerFaults{StartDelay: 50 * time.Millisecond}, 2 * time.Second},
		"late and after the lease": {fakes.LeasedWorkerFaults{StartDelay: 3 * time.Second}, 2 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dc := newTestCentre(t, 4)
				h := dc.readyHome(1)
				defer dc.close(h)

				dc.workers["w0"].SetFaults(c.faults)
				began := time.Now()
				s := submission("a", 6)
				s.TimeLeft = 4 * time.Second
				if got := resultOf(submit(h, s)); got != home.Succeeded {
					t.Errorf("result %q", got)
				}
				if took := time.Since(began); took > c.within {
					t.Errorf("took %v, want at most %v", took, c.within)
				}
				time.Sleep(5 * time.Second) // late requests are carried out
				dc.checkLedger()
			})
		})
	}
}

// A start is carried out and its run ends, but the responses are lost: sending the start again
// must not lead to a run on another worker.
func TestRunThatEndedBeforeItsStartWasResentIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 2)
		for _, w := range dc.workers {
			w.RunTime = func(string) time.Duration { return 10 * time.Millisecond }
			w.SetFaults(fakes.LeasedWorkerFaults{LoseResponses: true})
		}
		h := dc.newHome(1)
		defer dc.close(h)
		for _, w := range dc.workers {
			w.SetFaults(fakes.LeasedWorkerFaults{})
		}
		time.Sleep(200 * time.Millisecond)
		for _, w := range dc.workers {
			w.SetFaults(fakes.LeasedWorkerFaults{LoseResponses: true})
			time.AfterFunc(25*time.Millisecond, func() { w.SetFaults(fakes.LeasedWorkerFaults{}) })
		}
		if got := resultOf(submit(h, submission("a", 2))); got != home.Succeeded {
			t.Errorf("result %q", got)
		}
		for i := range 2 {
			if n := dc.ledger.Starts(fmt.Sprintf("a.0.0.%d", i)); n != 1 {
				t.Errorf("task %d started %d times", i, n)
			}
		}
	})
}

// A start is carried out without a response, and refused when it is sent again: the refusal
// must not count for the first send.
func TestRefusalOfAResentStartEndsNoRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 2)
		h := dc.readyHome(1)
		defer dc.close(h)
		dc.workers["w0"].SetFaults(fakes.LeasedWorkerFaults{LoseResponses: true})
		time.AfterFunc(20*time.Millisecond, func() { dc.workers["w0"].SetFaults(fakes.LeasedWorkerFaults{Unhealthy: true}) })
		if got := resultOf(submit(h, submission("a", 1))); got != home.Succeeded {
			t.Errorf("result %q", got)
		}
		dc.checkLedger()
		if n := dc.ledger.Starts("a.0.0.0"); n != 1 {
			t.Errorf("task started %d times", n)
		}
	})
}

// Workers that crash may carry out late requests in their next incarnation.
func TestLateRequestsAndCrashesRunNoTaskTwiceAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 4)
		h := dc.readyHome(1)
		defer dc.close(h)
		everyWorker(fakes.LeasedWorkerFaults{LateShare: 0.4})(dc)
		done := make(chan home.Result, 40)
		for i := range 40 {
			go func() { done <- resultOf(submit(h, submission(fmt.Sprintf("j%d", i), 2))) }()
			time.Sleep(100 * time.Millisecond)
			if i%4 == 3 {
				id := fmt.Sprintf("w%d", i/4%4)
				dc.workers[id].Crash()
				dc.setRow(h, id)
			}
		}
		succeeded := 0
		for range 40 {
			if <-done == home.Succeeded {
				succeeded++
			}
		}
		time.Sleep(15 * time.Second) // late requests are carried out
		dc.checkLedger()
		if succeeded < 30 {
			t.Errorf("%d of 40 jobs succeeded", succeeded)
		}
	})
}

func TestCrashedWorkersTasksRunAgain(t *testing.T) {
	withHome(t, 2, func(t *testing.T, dc *testCentre, h *home.Home) {
		time.AfterFunc(runTime/2, dc.workers["w0"].Crash)
		if got := resultOf(submit(h, submission("a", 4))); got != home.Succeeded {
			t.Errorf("result %q", got)
		}
		dc.checkLedger()
	})
}

func TestTaskThatFailsEverywhereFailsItsJobAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 4)
		for _, w := range dc.workers {
			w.SetFaults(fakes.LeasedWorkerFaults{FailEverything: true})
		}
		h := dc.readyHome(1)
		defer dc.close(h)

		began := time.Now()
		if got := resultOf(submit(h, submission("a", 2))); got != home.Failed {
			t.Errorf("result %q", got)
		}
		if took := time.Since(began); took > 100*time.Millisecond {
			t.Errorf("job took %v", took)
		}
		for i := range 2 {
			if n := dc.ledger.Starts(fmt.Sprintf("a.0.0.%d", i)); n > quotes.Attempts {
				t.Errorf("task %d ran %d times", i, n)
			}
		}
	})
}

// A task that failed on every worker must be started again all the same.
func TestTaskRunsAgainWhereItFailedIfThereIsNoOtherWorker(t *testing.T) {
	withHome(t, 1, func(t *testing.T, dc *testCentre, h *home.Home) {
		dc.workers["w0"].SetFaults(fakes.LeasedWorkerFaults{FailEverything: true})
		time.AfterFunc(3*time.Millisecond, func() { dc.workers["w0"].SetFaults(fakes.LeasedWorkerFaults{}) })
		began := time.Now()
		if got := resultOf(submit(h, submission("a", 1))); got != home.Succeeded || time.Since(began) > 200*time.Millisecond {
			t.Errorf("result %q after %v", got, time.Since(began))
		}
	})
}

func TestJobThatNoWorkerFitsIsRefusedAtOnce(t *testing.T) {
	withHome(t, 2, func(t *testing.T, dc *testCentre, h *home.Home) {
		s := submission("a", 1)
		s.Batch.Steps[0].Needs.MilliCores = 2 * workerSize
		began := time.Now()
		o := submit(h, s)
		if o.Result != home.Refused || time.Since(began) > time.Millisecond {
			t.Errorf("result %q after %v", o.Result, time.Since(began))
		}
		if n := dc.ledger.Starts("a.0.0.0"); n != 0 {
			t.Errorf("a refused job ran %d times", n)
		}
	})
}

func TestJobRefusedForLackOfCapacityNeverRuns(t *testing.T) {
	withHome(t, 2, func(t *testing.T, dc *testCentre, h *home.Home) {
		results := make(chan string, 40)
		for i := range 40 {
			go func() {
				id := fmt.Sprintf("j%d", i)
				results <- fmt.Sprintf("%s %s", resultOf(submit(h, submission(id, 4))), id)
			}()
			time.Sleep(5 * time.Millisecond)
		}
		refused := 0
		for range 40 {
			var v, id string
			if _, err := fmt.Sscan(<-results, &v, &id); err != nil {
				t.Fatal(err)
			}
			if v != string(home.NoCapacity) {
				continue
			}
			refused++
			for i := range 4 {
				if n := dc.ledger.Starts(fmt.Sprintf("%s.0.0.%d", id, i)); n != 0 {
					t.Errorf("task %d of the refused job %s ran", i, id)
				}
			}
		}
		if refused == 0 {
			t.Error("no job is refused under a load of three times the capacity")
		}
		dc.checkLedger()
	})
}

func TestCancelledJobIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 2)
		for _, w := range dc.workers {
			w.RunTime = func(string) time.Duration { return 5 * runTime }
		}
		h := dc.readyHome(1)
		defer dc.close(h)

		ctx, cancel := context.WithTimeout(context.Background(), runTime/3)
		defer cancel()
		if got := resultOf(h.Submit(ctx, submission("a", 4))); got != home.Cancelled {
			t.Errorf("result %q", got)
		}
		time.Sleep(runTime) // a stop takes 30 ms
		if n := dc.ledger.RunningTasks(); n != 0 {
			t.Errorf("%d tasks still run", n)
		}
		if got := resultOf(submit(h, submission("b", 4))); got != home.Succeeded {
			t.Errorf("result of the next job %q", got)
		}
		dc.checkLedger()
	})
}

func TestJobOfADeadOriginIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 2)
		for _, w := range dc.workers {
			w.RunTime = func(string) time.Duration { return 3 * time.Second }
		}
		lastHeartbeat := time.Now().Add(-time.Hour)
		dc.lastMessage = func(string, string) time.Time { return lastHeartbeat }
		h := dc.readyHome(1)
		defer dc.close(h)

		began := time.Now()
		got := resultOf(submit(h, submission("a", 2)))
		// The job arrived after the last heartbeat, which counts as a heartbeat too.
		if took := time.Since(began); got != home.Cancelled || took < heartbeatTimeout || took > heartbeatTimeout+25*time.Millisecond {
			t.Errorf("result %q after %v", got, took)
		}
	})
}

func TestLaterHomeContinuesRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 2)
		old := dc.readyHome(1)
		moved := make(chan home.Outcome, 1)
		go func() { moved <- submit(old, submission("a", 4)) }()
		time.Sleep(runTime / 3)
		dc.close(old)
		o := <-moved
		if o.Result != home.Moved || len(o.MaybeRunning) != 4 {
			t.Fatalf("outcome %+v, want Moved with 4 tasks", o)
		}

		later := dc.newHome(2)
		defer dc.close(later)
		s := submission("a", 4)
		s.Resumed, s.TasksReported, s.Done, s.MaybeRunning = true, true, o.Done, o.MaybeRunning
		if got := resultOf(submit(later, s)); got != home.Succeeded {
			t.Errorf("result %q", got)
		}
		for i := range 4 {
			if n := dc.ledger.Starts(fmt.Sprintf("a.0.0.%d", i)); n != 1 {
				t.Errorf("task %d started %d times", i, n)
			}
		}
		dc.checkLedger()
	})
}

// A home whose list lacks a worker must not start tasks that may run on it.
func TestResumedTaskWaitsForWorkersThatAreNotListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 2)
		for _, w := range dc.workers {
			w.RunTime = func(string) time.Duration { return 700 * time.Millisecond }
		}
		old := dc.readyHome(1)
		go submit(old, submission("a", 4))
		time.Sleep(20 * time.Millisecond)
		dc.close(old)

		delete(dc.listed, "w0")
		later := dc.newHome(2)
		defer dc.close(later)
		later.SetWorkers(dc.listed, false)
		s := submission("a", 4)
		s.Resumed, s.TimeLeft = true, 4*time.Second
		submit(later, s)
		dc.checkLedger()
	})
}

// A resumed job may have run, so a refusal, which guarantees that no task ran, would be wrong.
func TestResumedJobIsNeverRefused(t *testing.T) {
	withHome(t, 1, func(t *testing.T, dc *testCentre, h *home.Home) {
		dc.workers["w0"].SetFaults(fakes.LeasedWorkerFaults{Unhealthy: true})
		s := submission("a", 1)
		s.Resumed = true
		if got := resultOf(submit(h, s)); got == home.Refused {
			t.Errorf("result %q", got)
		}
	})
}

func TestEarlierHomeIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 2)
		old := dc.readyHome(1)
		defer dc.close(old)
		later := dc.readyHome(2)
		defer dc.close(later)

		go submit(old, submission("a", 2))
		time.Sleep(50 * time.Millisecond)
		if n := dc.fenced.Load(); n != 1 {
			t.Errorf("OnFenced is called %d times", n)
		}
		if n := dc.ledger.Starts("a.0.0.0"); n != 0 {
			t.Errorf("a fenced home started %d runs", n)
		}
		if got := resultOf(submit(old, submission("b", 1))); got != home.Moved {
			t.Errorf("result %q", got)
		}
	})
}

func TestUnclaimedRunsAreStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 1)
		dc.workers["w0"].RunTime = func(string) time.Duration { return 3 * time.Second }
		old := dc.readyHome(1)
		go submit(old, submission("a", 2))
		time.Sleep(20 * time.Millisecond)
		dc.close(old)

		later := dc.readyHome(2)
		defer dc.close(later)
		time.Sleep(600 * time.Millisecond)
		if n := dc.ledger.RunningTasks(); n != 0 {
			t.Errorf("%d runs of the earlier home still run", n)
		}
	})
}

// The job of an inherited run arrives while the run is being stopped.
func TestTaskWaitsForTheStopOfAnEarlierRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 2)
		for _, w := range dc.workers {
			w.RunTime = func(string) time.Duration { return 700 * time.Millisecond }
		}
		old := dc.readyHome(1)
		go submit(old, submission("a", 1))
		time.Sleep(20 * time.Millisecond)
		dc.close(old)

		later := dc.newHome(2)
		defer dc.close(later)
		for range 40 {
			time.Sleep(10 * time.Millisecond)
			if dc.ledger.RunningTasks() == 0 {
				t.Fatal("the run ended before its job arrived")
			}
			if later.State().Workers["w0"].Stopping+later.State().Workers["w1"].Stopping > 0 {
				break
			}
		}
		s := submission("a", 1)
		s.Resumed, s.TimeLeft = true, 4*time.Second
		if got := resultOf(submit(later, s)); got != home.Succeeded {
			t.Errorf("result %q", got)
		}
		dc.checkLedger()
	})
}

func TestSameJobSentAgainJoinsTheFirst(t *testing.T) {
	withHome(t, 2, func(t *testing.T, dc *testCentre, h *home.Home) {
		results := make(chan home.Result, 2)
		for range 2 {
			go func() { results <- resultOf(submit(h, submission("a", 2))) }()
			time.Sleep(10 * time.Millisecond)
		}
		if diff := cmp.Diff([]home.Result{home.Succeeded, home.Succeeded}, []home.Result{<-results, <-results}); diff != "" {
			t.Error(diff)
		}
		if n := dc.ledger.Starts("a.0.0.0"); n != 1 {
			t.Errorf("task started %d times", n)
		}
	})
}

func TestFullHomeRedirectsAJobToFreeCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 1)
		dc.freeDataCentre = func(n int) (string, bool) { return "tvm", n <= 2*taskSize }
		h := dc.readyHome(1)
		defer dc.close(h)
		go submit(h, submission("a", 2))
		time.Sleep(5 * time.Millisecond)

		got := submit(h, submission("b", 2))
		if diff := cmp.Diff(home.Outcome{Result: home.Redirected, DataCentre: "tvm"}, got); diff != "" {
			t.Error(diff)
		}
		s := submission("c", 1)
		s.Immediate = true
		if got := resultOf(submit(h, s)); got != home.Busy {
			t.Errorf("result %q", got)
		}
	})
}

func TestPartsOfAJobRunSeparately(t *testing.T) {
	withHome(t, 2, func(t *testing.T, dc *testCentre, h *home.Home) {
		results := make(chan home.Result, 2)
		for _, part := range []home.Part{{First: 0, Count: 1}, {First: 1, Count: 3}} {
			s := submission("a", 4)
			s.Part = &part
			go func() { results <- resultOf(submit(h, s)) }()
		}
		if diff := cmp.Diff([]home.Result{home.Succeeded, home.Succeeded}, []home.Result{<-results, <-results}); diff != "" {
			t.Error(diff)
		}
		for i := range 4 {
			if n := dc.ledger.Starts(fmt.Sprintf("a.0.0.%d", i)); n != 1 {
				t.Errorf("task %d started %d times", i, n)
			}
		}
		dc.checkLedger()
	})
}

// An idle worker must cause no requests, except for the acknowledgement of its last ended runs.
func TestIdleWorkersGetNoRequests(t *testing.T) {
	withHome(t, 1, func(t *testing.T, dc *testCentre, h *home.Home) {
		submit(h, submission("a", 1))
		time.Sleep(time.Second)
		before := dc.workers["w0"].Renewals()
		time.Sleep(time.Minute)
		if n := dc.workers["w0"].Renewals() - before; n != 0 {
			t.Errorf("%d requests to an idle worker", n)
		}
	})
}

// One of two workers stalls and the other one is full for long: the stalled runs must be given
// up even though no other worker has free capacity.
func TestStalledRunIsGivenUpWithoutFreeCapacityElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 2)
		for _, w := range dc.workers {
			w.RunTime = func(task string) time.Duration {
				if strings.HasPrefix(task, "long") {
					return time.Second
				}
				return runTime
			}
		}
		h := dc.readyHome(1)
		defer dc.close(h)
		long := submission("long", 2)
		long.Batch.Steps[0].Estimate = time.Second
		go submit(h, long) // fills the first worker
		time.Sleep(10 * time.Millisecond)
		dc.workers["w1"].SetFaults(fakes.LeasedWorkerFaults{Stalled: true})

		began := time.Now()
		go submit(h, submission("stalled", 2))
		time.Sleep(500 * time.Millisecond)
		for i := range 2 {
			if w := dc.ledger.WorkerOf(fmt.Sprintf("stalled.0.0.%d", i)); w != "" {
				t.Errorf("task %d is still stalled on %s after %v", i, w, time.Since(began))
			}
		}
		time.Sleep(2 * time.Second)
		dc.checkLedger()
	})
}

// Jobs that arrived before the first report of a worker must be refused as soon as it is known
// that they can't end in time, not when they expire.
func TestBacklogFromBeforeTheFirstReportIsRefusedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 1)
		h := dc.newHome(1)
		defer dc.close(h)
		type timedResult struct {
			result home.Result
			took   time.Duration
		}
		results := make(chan timedResult, 30)
		for i := range 30 {
			go func() {
				began := time.Now()
				v := resultOf(submit(h, submission(fmt.Sprintf("j%d", i), 2)))
				results <- timedResult{v, time.Since(began)}
			}()
		}
		refused := 0
		for range 30 {
			a := <-results
			if a.result != home.Refused {
				continue
			}
			refused++
			if a.took > objective {
				t.Errorf("job refused after %v, the objective is %v", a.took, objective)
			}
		}
		if refused < 20 {
			t.Errorf("%d of 30 jobs refused", refused)
		}
	})
}

// The callers of all instances return together while a new home still waits for a worker that
// does not respond, and its list of workers may lack others: the jobs that the responsive
// workers can't run in time are refused at once.
func TestNewHomeRefusesBacklogWhileAWorkerIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 4)
		dc.workers["w3"].SetFaults(fakes.LeasedWorkerFaults{Unresponsive: true})
		h := dc.newHome(1)
		h.SetWorkers(dc.listed, false)
		defer dc.close(h)
		const jobs = 60
		type timedResult struct {
			result home.Result
			took   time.Duration
		}
		results := make(chan timedResult, jobs)
		for i := range jobs {
			time.Sleep(5 * time.Millisecond)
			go func() {
				began := time.Now()
				v := resultOf(submit(h, submission(fmt.Sprintf("j%d", i), 2)))
				results <- timedResult{v, time.Since(began)}
			}()
		}
		refused := 0
		for range jobs {
			r := <-results
			if r.result == home.Succeeded {
				continue
			}
			refused++
			if r.took > objective {
				t.Errorf("job answered %s after %v, the objective is %v", r.result, r.took, objective)
			}
		}
		if refused < jobs/4 {
			t.Errorf("%d of %d jobs refused, the load is not above the capacity", refused, jobs)
		}
		dc.checkLedger()
	})
}
