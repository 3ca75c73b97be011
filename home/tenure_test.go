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

// pathEndpoint is the path from a home to a worker, which can be cut.
type pathEndpoint struct {
	*fakes.LeasedWorker
	cut *atomic.Bool
}

// Start sends the request unless the path is cut.
func (e pathEndpoint) Start(s lease.Start, timeout time.Duration) (lease.Reply, error) {
	if e.cut.Load() {
		time.Sleep(timeout)
		return lease.Reply{}, fakes.ErrNoResponse
	}
	return e.LeasedWorker.Start(s, timeout)
}

// Stop sends the request unless the path is cut.
func (e pathEndpoint) Stop(s lease.Stop, timeout time.Duration) (lease.Reply, error) {
	if e.cut.Load() {
		time.Sleep(timeout)
		return lease.Reply{}, fakes.ErrNoResponse
	}
	return e.LeasedWorker.Stop(s, timeout)
}

// Renew sends the request unless the path is cut.
func (e pathEndpoint) Renew(r lease.Renewal, timeout time.Duration) (lease.Report, error) {
	if e.cut.Load() {
		time.Sleep(timeout)
		return lease.Report{}, fakes.ErrNoResponse
	}
	return e.LeasedWorker.Renew(r, timeout)
}

// isolation is a data centre whose first home can be cut off from the store, and of which each home has its own paths
// to the workers.
type isolation struct {
	*testCentre
	paths       map[string]*atomic.Bool // cut, by worker, of the home that is created next
	confirmedAt atomic.Pointer[time.Time]
}

func newIsolation(t *testing.T, workers int) *isolation {
	i := &isolation{testCentre: newTestCentre(t, workers)}
	i.resetPaths()
	i.store = i.lastConfirmedAt
	i.connect = func(w model.Worker, _ func(time.Duration)) home.Endpoint {
		return pathEndpoint{i.workers[w.ID], i.paths[w.ID]}
	}
	return i
}

// resetPaths gives the next home paths of its own, and returns those of the home before.
func (i *isolation) resetPaths() map[string]*atomic.Bool {
	before := i.paths
	i.paths = map[string]*atomic.Bool{}
	for id := range i.workers {
		i.paths[id] = &atomic.Bool{}
	}
	return before
}

// cutStore cuts the present homes off from the store, but not later ones.
func (i *isolation) cutStore() {
	now := time.Now()
	i.confirmedAt.Store(&now)
	i.store = nil
}

// lastConfirmedAt is when the store last named a home.
func (i *isolation) lastConfirmedAt() time.Time {
	if at := i.confirmedAt.Load(); at != nil {
		return *at
	}
	return time.Now()
}

// longJob returns a job of tasks that take a time.
func (i *isolation) longJob(id string, tasks int, runTime time.Duration) home.Submission {
	for _, w := range i.workers {
		w.RunTime = func(string) time.Duration { return runTime }
	}
	s := submission(id, tasks)
	s.Batch.Steps[0].Estimate, s.TimeLeft = runTime, 3*runTime
	return s
}

// Guards against a task that runs twice: a home that is cut off from the others and from the store extends a lease
// on a worker that its successor can't reach, and the successor repeats the run when it takes the lease for
// expired. The origin does not hear from the home, so that nothing names the run.
func TestHomeThatIsCutOffKeepsNoRunAliveThatItsSuccessorRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newIsolation(t, 5)
		earlier := dc.readyHome(1)
		defer dc.close(earlier)
		s := dc.longJob("a", 1, 10*time.Second)
		go submit(earlier, s)
		time.Sleep(100 * time.Millisecond)
		at := dc.ledger.WorkerOf("a.0.0.0")

		dc.cutStore()
		dc.resetPaths()
		dc.paths[at].Store(true)
		time.Sleep(heartbeatTimeout)
		later := dc.newHome(2)
		defer dc.close(later)
		s.Resumed = true
		if diff := cmp.Diff(home.Succeeded, resultOf(submit(later, s))); diff != "" {
			t.Errorf("result at the later home (-want +got):\n%s", diff)
		}
		dc.checkLedger()
		if diff := cmp.Diff(int32(1), min(dc.fenced.Load(), 1)); diff != "" {
			t.Errorf("the earlier home was told (-want +got):\n%s", diff)
		}
	})
}

// Guards against a task that runs twice since the homes ask too few workers: those that confirm an earlier home and
// those that have reported to the later one must have one in common, also if workers were added meanwhile.
func TestQuorumsOfTwoHomesOverlap(t *testing.T) {
	for n := 1; n <= 1200; n++ {
		for _, added := range []int{0, n / 4, n / 2} {
			if both := home.ConfirmationQuorum(n) + home.SuccessorQuorum(n+added); both <= n+added {
				t.Errorf("%d workers, %d added: %d of them are enough for both homes", n, added, both)
			}
		}
	}
}

// Guards against the same where each home reaches a part of the workers only, for all divisions: either the later
// home holds the task back, or the earlier one has stopped.
func TestHomesThatReachDifferentWorkersRunNoTaskTwice(t *testing.T) {
	const workers = 6
	for earlierReach := range workers + 1 {
		for laterReach := range workers + 1 {
			synctest.Test(t, func(t *testing.T) {
				dc := newIsolation(t, workers)
				earlier := dc.readyHome(1)
				defer dc.close(earlier)
				s := dc.longJob("a", 2*workers, 9*time.Second)
				go submit(earlier, s)
				time.Sleep(100 * time.Millisecond)
				dc.cutStore()
				paths := dc.resetPaths()
				for i := range workers {
					id := []string{"w0", "w1", "w2", "w3", "w4", "w5"}[i]
					paths[id].Store(i >= earlierReach)
					dc.paths[id].Store(i < workers-laterReach)
				}
				time.Sleep(heartbeatTimeout)
				later := dc.newHome(2)
				defer dc.close(later)
				s.Resumed, s.TimeLeft = true, 8*time.Second
				submit(later, s)
				dc.checkLedger()
				if t.Failed() {
					t.Logf("the earlier home reaches %d of %d workers, the later one %d", earlierReach, workers, laterReach)
				}
			})
		}
	}
}

// A home whose data centre is cut off as a whole goes on: the store is silent, and its workers have no other home.
// Without a third of them it refuses new jobs at once, until they are back.
func TestHomeOfADataCentreThatIsAloneGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newIsolation(t, 9)
		h := dc.readyHome(1)
		defer dc.close(h)
		long := dc.longJob("long", 1, 6*time.Second)
		done := make(chan home.Result, 1)
		go func() { done <- resultOf(submit(h, long)) }()
		time.Sleep(100 * time.Millisecond)
		at := dc.ledger.WorkerOf("long.0.0.0")
		dc.cutStore()
		time.Sleep(9 * time.Second)
		if diff := cmp.Diff(home.Succeeded, <-done); diff != "" {
			t.Errorf("job that began before the cut (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(1, dc.ledger.Starts("long.0.0.0")); diff != "" {
			t.Errorf("starts (-want +got):\n%s", diff)
		}

		paths, lost := dc.paths, 0
		for id, cut := range paths {
			if id != at && lost < 6 {
				cut.Store(true)
				lost++
			}
		}
		time.Sleep(5 * time.Second)
		if diff := cmp.Diff(home.Succeeded, resultOf(submit(h, dc.longJob("third", 1, runTime)))); diff != "" {
			t.Errorf("job with a third of the workers (-want +got):\n%s", diff)
		}
		for id, cut := range paths {
			cut.Store(id != at)
		}
		time.Sleep(5 * time.Second)
		began := time.Now()
		o := submit(h, dc.longJob("ninth", 1, runTime))
		if o.Result != home.Refused || o.RetryAfter <= 0 || time.Since(began) > 10*time.Millisecond {
			t.Errorf("job with a ninth of the workers: %+v after %v", o, time.Since(began))
		}
		inForce := []bool{h.State().InForce}
		for _, cut := range paths {
			cut.Store(false)
		}
		time.Sleep(time.Second)
		if diff := cmp.Diff([]bool{false, true}, append(inForce, h.State().InForce)); diff != "" {
			t.Errorf("in force without the workers and with them (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(home.Succeeded, resultOf(submit(h, dc.longJob("all", 1, runTime)))); diff != "" {
			t.Errorf("job with all workers (-want +got):\n%s", diff)
		}
	})
}

// Idle workers get no requests while the store confirms the home, and one a second or so while it is silent.
func TestWorkersAreAskedOnlyWhileTheStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newIsolation(t, 1)
		h := dc.readyHome(1)
		defer dc.close(h)
		count := func(d time.Duration) int {
			before := dc.workers["w0"].Renewals()
			time.Sleep(d)
			return dc.workers["w0"].Renewals() - before
		}
		if diff := cmp.Diff(0, count(20*time.Second)); diff != "" {
			t.Errorf("requests while the store responds (-want +got):\n%s", diff)
		}
		dc.cutStore()
		if n := count(22 * time.Second); n < 15 || n > 21 {
			t.Errorf("%d requests in 22 s without the store", n)
		}
		dc.confirmedAt.Store(nil)
		time.Sleep(2 * time.Second)
		if diff := cmp.Diff(0, count(20*time.Second)); diff != "" {
			t.Errorf("requests when the store is back (-want +got):\n%s", diff)
		}
	})
}

// Guards against bounds of two homes that don't fit: the last lease of a home that nothing confirms ends within the
// time for which its successor waits, and not much earlier.
func TestLastLeaseEndsWithinTheSuccessionTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newIsolation(t, 8)
		h := dc.readyHome(1)
		defer dc.close(h)
		go submit(h, dc.longJob("a", 1, 10*time.Second))
		time.Sleep(100 * time.Millisecond)
		at := dc.ledger.WorkerOf("a.0.0.0")
		dc.cutStore()
		confirmed := time.Now() // a successor starts right after that
		for id, cut := range dc.paths {
			cut.Store(id != at)
		}
		for dc.ledger.RunningTasks() > 0 {
			time.Sleep(time.Millisecond)
		}
		const maxSpare = 700 * time.Millisecond // the time between renewals, and home.LeaseMargin
		if spare := home.SuccessionTime(maxLease) - time.Since(confirmed); spare < home.LeaseMargin || spare > maxSpare {
			t.Errorf("the run has ended %v before the successor starts it again, want %v to %v", spare, home.LeaseMargin, maxSpare)
		}
	})
}

// A task is not held back for good by a worker that is lost together with the earlier home: it is started again when
// the worker has been away from the list for a while.
func TestTaskIsStartedAgainAfterTheLossOfItsWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 3)
		dc.workers["w0"].SetFaults(fakes.LeasedWorkerFaults{Unresponsive: true})
		h := dc.newHome(2)
		defer dc.close(h)
		s := submission("a", 1)
		s.Resumed, s.TimeLeft, s.Batch.Steps[0].Estimate = true, time.Minute, 20*time.Second
		began := time.Now()
		done := make(chan home.Result, 1)
		go func() { done <- resultOf(submit(h, s)) }()
		time.Sleep(5 * time.Second)
		if diff := cmp.Diff(0, dc.ledger.Starts("a.0.0.0")); diff != "" {
			t.Errorf("starts while the worker is listed (-want +got):\n%s", diff)
		}
		if h.State().RunsKnown {
			t.Error("the runs of the worker count as known")
		}
		delete(dc.listed, "w0")
		h.SetWorkers(dc.listed, false)
		if diff := cmp.Diff(home.Succeeded, <-done); diff != "" {
			t.Errorf("result (-want +got):\n%s", diff)
		}
		if took := time.Since(began); took < 15*time.Second || took > 25*time.Second {
			t.Errorf("started again after %v", took)
		}
	})
}

// The first home of a data centre has no runs of others to wait for, also if it does not reach a worker.
func TestFirstHomeHoldsNothingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, first := range []bool{false, true} {
			dc := newTestCentre(t, 3)
			dc.first = first
			dc.workers["w0"].SetFaults(fakes.LeasedWorkerFaults{Unresponsive: true})
			h := dc.readyHome(1)
			s := submission("a", 1)
			s.Resumed = true
			go submit(h, s)
			time.Sleep(100 * time.Millisecond)
			if diff := cmp.Diff(first, dc.ledger.Starts("a.0.0.0") > 0); diff != "" {
				t.Errorf("first home %t, started (-want +got):\n%s", first, diff)
			}
			dc.close(h)
		}
	})
}
