package home_test

import (
	"fmt"
	"math"
	"strings"
	"sync"
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

// divisionPart is a part of a job that is submitted to a home.
type divisionPart struct {
	home    *home.Home
	part    home.Part
	resumed bool // declined by the home of another data centre
}

// submitDivision submits the parts of a job at the same time and returns their results.
func submitDivision(s home.Submission, parts ...divisionPart) []home.Result {
	results := make([]home.Result, len(parts))
	done := make(chan struct{})
	for i, p := range parts {
		go func() {
			defer func() { done <- struct{}{} }()
			s := s
			s.Part, s.NoRedirect, s.Resumed, s.TasksReported = &p.part, true, p.resumed, p.resumed
			s.Immediate = !p.resumed
			results[i] = resultOf(submit(p.home, s))
		}()
	}
	for range parts {
		<-done
	}
	return results
}

// record is a job of 8 tasks that is submitted in two divisions: 0 to 2 at the data centre a, 3 to 5 at
// one that does not respond, 6 and 7 at b, then 0 to 3, 4 and 5, 6 and 7 at a. Task 2 fails once at a.
type record struct {
	*testing.T
	a, b    *testCentre
	homeA   *home.Home
	changes bool         // some reports are to arrive changed
	changed atomic.Int32 // reports that did not arrive as they were sent
}

func newRecord(t *testing.T) *record {
	r := &record{T: t, a: newTestCentre(t, 3), b: newTestCentre(t, 3)}
	var failed atomic.Bool
	for _, w := range r.a.workers {
		w.RunTime = func(string) time.Duration { return 30 * time.Millisecond }
		w.Fails = func(task string) bool { return task == "a.0.0.2" && !failed.Swap(true) }
	}
	return r
}

// play is playOnce, in which some report has to arrive changed if that was asked for.
func (r *record) play(between func()) {
	r.Helper()
	r.playOnce(between)
	if r.changes && r.changed.Load() == 0 {
		r.Error("no report was changed")
	}
}

// playOnce submits the divisions, with a call of between after the first. The job may be answered as
// succeeded only if each of its tasks has ended done at a.
func (r *record) playOnce(between func()) {
	r.Helper()
	r.homeA = r.a.readyHome(22)
	homeB := r.b.readyHome(23)
	defer func() { r.a.close(r.homeA) }()
	defer r.b.close(homeB)

	s := submission("a", 8)
	s.TimeLeft = 1500 * time.Millisecond
	s.Content = s.Batch.Digest()
	first := submitDivision(s,
		divisionPart{home: r.homeA, part: home.Part{First: 0, Count: 3}},
		divisionPart{home: homeB, part: home.Part{First: 6, Count: 2}})
	if diff := cmp.Diff([]home.Result{home.Succeeded, home.Succeeded}, first); diff != "" {
		r.Errorf("results of the first division (-want +got):\n%s", diff)
	}

	between()
	s.Origin = "other"
	second := submitDivision(s,
		divisionPart{home: r.homeA, part: home.Part{First: 0, Count: 4}},
		divisionPart{home: r.homeA, part: home.Part{First: 4, Count: 2}, resumed: true},
		divisionPart{home: r.homeA, part: home.Part{First: 6, Count: 2}, resumed: true})
	if diff := cmp.Diff([]home.Result{home.Succeeded, home.Succeeded, home.Succeeded}, second); diff != "" {
		r.Errorf("results of the second division (-want +got):\n%s", diff)
	}
	for i := range 8 {
		if task := fmt.Sprintf("a.0.0.%d", i); r.a.ledger.Done(task) == 0 {
			r.Errorf("task %d has not ended done at the home that answered for it", i)
		}
	}
	r.a.checkLedger()
	r.b.checkLedger()
}

// recordedResubmission is the time from the first submission of the record to the second.
const recordedResubmission = 1430 * time.Millisecond

// Guards against a job that is answered as succeeded although task 3 never ran (MIXED): its second
// division has a longer part from task 0 than the first one, which has ended without its middle part.
func TestSecondDivisionRunsTheTasksThatTheFirstLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRecord(t)
		r.play(func() { time.Sleep(recordedResubmission) })
	})
}

// reportingWorker is a worker whose reports are changed on their way.
type reportingWorker struct {
	*fakes.LeasedWorker
	change func(lease.Report) lease.Report
}

// Renew returns the changed report.
func (w reportingWorker) Renew(r lease.Renewal, timeout time.Duration) (lease.Report, error) {
	report, err := w.LeasedWorker.Renew(r, timeout)
	if err != nil {
		return report, err
	}
	return w.change(report), nil
}

// changeReports changes the reports of the workers of a.
func (r *record) changeReports(change func(id string, l lease.Report) lease.Report) {
	r.changes = true
	r.a.connect = func(w model.Worker, _ func(time.Duration)) home.Endpoint {
		return reportingWorker{r.a.workers[w.ID], func(l lease.Report) lease.Report { return change(w.ID, l) }}
	}
}

// endsPerReport is the number of ended runs that a worker lists at once.
const endsPerReport = 500

// cutEnds makes the workers of a list the first ended runs only.
func (r *record) cutEnds() {
	r.changeReports(func(_ string, l lease.Report) lease.Report {
		if len(l.Ended) > endsPerReport {
			l.Ended = l.Ended[:endsPerReport]
			r.changed.Add(1)
		}
		return l
	})
}

// addEnds makes each worker of a list more ended runs than a report has, under a token.
func (r *record) addEnds(token int64) {
	r.Helper()
	for id, w := range r.a.workers {
		taskNeeds, runTime := w.Needs, w.RunTime
		w.Needs = func(string) model.Resources { return model.Resources{} }
		w.RunTime = func(string) time.Duration { return time.Millisecond }
		for i := range int64(endsPerReport + 100) {
			run := lease.Start{Task: fmt.Sprintf("%s-%d.0.0.%d", id, token, i), Run: token<<24 + i, Token: token, Until: math.MaxInt64, Incarnation: w.Incarnation()}
			if reply, err := w.Start(run, time.Second); err != nil || reply.Refusal != lease.Accepted {
				r.Fatalf("start of %s: %+v, %v", run.Task, reply, err)
			}
		}
		time.Sleep(2 * time.Millisecond) // until the last run has ended
		w.Needs, w.RunTime = taskNeeds, runTime
	}
}

// Guards against a job that is answered as succeeded without all of its tasks (MIXED), or a task that
// runs twice, where the workers list more ended runs than a report has.
func TestSecondDivisionWithReportsThatAreCut(t *testing.T) {
	t.Run("same home", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			r := newRecord(t)
			r.cutEnds()
			r.addEnds(21)
			r.play(func() { time.Sleep(recordedResubmission) })
		})
	})
	for name, gap := range map[string]time.Duration{"later home": recordedResubmission, "later home at once": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRecord(t)
				r.cutEnds()
				r.addEnds(21)
				r.play(func() {
					time.Sleep(gap)
					r.a.close(r.homeA)
					r.addEnds(23)
					r.homeA = r.a.newHome(24)
				})
			})
		})
	}
}

// Guards against the same where a worker answers a second time, late, and a report comes in the place of
// a later one.
func TestSecondDivisionWithReportsOfEarlierRequests(t *testing.T) {
	for _, every := range []int{1, 2, 3} { // each report is a late one, each other one, each third one
		for back := 1; back <= 3; back++ {
			t.Run(fmt.Sprintf("one of %d is %d late", every, back), func(t *testing.T) {
				var changed int32
				for range 5 { // how many reports a worker makes depends on the placement
					synctest.Test(t, func(t *testing.T) { changed += playWithEarlierReports(t, every, back) })
				}
				if changed == 0 {
					t.Error("no report was changed")
				}
			})
		}
	}
}

// playWithEarlierReports plays the record with an earlier report in place of each that is due, and returns the
// number of these.
func playWithEarlierReports(t *testing.T, every, back int) (changed int32) {
	r := newRecord(t)
	var mu sync.Mutex
	reports := map[string][]lease.Report{}
	r.changeReports(func(id string, l lease.Report) lease.Report {
		mu.Lock()
		defer mu.Unlock()
		list := append(reports[id], l)
		reports[id] = list
		if len(list) <= back || len(list)%every != 0 {
			return l
		}
		r.changed.Add(1)
		return list[len(list)-1-back]
	})
	r.playOnce(func() { time.Sleep(recordedResubmission) })
	return r.changed.Load()
}

// joinAfterTakeover has a home start a job on a worker that then responds to nobody, replaces the home,
// and submits the job to the later one: first as its caller did once more, then as the first origin does.
// Tasks of other jobs take the other worker for a time.
func joinAfterTakeover(t *testing.T, busy time.Duration, left time.Duration) (dc *testCentre, results []home.Result) {
	dc = newTestCentre(t, 2)
	runTimes := func(task string) time.Duration {
		if strings.HasPrefix(task, "a.") {
			return 700 * time.Millisecond
		}
		return busy
	}
	for _, w := range dc.workers {
		w.RunTime = runTimes
	}
	first := dc.readyHome(1)
	for _, w := range dc.workers {
		w.SetFaults(fakes.LeasedWorkerFaults{Unhealthy: w.ID == "w0"})
	}
	moved := make(chan home.Outcome, 1)
	s := submission("a", 1)
	go func() { moved <- submit(first, s) }()
	time.Sleep(50 * time.Millisecond)
	if diff := cmp.Diff("w1", dc.ledger.WorkerOf("a.0.0.0")); diff != "" {
		t.Fatalf("worker of the task (-want +got):\n%s", diff)
	}
	dc.workers["w0"].SetFaults(fakes.LeasedWorkerFaults{})
	dc.workers["w1"].SetFaults(fakes.LeasedWorkerFaults{Unresponsive: true})
	dc.close(first)
	o := <-moved

	later := dc.newHome(2)
	defer dc.close(later)
	time.Sleep(100 * time.Millisecond)
	others := make(chan home.Result, 2)
	for i := range 2 {
		other := submission(fmt.Sprintf("other%d", i), 1)
		go func() { others <- resultOf(submit(later, other)) }()
	}
	time.Sleep(20 * time.Millisecond)

	again, resumed := s, s
	again.Origin = "other"
	resumed.Resumed, resumed.TasksReported, resumed.Done, resumed.MaybeRunning = true, true, o.Done, o.MaybeRunning
	answers := make(chan home.Result, 2)
	for _, s := range []home.Submission{again, resumed} {
		s.TimeLeft = left
		go func() { answers <- resultOf(submit(later, s)) }()
		time.Sleep(5 * time.Millisecond)
	}
	for range 2 {
		results = append(results, <-answers)
		<-others
	}
	return dc, results
}

// Guards against a task that runs twice: a submission that an earlier home may have begun joins a waiting
// job that is new to the later home, which then started the task beside the earlier run.
func TestTaskOfAnEarlierHomeIsNotStartedForAJobThatItsOriginJoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc, results := joinAfterTakeover(t, 100*time.Millisecond, 2*time.Second)
		t.Log(results)
		dc.checkLedger()
	})
}

// Guards against a job that is answered as not run although an earlier home has begun it, by the same join.
func TestJobThatAnEarlierHomeBeganIsNotRefusedAfterAJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, results := joinAfterTakeover(t, 5*time.Second, 600*time.Millisecond)
		for _, r := range results {
			if r == home.Refused {
				t.Errorf("results %v", results)
			}
		}
	})
}

// Guards against a task that runs at two homes: a home that ends a job is replaced before its stops arrive,
// and the next one keeps the runs for the job's origin, although the caller has left.
func TestCancelAtALaterHomeStopsTheRunsOfTheEarlierOne(t *testing.T) {
	const settle = 100 * time.Millisecond // reports, the next tick and the end of a run that is stopped
	part := func(first, count int) home.Submission {
		s := submission("a", 4)
		s.Part, s.NoRedirect = &home.Part{First: first, Count: count}, true
		return s
	}
	cases := map[string]struct {
		running, cancelled home.Submission
		late               bool // the cancel arrives after the reports of the workers
		want               int  // runs that go on
	}{
		"before the reports": {submission("a", 4), submission("a", 4), false, 0},
		"after the reports":  {submission("a", 4), submission("a", 4), true, 0},
		"of another job":     {submission("a", 4), submission("a1", 4), false, 4},
		"of a part":          {submission("a", 4), part(1, 2), false, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dc := newTestCentre(t, 2)
				for _, w := range dc.workers {
					w.RunTime = func(string) time.Duration { return 2 * time.Second }
				}
				first := dc.readyHome(1)
				go submit(first, c.running)
				time.Sleep(50 * time.Millisecond)
				dc.close(first)
				later := dc.newHome(2)
				defer dc.close(later)
				if c.late {
					time.Sleep(settle)
				}
				later.Cancel(c.cancelled.Key(), c.cancelled.ID())
				time.Sleep(settle)
				if diff := cmp.Diff(c.want, dc.ledger.RunningTasks()); diff != "" {
					t.Errorf("running tasks (-want +got):\n%s", diff)
				}
			})
		})
	}
}
