package home_test

import (
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"foxtailmux/fakes"
	"foxtailmux/home"
	"foxtailmux/lease"
	"foxtailmux/model"
)

// setRow replaces the row of a worker with one that describes its present incarnation.
func (dc *testCentre) setRow(h *home.Home, id string) {
	dc.describe(id)
	h.SetWorkers(dc.listed, true)
}

// describe makes the row of a worker that the next homes read describe its present incarnation.
func (dc *testCentre) describe(id string) {
	w := dc.listed[id]
	w.Capacity, w.Incarnation = dc.workers[id].Capacity, dc.workers[id].Incarnation()
	dc.listed[id] = w
}

// Guards against a worker above its capacity: it has restarted as a smaller one under its id, its next
// incarnation has reported its runs, and its row is read only later (review/5).
func TestRestartedWorkerGetsNoTaskBeforeItsRowDescribesIt(t *testing.T) {
	withHome(t, 1, func(t *testing.T, dc *testCentre, h *home.Home) {
		w := dc.workers["w0"]
		w.SetCapacity(model.Resources{MilliCores: 96 * core, MemoryMB: 1000})
		dc.setRow(h, "w0")
		results := make(chan home.Result, 4)
		go func() { results <- resultOf(submit(h, submission("running", 1))) }()
		time.Sleep(runTime / 2)
		w.SetCapacity(model.Resources{MilliCores: 64 * core, MemoryMB: 1000})
		w.Crash()
		time.Sleep(20 * time.Millisecond) // until its next incarnation has reported
		if n := dc.refreshes.Load(); n == 0 {
			t.Error("the row was not requested")
		}
		for _, id := range []string{"a", "b", "c"} {
			s := submission(id, 1)
			s.Resumed, s.TasksReported = true, true // waits for capacity
			go func() { results <- resultOf(submit(h, s)) }()
		}
		time.Sleep(300 * time.Millisecond)
		if diff := cmp.Diff(0, dc.ledger.RunningTasks()); diff != "" {
			t.Errorf("running tasks before the row is read (-want +got):\n%s", diff)
		}
		dc.setRow(h, "w0")
		for range 4 {
			if got := <-results; got != home.Succeeded {
				t.Errorf("result %q", got)
			}
		}
		dc.checkLedger()
	})
}

// The row of the next incarnation may be read before the incarnation has reported: the worker has to
// be asked, also if it is idle.
func TestRestartedIdleWorkerIsUsedAfterItsRowWasRead(t *testing.T) {
	withHome(t, 1, func(t *testing.T, dc *testCentre, h *home.Home) {
		dc.setRow(h, "w0")
		time.Sleep(time.Minute)
		dc.workers["w0"].Crash()
		dc.setRow(h, "w0")
		time.Sleep(time.Second)
		if diff := cmp.Diff(home.Succeeded, resultOf(submit(h, submission("a", 2)))); diff != "" {
			t.Errorf("result (-want +got):\n%s", diff)
		}
		before := dc.workers["w0"].Renewals()
		time.Sleep(time.Minute)
		if n := dc.workers["w0"].Renewals() - before; n > 2 {
			t.Errorf("%d requests in a minute to an idle worker that is described", n)
		}
	})
}

// Guards against tasks above a worker's capacity: an idle worker restarts with less, while no connection is
// open whose end would show it, and gets starts by its old row.
func TestIdleWorkerThatRestartedGetsNoTaskByItsOldRow(t *testing.T) {
	withHome(t, 1, func(t *testing.T, dc *testCentre, h *home.Home) {
		w := dc.workers["w0"]
		w.SetCapacity(model.Resources{MilliCores: 96 * core, MemoryMB: 1000})
		dc.setRow(h, "w0")
		if got := resultOf(submit(h, submission("before", 1))); got != home.Succeeded {
			t.Fatalf("result %q", got)
		}
		time.Sleep(time.Minute)
		w.SetCapacity(model.Resources{MilliCores: 64 * core, MemoryMB: 1000})
		w.Crash()
		results := make(chan home.Result, 3)
		for _, id := range []string{"a", "b", "c"} {
			s := submission(id, 1)
			s.Resumed, s.TasksReported = true, true // waits for capacity
			go func() { results <- resultOf(submit(h, s)) }()
		}
		time.Sleep(300 * time.Millisecond)
		if diff := cmp.Diff(0, dc.ledger.RunningTasks()); diff != "" {
			t.Errorf("running tasks before the row is read (-want +got):\n%s", diff)
		}
		if n := dc.refreshes.Load(); n == 0 {
			t.Error("the row was not requested")
		}
		dc.setRow(h, "w0")
		for range 3 {
			if got := <-results; got != home.Succeeded {
				t.Errorf("result %q", got)
			}
		}
		dc.checkLedger()
	})
}

// A worker that was slow is not avoided after its restart.
func TestHealthIsNotKeptOverARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 1)
		h := dc.readyHome(1)
		defer dc.close(h)
		dc.workers["w0"].SetFaults(fakes.LeasedWorkerFaults{Slowdown: 6})
		s := submission("slow", 2)
		s.TimeLeft = 5 * time.Second
		submit(h, s)
		health := func() int { return h.State().Workers["w0"].Health }
		if health() == 0 {
			t.Fatal("the slow worker is healthy")
		}
		dc.workers["w0"].SetFaults(fakes.LeasedWorkerFaults{})
		dc.workers["w0"].Crash()
		w := dc.listed["w0"]
		w.Incarnation = dc.workers["w0"].Incarnation()
		h.SetWorkers(map[string]model.Worker{"w0": w}, true)
		time.Sleep(time.Second)
		if diff := cmp.Diff(0, health()); diff != "" {
			t.Errorf("health state after the restart (-want +got):\n%s", diff)
		}
	})
}

// stopRecorder is an endpoint that records the tasks whose stop was requested.
type stopRecorder struct {
	*fakes.LeasedWorker
	mu    sync.Mutex
	tasks map[string]bool
}

// forget clears the record.
func (e *stopRecorder) forget() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.tasks)
}

// recorded returns the tasks.
func (e *stopRecorder) recorded() map[string]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.tasks)
}

// Stop records the task.
func (e *stopRecorder) Stop(s lease.Stop, timeout time.Duration) (lease.Reply, error) {
	e.mu.Lock()
	e.tasks[s.Task] = true
	e.mu.Unlock()
	return e.LeasedWorker.Stop(s, timeout)
}

// Guards against a start that is carried out late by the next incarnation of a worker, of another kind: it left the start
// without a response, and was away for so long that the home had forgotten it.
func TestLateStartIsStoppedOnAWorkerThatWasAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dc := newTestCentre(t, 1)
		endpoint := &stopRecorder{LeasedWorker: dc.workers["w0"], tasks: map[string]bool{}}
		dc.connect = func(model.Worker, func(time.Duration)) home.Endpoint { return endpoint }
		h := dc.readyHome(1)
		defer dc.close(h)
		endpoint.SetFaults(fakes.LeasedWorkerFaults{Unresponsive: true})
		submit(h, submission("a", 1))
		h.SetWorkers(map[string]model.Worker{}, true)
		time.Sleep(7 * time.Second) // a start may be carried out 12 s late
		endpoint.forget()
		endpoint.SetFaults(fakes.LeasedWorkerFaults{})
		endpoint.Crash()
		dc.setRow(h, "w0")
		time.Sleep(100 * time.Millisecond)
		if diff := cmp.Diff(map[string]bool{"a.0.0.0": true}, endpoint.recorded()); diff != "" {
			t.Errorf("tasks whose stop the next incarnation was sent (-want +got):\n%s", diff)
		}
		h.SetWorkers(map[string]model.Worker{}, true)
		time.Sleep(12 * time.Second)
		if diff := cmp.Diff(0, len(h.State().Workers)); diff != "" {
			t.Errorf("workers kept after that (-want +got):\n%s", diff)
		}
	})
}

// Guards against a worker that is not used for a second after its restart, since the one start that was meant for its
// earlier incarnation counted as a refusal of work.
func TestStartForAnEarlierIncarnationEjectsNoWorker(t *testing.T) {
	withHome(t, 1, func(t *testing.T, dc *testCentre, h *home.Home) {
		dc.workers["w0"].Crash()
		result := make(chan home.Result, 1)
		began := time.Now()
		go func() { result <- resultOf(submit(h, submission("a", 2))) }()
		time.Sleep(20 * time.Millisecond)
		dc.setRow(h, "w0")
		if diff := cmp.Diff(home.Succeeded, <-result); diff != "" {
			t.Errorf("result (-want +got):\n%s", diff)
		}
		if took := time.Since(began); took > objective {
			t.Errorf("the job took %v, its objective is %v", took, objective)
		}
	})
}
