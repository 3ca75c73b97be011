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

var quotes = model.Route{Name: "quotes", Service: "desk", Attempts: 2, Stretch: 1.6, Allowance: 60 * time.Millisecond}

// nothing observes nothing.
type nothing struct{}

func (nothing) TaskStarted()            {}
func (nothing) Retried(string)          {}
func (nothing) QueueWait(time.Duration) {}

// place is a data centre in the test: workers, and what may be its homes.
type place struct {
	t         testing.TB
	ledger    *fakes.Ledger
	workers   map[string]*fakes.LeasedWorker
	listed    map[string]model.Worker
	elsewhere func(int) (string, bool)
	fenced    atomic.Int32
	link      *plan.Link
	connect   func(w model.Worker, late func(took time.Duration)) home.Endpoint
}

func newPlace(t testing.TB, workers int) *place {
	p := &place{t: t, ledger: fakes.NewLedger(), workers: map[string]*fakes.LeasedWorker{}, listed: map[string]model.Worker{}}
	p.elsewhere = func(int) (string, bool) { return "", false }
	p.link = plan.NewLink(0)
	p.connect = func(w model.Worker, _ func(took time.Duration)) home.Endpoint { return p.workers[w.ID] }
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		capacity := model.Resources{MilliCores: workerSize, MemoryMB: 1000}
		w := fakes.NewLeasedWorker(id, capacity, p.ledger)
		w.Needs = func(string) model.Resources { return model.Resources{MilliCores: taskSize, MemoryMB: 64} }
		w.RunTime = func(string) time.Duration { return runTime }
		p.workers[id] = w
		p.listed[id] = model.Worker{ID: id, Addr: id, DataCentre: "kochi", Pool: "desk", State: model.Live, Capacity: capacity}
	}
	return p
}

func (p *place) home(token int64) *home.Home {
	h := home.New(home.Options{
		DataCentre:     "kochi",
		Token:          token,
		MaxLease:       time.Second,
		Connect:        p.connect,
		Link:           p.link,
		FreeDataCentre: func(n int) (string, bool) { return p.elsewhere(n) },
		OnFenced:       func() { p.fenced.Add(1) },
		Observer:       nothing{},
		Log:            &log.Logger{Writer: log.IOWriter{Writer: io.Discard}},
	})
	h.SetWorkers(p.listed, true)
	return h
}

// ready returns a home whose workers have told what they run.
func (p *place) ready(token int64) *home.Home {
	h := p.home(token)
	time.Sleep(50 * time.Millisecond)
	return h
}

// withHome runs a test in virtual time with a home whose workers have told what
// they run.
func withHome(t *testing.T, workers int, test func(t *testing.T, p *place, h *home.Home)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := newPlace(t, workers)
		h := p.ready(1)
		defer p.close(h)
		test(t, p, h)
	})
}

// close ends a home and waits for it.
func (p *place) close(h *home.Home) {
	h.Close()
	<-h.Done()
}

func (p *place) check() {
	p.t.Helper()
	if diff := cmp.Diff([]string(nil), p.ledger.Violations()); diff != "" {
		p.t.Errorf("violations (-want +got):\n%s", diff)
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

// verdict drops what varies.
func verdict(o home.Outcome) home.Result { return o.Result }

func TestJobSucceedsWhenAllItsTasksAreDone(t *testing.T) {
	withHome(t, 2, func(t *testing.T, p *place, h *home.Home) {
		began := time.Now()
		got := verdict(submit(h, submission("a", 4)))
		if got != home.Succeeded {
			t.Errorf("verdict %q", got)
		}
		if took := time.Since(began); took > runTime+20*time.Millisecond {
			t.Errorf("took %v", took)
		}
		for i := range 4 {
			if n := p.ledger.Starts(fmt.Sprintf("a.0.0.%d", i)); n != 1 {
				t.Errorf("task %d started %d times", i, n)
			}
		}
		p.check()
	})
}

func TestStepsRunInTheirOrder(t *testing.T) {
	withHome(t, 2, func(t *testing.T, p *place, h *home.Home) {
		s := submission("a", 2)
		second := s.Batch.Steps[0]
		second.After = []int{0}
		s.Batch.Steps = append(s.Batch.Steps, second)
		began := time.Now()
		if got := verdict(submit(h, s)); got != home.Succeeded {
			t.Errorf("verdict %q", got)
		}
		if took := time.Since(began); took < 2*runTime {
			t.Errorf("the second step did not wait: %v", took)
		}
		p.check()
	})
}

// Faults of one worker, each from before the job arrives until its end. The
// other workers have room for the job.
func TestJobSurvivesOneBadWorker(t *testing.T) {
	cases := map[string]struct {
		faults fakes.Faults
		within time.Duration
	}{
		"failing":                  {fakes.Faults{FailAll: true}, 200 * time.Millisecond},
		"answers lost":             {fakes.Faults{LoseAnswers: true}, 2 * time.Second},
		"silent":                   {fakes.Faults{Silent: true}, 2 * time.Second},
		"standing still":           {fakes.Faults{StandStill: true}, 600 * time.Millisecond},
		"unhealthy":                {fakes.Faults{Unhealthy: true}, 200 * time.Millisecond},
		"ten times slower":         {fakes.Faults{Slowdown: 10}, 600 * time.Millisecond},
		"late and before the stop": {fakes.Faults{CarryOutLate: 50 * time.Millisecond}, 2 * time.Second},
		"late and after the lease": {fakes.Faults{CarryOutLate: 3 * time.Second}, 2 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPlace(t, 4)
				h := p.ready(1)
				defer p.close(h)

				p.workers["w0"].SetFaults(c.faults)
				began := time.Now()
				s := submission("a", 6)
				s.TimeLeft = 4 * time.Second
				if got := verdict(submit(h, s)); got != home.Succeeded {
					t.Errorf("verdict %q", got)
				}
				if took := time.Since(began); took > c.within {
					t.Errorf("took %v, want at most %v", took, c.within)
				}
				time.Sleep(5 * time.Second) // late orders are carried out
				p.check()
			})
		})
	}
}

// A start is carried out, its run ends, and only the answers are lost: the start
// that is sent again must not lead to another one elsewhere.
func TestRunThatEndedBeforeItsStartWasSentAgainIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlace(t, 2)
		for _, w := range p.workers {
			w.RunTime = func(string) time.Duration { return 10 * time.Millisecond }
			w.SetFaults(fakes.Faults{LoseAnswers: true})
		}
		h := p.home(1)
		defer p.close(h)
		for _, w := range p.workers {
			w.SetFaults(fakes.Faults{})
		}
		time.Sleep(200 * time.Millisecond)
		for _, w := range p.workers {
			w.SetFaults(fakes.Faults{LoseAnswers: true})
			time.AfterFunc(25*time.Millisecond, func() { w.SetFaults(fakes.Faults{}) })
		}
		if got := verdict(submit(h, submission("a", 2))); got != home.Succeeded {
			t.Errorf("verdict %q", got)
		}
		for i := range 2 {
			if n := p.ledger.Starts(fmt.Sprintf("a.0.0.%d", i)); n != 1 {
				t.Errorf("task %d started %d times", i, n)
			}
		}
	})
}

// A start is carried out and not answered, and refused when it is sent again: the
// refusal tells nothing of the first one.
func TestRefusalOfAStartThatWasSentAgainProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlace(t, 2)
		h := p.ready(1)
		defer p.close(h)
		p.workers["w0"].SetFaults(fakes.Faults{LoseAnswers: true})
		time.AfterFunc(20*time.Millisecond, func() { p.workers["w0"].SetFaults(fakes.Faults{Unhealthy: true}) })
		if got := verdict(submit(h, submission("a", 1))); got != home.Succeeded {
			t.Errorf("verdict %q", got)
		}
		p.check()
		if n := p.ledger.Starts("a.0.0.0"); n != 1 {
			t.Errorf("started %d times", n)
		}
	})
}

// Workers that crash while they owe orders may carry them out in their next life.
func TestLateOrdersAndCrashesRunNoTaskTwiceAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlace(t, 4)
		h := p.ready(1)
		defer p.close(h)
		everyWorker(fakes.Faults{LateShare: 0.4})(p)
		done := make(chan home.Result, 40)
		for i := range 40 {
			go func() { done <- verdict(submit(h, submission(fmt.Sprintf("j%d", i), 2))) }()
			time.Sleep(100 * time.Millisecond)
			if i%4 == 3 {
				p.workers[fmt.Sprintf("w%d", i/4%4)].Crash()
			}
		}
		succeeded := 0
		for range 40 {
			if <-done == home.Succeeded {
				succeeded++
			}
		}
		time.Sleep(15 * time.Second) // late orders are carried out
		p.check()
		if succeeded < 30 {
			t.Errorf("%d of 40 jobs succeeded", succeeded)
		}
	})
}

func TestCrashedWorkersTasksRunAgain(t *testing.T) {
	withHome(t, 2, func(t *testing.T, p *place, h *home.Home) {
		time.AfterFunc(runTime/2, p.workers["w0"].Crash)
		if got := verdict(submit(h, submission("a", 4))); got != home.Succeeded {
			t.Errorf("verdict %q", got)
		}
		p.check()
	})
}

func TestTaskThatFailsEverywhereFailsItsJobAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlace(t, 4)
		for _, w := range p.workers {
			w.SetFaults(fakes.Faults{FailAll: true})
		}
		h := p.ready(1)
		defer p.close(h)

		began := time.Now()
		if got := verdict(submit(h, submission("a", 2))); got != home.Failed {
			t.Errorf("verdict %q", got)
		}
		if took := time.Since(began); took > 100*time.Millisecond {
			t.Errorf("took %v", took)
		}
		for i := range 2 {
			if n := p.ledger.Starts(fmt.Sprintf("a.0.0.%d", i)); n > quotes.Attempts {
				t.Errorf("task %d ran %d times", i, n)
			}
		}
	})
}

// A task whose run came to nothing on each worker starts again all the same.
func TestTaskRunsAgainWhereItFailedIfThereIsNoOtherPlace(t *testing.T) {
	withHome(t, 1, func(t *testing.T, p *place, h *home.Home) {
		p.workers["w0"].SetFaults(fakes.Faults{FailAll: true})
		time.AfterFunc(3*time.Millisecond, func() { p.workers["w0"].SetFaults(fakes.Faults{}) })
		began := time.Now()
		if got := verdict(submit(h, submission("a", 1))); got != home.Succeeded || time.Since(began) > 200*time.Millisecond {
			t.Errorf("%q after %v", got, time.Since(began))
		}
	})
}

func TestJobThatNoWorkerFitsIsRefusedAtOnce(t *testing.T) {
	withHome(t, 2, func(t *testing.T, p *place, h *home.Home) {
		s := submission("a", 1)
		s.Batch.Steps[0].Needs.MilliCores = 2 * workerSize
		began := time.Now()
		o := submit(h, s)
		if o.Result != home.Refused || time.Since(began) > time.Millisecond {
			t.Errorf("%q after %v", o.Result, time.Since(began))
		}
		if n := p.ledger.Starts("a.0.0.0"); n != 0 {
			t.Errorf("a refused job ran %d times", n)
		}
	})
}

func TestJobThatFindsNoRoomNeverRuns(t *testing.T) {
	withHome(t, 2, func(t *testing.T, p *place, h *home.Home) {
		verdicts := make(chan string, 40)
		for i := range 40 {
			go func() {
				id := fmt.Sprintf("j%d", i)
				verdicts <- fmt.Sprintf("%s %s", verdict(submit(h, submission(id, 4))), id)
			}()
			time.Sleep(5 * time.Millisecond)
		}
		refused := 0
		for range 40 {
			var v, id string
			if _, err := fmt.Sscan(<-verdicts, &v, &id); err != nil {
				t.Fatal(err)
			}
			if v != string(home.NoCapacity) {
				continue
			}
			refused++
			for i := range 4 {
				if n := p.ledger.Starts(fmt.Sprintf("%s.0.0.%d", id, i)); n != 0 {
					t.Errorf("task %d of job %s ran without room", i, id)
				}
			}
		}
		if refused == 0 {
			t.Error("a load of three times the capacity turned nothing away")
		}
		p.check()
	})
}

func TestCancelledJobIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlace(t, 2)
		for _, w := range p.workers {
			w.RunTime = func(string) time.Duration { return 5 * runTime }
		}
		h := p.ready(1)
		defer p.close(h)

		ctx, cancel := context.WithTimeout(context.Background(), runTime/3)
		defer cancel()
		if got := verdict(h.Submit(ctx, submission("a", 4))); got != home.Cancelled {
			t.Errorf("verdict %q", got)
		}
		time.Sleep(runTime) // a stop takes 30 ms
		if n := p.ledger.Running(); n != 0 {
			t.Errorf("%d tasks run on", n)
		}
		if got := verdict(submit(h, submission("b", 4))); got != home.Succeeded {
			t.Errorf("the next job: %q", got)
		}
		p.check()
	})
}

func TestJobOfASilentInstanceIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlace(t, 2)
		for _, w := range p.workers {
			w.RunTime = func(string) time.Duration { return 3 * time.Second }
		}
		h := p.ready(1)
		defer p.close(h)

		heard := time.Now().Add(-time.Hour)
		outcome := make(chan home.Result, 1)
		began := time.Now()
		go func() { outcome <- verdict(submit(h, submission("a", 2))) }()
		for len(outcome) == 0 {
			time.Sleep(100 * time.Millisecond)
			h.CancelOrphaned(func(string) time.Time { return heard }, time.Second)
		}
		// The job came after the last heartbeat, and is a sign of life too.
		if got, took := <-outcome, time.Since(began); got != home.Cancelled || took < time.Second || took > 1200*time.Millisecond {
			t.Errorf("%q after %v", got, took)
		}
	})
}

func TestLaterHomeContinuesWhatRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlace(t, 2)
		old := p.ready(1)
		moved := make(chan home.Outcome, 1)
		go func() { moved <- submit(old, submission("a", 4)) }()
		time.Sleep(runTime / 3)
		p.close(old)
		o := <-moved
		if o.Result != home.Moved || len(o.MaybeRunning) != 4 {
			t.Fatalf("%+v", o)
		}

		later := p.home(2)
		defer p.close(later)
		s := submission("a", 4)
		s.Resumed, s.TasksReported, s.Done, s.MaybeRunning = true, true, o.Done, o.MaybeRunning
		if got := verdict(submit(later, s)); got != home.Succeeded {
			t.Errorf("verdict %q", got)
		}
		for i := range 4 {
			if n := p.ledger.Starts(fmt.Sprintf("a.0.0.%d", i)); n != 1 {
				t.Errorf("task %d started %d times", i, n)
			}
		}
		p.check()
	})
}

// A home that was not told of a worker must not start what may run there.
func TestResumedTaskWaitsForWorkersThatAreNotListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlace(t, 2)
		for _, w := range p.workers {
			w.RunTime = func(string) time.Duration { return 700 * time.Millisecond }
		}
		old := p.ready(1)
		go submit(old, submission("a", 4))
		time.Sleep(20 * time.Millisecond)
		p.close(old)

		delete(p.listed, "w0")
		later := p.home(2)
		defer p.close(later)
		later.SetWorkers(p.listed, false)
		s := submission("a", 4)
		s.Resumed, s.TimeLeft = true, 4*time.Second
		submit(later, s)
		p.check()
	})
}

// A job that was resumed may have run: it is never told that it did not.
func TestResumedJobIsNeverRefused(t *testing.T) {
	withHome(t, 1, func(t *testing.T, p *place, h *home.Home) {
		p.workers["w0"].SetFaults(fakes.Faults{Unhealthy: true})
		s := submission("a", 1)
		s.Resumed = true
		if got := verdict(submit(h, s)); got == home.Refused {
			t.Errorf("verdict %q", got)
		}
	})
}

func TestEarlierHomeIsFencedAndLetsGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlace(t, 2)
		old := p.ready(1)
		defer p.close(old)
		later := p.ready(2)
		defer p.close(later)

		go submit(old, submission("a", 2))
		time.Sleep(50 * time.Millisecond)
		if n := p.fenced.Load(); n != 1 {
			t.Errorf("told %d times that it is fenced", n)
		}
		if n := p.ledger.Starts("a.0.0.0"); n != 0 {
			t.Errorf("a fenced home started %d runs", n)
		}
		if got := verdict(submit(old, submission("b", 1))); got != home.Moved {
			t.Errorf("verdict %q", got)
		}
	})
}

func TestRunsThatNobodyClaimsAreStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlace(t, 1)
		p.workers["w0"].RunTime = func(string) time.Duration { return 3 * time.Second }
		old := p.ready(1)
		go submit(old, submission("a", 2))
		time.Sleep(20 * time.Millisecond)
		p.close(old)

		later := p.ready(2)
		defer p.close(later)
		time.Sleep(600 * time.Millisecond)
		if n := p.ledger.Running(); n != 0 {
			t.Errorf("%d runs of the earlier home go on", n)
		}
	})
}

// The job of a run that nobody claimed comes while the run is being stopped.
func TestTaskWaitsForTheStopOfAnEarlierRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlace(t, 2)
		for _, w := range p.workers {
			w.RunTime = func(string) time.Duration { return 700 * time.Millisecond }
		}
		old := p.ready(1)
		go submit(old, submission("a", 1))
		time.Sleep(20 * time.Millisecond)
		p.close(old)

		later := p.home(2)
		defer p.close(later)
		for range 40 {
			time.Sleep(10 * time.Millisecond)
			if p.ledger.Running() == 0 {
				t.Fatal("the run was over before its job came")
			}
			if later.State().Workers["w0"].Stopping+later.State().Workers["w1"].Stopping > 0 {
				break
			}
		}
		s := submission("a", 1)
		s.Resumed, s.TimeLeft = true, 4*time.Second
		if got := verdict(submit(later, s)); got != home.Succeeded {
			t.Errorf("verdict %q", got)
		}
		p.check()
	})
}

func TestSameJobSentAgainJoinsTheFirst(t *testing.T) {
	withHome(t, 2, func(t *testing.T, p *place, h *home.Home) {
		verdicts := make(chan home.Result, 2)
		for range 2 {
			go func() { verdicts <- verdict(submit(h, submission("a", 2))) }()
			time.Sleep(10 * time.Millisecond)
		}
		if diff := cmp.Diff([]home.Result{home.Succeeded, home.Succeeded}, []home.Result{<-verdicts, <-verdicts}); diff != "" {
			t.Error(diff)
		}
		if n := p.ledger.Starts("a.0.0.0"); n != 1 {
			t.Errorf("started %d times", n)
		}
	})
}

func TestFullHomeSendsAJobWhereThereIsRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlace(t, 1)
		p.elsewhere = func(n int) (string, bool) { return "tvm", n <= 2*taskSize }
		h := p.ready(1)
		defer p.close(h)
		go submit(h, submission("a", 2))
		time.Sleep(5 * time.Millisecond)

		got := submit(h, submission("b", 2))
		if diff := cmp.Diff(home.Outcome{Result: home.Redirected, DataCentre: "tvm"}, got); diff != "" {
			t.Error(diff)
		}
		s := submission("c", 1)
		s.Immediate = true
		if got := verdict(submit(h, s)); got != home.Busy {
			t.Errorf("verdict %q", got)
		}
	})
}

func TestPartsOfAJobRunApart(t *testing.T) {
	withHome(t, 2, func(t *testing.T, p *place, h *home.Home) {
		verdicts := make(chan home.Result, 2)
		for _, part := range []home.Part{{First: 0, Count: 1}, {First: 1, Count: 3}} {
			s := submission("a", 4)
			s.Part = &part
			go func() { verdicts <- verdict(submit(h, s)) }()
		}
		if diff := cmp.Diff([]home.Result{home.Succeeded, home.Succeeded}, []home.Result{<-verdicts, <-verdicts}); diff != "" {
			t.Error(diff)
		}
		for i := range 4 {
			if n := p.ledger.Starts(fmt.Sprintf("a.0.0.%d", i)); n != 1 {
				t.Errorf("task %d started %d times", i, n)
			}
		}
		p.check()
	})
}

// An idle worker costs no calls, but for the acknowledgement of its last ends.
func TestIdleWorkersAreLeftAlone(t *testing.T) {
	withHome(t, 1, func(t *testing.T, p *place, h *home.Home) {
		submit(h, submission("a", 1))
		time.Sleep(time.Second)
		before := p.workers["w0"].Holds()
		time.Sleep(time.Minute)
		if n := p.workers["w0"].Holds() - before; n != 0 {
			t.Errorf("%d holds of an idle worker", n)
		}
	})
}

// Two workers, of which one stands still and the other one is full for long:
// the tasks that hang are given up all the same.
func TestStuckRunIsGivenUpWithoutRoomElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlace(t, 2)
		for _, w := range p.workers {
			w.RunTime = func(task string) time.Duration {
				if strings.HasPrefix(task, "long") {
					return time.Second
				}
				return runTime
			}
		}
		h := p.ready(1)
		defer p.close(h)
		long := submission("long", 2)
		long.Batch.Steps[0].Estimate = time.Second
		go submit(h, long) // fills the first worker
		time.Sleep(10 * time.Millisecond)
		p.workers["w1"].SetFaults(fakes.Faults{StandStill: true})

		began := time.Now()
		go submit(h, submission("stuck", 2))
		time.Sleep(500 * time.Millisecond)
		for i := range 2 {
			if w := p.ledger.Where(fmt.Sprintf("stuck.0.0.%d", i)); w != "" {
				t.Errorf("task %d still stands on %s after %v", i, w, time.Since(began))
			}
		}
		time.Sleep(2 * time.Second)
		p.check()
	})
}

// Jobs that came while their home knew no worker yet are refused as soon as it
// knows that they can't be served, not when they expire.
func TestBacklogFromBeforeTheHomeIsRefusedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlace(t, 1)
		h := p.home(1)
		defer p.close(h)
		type answer struct {
			verdict home.Result
			took    time.Duration
		}
		answers := make(chan answer, 30)
		for i := range 30 {
			go func() {
				began := time.Now()
				v := verdict(submit(h, submission(fmt.Sprintf("j%d", i), 2)))
				answers <- answer{v, time.Since(began)}
			}()
		}
		objective := 156 * time.Millisecond
		refused := 0
		for range 30 {
			a := <-answers
			if a.verdict != home.Refused {
				continue
			}
			refused++
			if a.took > objective {
				t.Errorf("refused after %v, the objective is %v", a.took, objective)
			}
		}
		if refused < 20 {
			t.Errorf("%d refused", refused)
		}
	})
}
