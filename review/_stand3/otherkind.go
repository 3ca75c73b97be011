package main

import (
	"context"
	"fmt"
	"time"

	"foxtailmux/model"
)

// Rounds and times of otherKind. A crash of a worker lasts up to 5 s by the page of the bench.
const (
	otherKindRounds = 8
	idleTime        = 700 * time.Millisecond // from a job's end to the crash
	downTime        = 500 * time.Millisecond
	returnTime      = 50 * time.Millisecond // from the return of the worker to the next job
	settleTime      = 3 * time.Second       // until all know of the worker's boot
)

// otherKind crashes an idle worker that has the label a, and starts it again without that label. Jobs that require the
// label must not start a task on it.
func otherKind(f *fleet, trouble bool) (broken int, err error) {
	f.putConfig([]map[string]any{route("quotes", "desk")}, "desk")
	needs := func(string) model.Resources { return model.Resources{MilliCores: 1000, MemoryMB: 64} }
	runTime := func(string) time.Duration { return 60 * time.Millisecond }
	a := kind{label: "a", rack: "r1", capacity: model.Resources{MilliCores: 16_000, MemoryMB: 32_768}}
	b := kind{label: "b", rack: "r1", capacity: a.capacity}
	for n := range 6 {
		k := b
		if n == 0 {
			k = a
		}
		if _, err := f.addWorker(fmt.Sprintf("i-%08x", 0x7f3a91c0+n), "desk", "osr-a", k, needs, runTime); err != nil {
			return 0, err
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	f.heartbeats(ctx)
	for n := range 2 {
		if _, err := f.addInstance(smallMachine(fmt.Sprintf("edge-osr-a-%d", n+1))); err != nil {
			return 0, err
		}
	}
	home, err := f.waitHome("osr-a")
	if err != nil {
		return 0, err
	}
	time.Sleep(settleTime)

	w, c := f.workers[0], newClient(f.record)
	for range otherKindRounds {
		jobs := []job{newLabelJob(1), newLabelJob(8)}
		c.submit(home, jobs[0])
		time.Sleep(idleTime)
		if trouble {
			w.crash()
			time.Sleep(downTime)
			if err := w.start(b); err != nil {
				return broken, err
			}
			time.Sleep(returnTime)
		}
		c.submit(home, jobs[1])
		broken += f.countOtherKind(jobs)
		if trouble {
			w.crash()
			time.Sleep(downTime)
			if err := w.start(a); err != nil {
				return broken, err
			}
		}
		time.Sleep(settleTime)
	}
	return broken, nil
}

// newLabelJob returns a job of short tasks that require the label a.
func newLabelJob(tasks int) job {
	return job{
		ID: newID(), Queue: "quotes", Spec: "quote", Timeout: 1500 * time.Millisecond,
		Steps: []step{{Replicas: tasks, CPU: 1000, MemMB: 64, EstimateMS: 60, Requires: "a"}},
	}
}

// countOtherKind records the runs of the jobs, and counts those that began on a boot without the label that they
// require.
func (f *fleet) countOtherKind(jobs []job) (broken int) {
	for _, j := range jobs {
		for n := range j.Steps[0].Replicas {
			for _, r := range f.ledger.Runs(j.task(0, n)) {
				label := f.worker(r.Worker).kindAt(r.Began).label
				verdict := ""
				if label != j.Steps[0].Requires {
					verdict = ": ROUTE is broken"
					broken++
				}
				f.record.printf("run of %s began at %s on %s with the label %s, requires %s%s", r.Task, f.record.at(r.Began), r.Worker, label, j.Steps[0].Requires, verdict)
			}
		}
	}
	return broken
}
