package home_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"foxtailmux/fakes"
	"foxtailmux/home"
)

// fullHome returns a home whose workers run two tasks each that do not end, and a context for
// further jobs. The home has idle workers of another pool besides.
func fullHome(t testing.TB, workers, idle int) (*testCentre, *home.Home, context.Context) {
	dc := newTestCentre(t, workers+idle)
	for _, w := range dc.workers {
		w.RunTime = func(string) time.Duration { return time.Hour }
	}
	for i := range idle {
		w := dc.listed[fmt.Sprintf("w%d", i)]
		w.Pool = "idle"
		dc.listed[w.ID] = w
	}
	h := dc.readyHome(1)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		dc.close(h)
	})
	submitWaiting(ctx, h, "full", 1, 2*workers)
	time.Sleep(300 * time.Millisecond)
	return dc, h, ctx
}

// submitWaiting submits jobs that wait for free capacity: a job that an earlier home may have
// begun is never refused.
func submitWaiting(ctx context.Context, h *home.Home, name string, jobs, tasks int) {
	for i := range jobs {
		s := submission(fmt.Sprintf("%s%d", name, i), tasks)
		s.Resumed, s.TasksReported, s.TimeLeft = true, true, time.Hour
		s.Batch.Steps[0].Estimate = time.Hour
		go h.Submit(ctx, s)
	}
}

// updateCost returns the least time that one update of the workers' list takes, which ends with a
// pass over the waiting jobs.
func updateCost(dc *testCentre, h *home.Home) time.Duration {
	const repeats = 50
	least := time.Hour
	for range repeats {
		began := time.Now()
		h.SetWorkers(dc.listed, true)
		least = min(least, time.Since(began))
	}
	return least
}

// A burst on a data centre of 183 workers was not served: once jobs waited, each event made the home
// check every worker for every waiting task.
func TestWaitingTasksCostLittleWhileAllWorkersAreFull(t *testing.T) {
	const (
		workers     = 183
		jobs, tasks = 30, 32
		mostGrowth  = 4.0
	)
	for name, idle := range map[string]int{"alone": 0, "beside idle workers of another pool": workers} {
		t.Run(name, func(t *testing.T) {
			dc, h, ctx := fullHome(t, workers, idle)
			before := updateCost(dc, h)
			submitWaiting(ctx, h, "waiting", jobs, tasks)
			time.Sleep(300 * time.Millisecond)
			after := updateCost(dc, h)

			growth := float64(after) / float64(before)
			t.Logf("%v without waiting tasks, %v with %d, %.1f times as much", before, after, jobs*tasks, growth)
			if growth > mostGrowth {
				t.Errorf("an event takes %.1f times as long while %d tasks wait, want at most %.1f", growth, jobs*tasks, mostGrowth)
			}
		})
	}
}

// takeoverTime returns how long a new home takes until it has adopted the runs of an earlier one on
// all workers, while jobs wait that have no run there.
func takeoverTime(t *testing.T, workers, jobs, tasks int) time.Duration {
	dc, earlier, _ := fullHome(t, workers, 0)
	dc.close(earlier)
	for _, w := range dc.workers {
		w.SetFaults(fakes.LeasedWorkerFaults{Unresponsive: true})
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h := dc.newHome(2)
	defer dc.close(h)
	submitWaiting(ctx, h, "waiting", jobs, tasks)
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	for _, w := range dc.workers {
		w.SetFaults(fakes.LeasedWorkerFaults{})
	}
	for h.FreeCapacity().Capacity < workers*workerSize {
		time.Sleep(time.Millisecond)
	}
	return time.Since(began)
}

// A new home of 183 workers needed a second to adopt the runs of an earlier one, since each report of
// a worker made it search every worker for every waiting task.
func TestTakeoverIsNotDelayedByWaitingJobs(t *testing.T) {
	const (
		workers     = 183
		jobs, tasks = 200, 8
		mostGrowth  = 20.0
		repeats     = 3
	)
	without, with := time.Hour, time.Hour
	for range repeats {
		without = min(without, takeoverTime(t, workers, 0, tasks))
		with = min(with, takeoverTime(t, workers, jobs, tasks))
	}
	growth := float64(with) / float64(without)
	t.Logf("%v without waiting jobs, %v with %d, %.1f times as much", without, with, jobs, growth)
	if growth > mostGrowth {
		t.Errorf("a takeover takes %.1f times as long while %d jobs wait, want at most %.0f", growth, jobs, mostGrowth)
	}
}
