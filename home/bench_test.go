package home_test

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// BenchmarkSubmitWithManyWaiting measures the cost of one more job at a home with 88 full
// workers and 600 waiting jobs, as after a burst on a large deployment.
func BenchmarkSubmitWithManyWaiting(b *testing.B) {
	dc := newTestCentre(b, 88)
	for _, w := range dc.workers {
		w.RunTime = func(string) time.Duration { return time.Hour }
	}
	dc.freeDataCentre = func(int) (string, bool) { return "", false }
	h := dc.readyHome(1)
	defer dc.close(h)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range 776 { // 176 of them run
		s := submission(fmt.Sprintf("waiting%d", i), 1)
		s.Resumed, s.TasksReported, s.TimeLeft = true, true, time.Hour // a resumed job is not refused
		s.Batch.Steps[0].Estimate = time.Hour
		go h.Submit(ctx, s)
	}
	time.Sleep(500 * time.Millisecond)

	for i := 0; b.Loop(); i++ {
		s := submission(fmt.Sprintf("j%d", i), 1)
		s.Immediate = true // returns at once
		h.Submit(ctx, s)
	}
}

// BenchmarkSubmitToBusyWorkers measures the cost of a job of eight tasks that starts at once at a
// home with 183 workers, each of which runs a task.
func BenchmarkSubmitToBusyWorkers(b *testing.B) {
	const workers = 183
	dc := newTestCentre(b, workers)
	for _, w := range dc.workers {
		w.RunTime = func(string) time.Duration { return time.Hour }
	}
	h := dc.readyHome(1)
	defer dc.close(h)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range workers {
		s := submission(fmt.Sprintf("running%d", i), 1)
		s.Batch.Steps[0].Needs.MilliCores = 40 * core // one fits on a worker
		s.TimeLeft = time.Hour
		go h.Submit(ctx, s)
	}
	time.Sleep(300 * time.Millisecond)

	disconnected, disconnect := context.WithCancel(context.Background())
	disconnect()
	for i := 0; b.Loop(); i++ {
		s := submission(fmt.Sprintf("j%d", i), 8)
		s.Batch.Steps[0].Needs.MilliCores = core
		h.Submit(disconnected, s)
		b.StopTimer()
		time.Sleep(time.Millisecond) // lets the stops be sent
		b.StartTimer()
	}
}
