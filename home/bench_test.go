package home_test

import (
	"context"
	"fmt"
	"strconv"
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

// BenchmarkHeldTasks measures the cost of a pass, together with a new list of workers, at a home with 183
// workers, while no task or 32 tasks are held for places in a full rack of 8 workers.
func BenchmarkHeldTasks(b *testing.B) {
	for _, held := range []int{0, 32} {
		b.Run(strconv.Itoa(held), func(b *testing.B) { benchmarkHeldTasks(b, held) })
	}
}

func benchmarkHeldTasks(b *testing.B, held int) {
	const workers, places = 183, 16
	dc := newTestCentre(b, workers)
	dc.farFactor = 3
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		info := dc.listed[id]
		info.Rack = fmt.Sprintf("r%d", i/8)
		dc.listed[id] = info
		dc.workers[id].RunTime = func(string) time.Duration { return time.Hour }
	}
	h := dc.readyHome(1)
	defer dc.close(h)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range places + held {
		s := submission(fmt.Sprintf("hot%d", i), 1)
		s.Batch.Steps[0].Estimate, s.Batch.Steps[0].Rack, s.TimeLeft = time.Hour, "r0", 9*time.Hour
		go h.Submit(ctx, s)
	}
	time.Sleep(500 * time.Millisecond)
	if n := h.Pending(quotes.Name); n != held {
		b.Fatalf("%d tasks are held, want %d", n, held)
	}
	for b.Loop() {
		h.SetWorkers(dc.listed, true)
	}
}
