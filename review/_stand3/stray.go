package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"foxtailmux/fakes"
	"foxtailmux/model"
)

// Rounds and times of strayEntry.
const (
	strayRounds   = 5
	strayReadTime = 1100 * time.Millisecond // in which an instance has read an entry
	strayCores    = 64_000                  // that the entry of another writer names, in thousandths
)

// strayEntry has another writer write an entry under the id of a worker. It lacks fields of the page, so it names no
// worker to use. The worker, which guards no capacity, must not be taken over its own.
func strayEntry(f *fleet, trouble bool) (broken int, err error) {
	f.putConfig([]map[string]any{route("quotes", "desk")}, "desk")
	task := model.Resources{MilliCores: 6800, MemoryMB: 64}
	needs := func(string) model.Resources { return task }
	runTime := func(string) time.Duration { return 200 * time.Millisecond }
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
		if _, err := f.addInstance(smallMachine(fmt.Sprintf("edge-osr-a-%d", n+1))); err != nil {
			return 0, err
		}
	}
	home, err := f.waitHome("osr-a")
	if err != nil {
		return 0, err
	}
	time.Sleep(settleTime)

	c := newClient(f.record)
	for range strayRounds {
		w := f.workers[0]
		w.awaitBeat()
		if trouble {
			w.writeStray()
		}
		time.Sleep(strayReadTime)
		j := job{
			ID: newID(), Queue: "quotes", Spec: "quote", Timeout: 1500 * time.Millisecond,
			Steps: []step{{Replicas: 12, CPU: task.MilliCores, MemMB: task.MemoryMB, EstimateMS: 200}},
		}
		c.submit(home, j)
		broken += f.countOverCapacity(j, task)
		time.Sleep(settleTime)
	}
	return broken, nil
}

// awaitBeat waits until the worker has just written its row.
func (w *worker) awaitBeat() {
	w.mu.Lock()
	seq := w.seq
	w.mu.Unlock()
	for {
		time.Sleep(time.Millisecond)
		w.mu.Lock()
		written := w.seq != seq
		w.mu.Unlock()
		if written {
			return
		}
	}
}

// writeStray writes the entry of another writer under the id of the worker: without labels, version, slots, cold-ms,
// seq and born.
func (w *worker) writeStray() {
	text, _ := json.Marshal(map[string]any{
		"backend": w.service, "address": w.addr, "zone": w.zone, "state": "ready",
		"capacity": map[string]int{"cpu": strayCores, "mem-mb": 32_768},
	})
	w.fleet.record.printf("another writer writes servers/%s: %s", w.id, text)
	w.fleet.store.Put("servers/"+w.id, string(text))
}

// countOverCapacity records the runs of a job of equal tasks, and counts the starts that brought a worker over its
// capacity.
func (f *fleet) countOverCapacity(j job, task model.Resources) (broken int) {
	var runs []fakes.Run
	for n := range j.Steps[0].Replicas {
		runs = append(runs, f.ledger.Runs(j.task(0, n))...)
	}
	for _, r := range runs {
		var used model.Resources
		for _, other := range runs {
			if other.Worker == r.Worker && !other.Began.After(r.Began) && (other.Ended.IsZero() || other.Ended.After(r.Began)) {
				used = used.Plus(task)
			}
		}
		capacity, verdict := f.worker(r.Worker).kindAt(r.Began).capacity, ""
		if !used.Within(capacity) {
			verdict = ": LIMIT is broken"
			broken++
		}
		f.record.printf("run of %s began at %s on %s, %d of %d thousandths of a core are in use%s", r.Task, f.record.at(r.Began), r.Worker, used.MilliCores, capacity.MilliCores, verdict)
	}
	return broken
}
