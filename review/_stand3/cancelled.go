package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"foxtailmux/model"
)

// Bounds of the deployments' sheets.
const (
	cancelTime = 3000 * time.Millisecond // cancel_ms
	stopTime   = 50 * time.Millisecond   // stop-ms
)

// Times of cancelled. The job takes ten steps of half a second, one after the other.
const (
	cancelledRounds = 5
	cancelledSteps  = 10
	cancelledRun    = 500 * time.Millisecond
	cancelAfter     = 700 * time.Millisecond // from the job's request to that of its cancel
)

// cancelled cancels a job while its client waits for the answer. The cancel is acknowledged, so cancel_ms later no task
// of the job may start, and stop-ms after that none may run.
func cancelled(f *fleet, trouble bool) (broken int, err error) {
	f.putConfig([]map[string]any{route("quotes", "desk")}, "desk")
	needs := func(string) model.Resources { return model.Resources{MilliCores: 1000, MemoryMB: 64} }
	runTime := func(string) time.Duration { return cancelledRun }
	k := kind{label: "a", rack: "r1", capacity: model.Resources{MilliCores: 16_000, MemoryMB: 32_768}}
	for n := range 4 {
		if _, err := f.addWorker(fmt.Sprintf("i-%08x", 0x7f3a91c0+n), "desk", "osr-a", k, needs, runTime); err != nil {
			return 0, err
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	f.heartbeats(ctx)
	for n := range 2 {
		if _, err := f.addInstance(machine{name: fmt.Sprintf("edge-osr-a-%d", n+1), dataCentre: "osr-a", linkMbps: 1000}); err != nil {
			return 0, err
		}
	}
	home, err := f.waitHome("osr-a")
	if err != nil {
		return 0, err
	}
	time.Sleep(settleTime)

	c := newClient(f.record)
	for range cancelledRounds {
		j := job{ID: newID(), Queue: "quotes", Spec: "quote", Timeout: 10 * time.Second}
		for n := range cancelledSteps {
			s := step{Replicas: 2, CPU: 1000, MemMB: 64, EstimateMS: int(cancelledRun.Milliseconds())}
			if n > 0 {
				s.After = []int{n - 1}
			}
			j.Steps = append(j.Steps, s)
		}
		var client sync.WaitGroup
		client.Go(func() { c.submit(home, j) })
		time.Sleep(cancelAfter)
		var a answer
		if trouble {
			a = c.cancel(home, j)
		}
		client.Wait()
		if acknowledged := a.status/100 == 2 || a.status == http.StatusGone; acknowledged {
			broken += f.countAfterCancel(j, a.at)
		}
	}
	return broken, nil
}

// countAfterCancel records the runs of a job, and counts those that a cancel should have prevented or ended.
func (f *fleet) countAfterCancel(j job, acknowledged time.Time) (broken int) {
	limit := acknowledged.Add(cancelTime)
	for s := range j.Steps {
		for n := range j.Steps[s].Replicas {
			for _, r := range f.ledger.Runs(j.task(s, n)) {
				verdict := ""
				if r.Began.After(limit) || r.Ended.IsZero() || r.Ended.After(limit.Add(stopTime)) {
					verdict = ": UNASKED is broken"
					broken++
				}
				f.record.printf("run of %s began %d ms and ended %d ms after the acknowledgement%s", r.Task,
					r.Began.Sub(acknowledged).Milliseconds(), r.Ended.Sub(acknowledged).Milliseconds(), verdict)
			}
		}
	}
	return broken
}
