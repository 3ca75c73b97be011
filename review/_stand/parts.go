package main

import (
	"fmt"
	"sync"
	"time"
)

// standStill is how long tasks on one worker stand still.
const standStill = 5 * time.Second

// parts shows a job that is answered as succeeded although two of its tasks never ended done.
//
// Two zones with one home each. Other jobs hold a part of the workers, so the job of 8 tasks is
// divided: 5 tasks in zone 1, 3 in zone 2. The trouble: tasks on one worker of zone 2 stand still.
// The client gets 504 and sends the job again 1.3 s later, as the pages say. By then zone 1 has
// room for 7 tasks.
func parts(e *env) {
	q := route{"main", "/main1/"}
	other := route{"other", "/other1/"}
	e.configure(1, q, other)
	const cpu = 8000
	startWorker(e, "w-one", "zone1", kind{8 * cpu, 131072, "b", "r1-1"})
	small := startWorker(e, "w-two-a", "zone2", kind{3 * cpu, 131072, "a", "r2-1"})
	startWorker(e, "w-two-b", "zone2", kind{8 * cpu, 131072, "b", "r2-2"})
	for i := range 4 { // workers that other jobs hold all the time, so that 1 worker of 11 stands still
		startWorker(e, fmt.Sprintf("w-one-c%d", i), "zone1", kind{cpu, 131072, "c", "r1-2"})
		startWorker(e, fmt.Sprintf("w-two-c%d", i), "zone2", kind{cpu, 131072, "c", "r2-3"})
	}
	one := e.addInstance("edge-zone1-1", "zone1", false)
	two := e.addInstance("edge-zone2-1", "zone2", false)
	e.awaitReady("zone1", "zone2")

	if e.trouble {
		small.mu.Lock()
		small.hang = true
		small.mu.Unlock()
		e.rec.note("trouble: tasks on worker %s, one of %d, stand still from now on for %v", small.id, len(e.workers), standStill)
		time.AfterFunc(standStill, func() {
			small.mu.Lock()
			defer small.mu.Unlock()
			small.hang = false
			e.rec.note("trouble: tasks on worker %s work again", small.id)
		})
	}
	var others sync.WaitGroup
	fill := func(in *instance, label string, n int, work time.Duration) {
		for range n {
			others.Add(1)
			go func() {
				defer others.Done()
				e.submit(in, jobSpec{id: newID(), prefix: other.prefix, tasks: 1, cpu: cpu, estimate: work, work: work, requires: label, timeout: 20 * time.Second})
			}()
		}
	}
	fill(one, "b", 2, 2200*time.Millisecond)
	fill(one, "b", 1, 7*time.Second)
	fill(two, "b", 1, 2200*time.Millisecond)
	fill(two, "b", 7, 7*time.Second)
	fill(one, "c", 4, 7*time.Second)
	fill(two, "c", 4, 7*time.Second)
	time.Sleep(400 * time.Millisecond)

	j := jobSpec{id: newID(), prefix: q.prefix, tasks: 8, cpu: cpu, estimate: 400 * time.Millisecond, work: 400 * time.Millisecond, timeout: 1500 * time.Millisecond}
	var r reply
	for try := 1; try <= 4; try++ {
		if r = e.submit(one, j); r.err == nil && r.status != 502 && r.status != 504 {
			break
		}
		time.Sleep(1300 * time.Millisecond) // bounds.retry-ms
	}
	answered := time.Now()
	if r.status != 200 || r.body != `{"state":"succeeded"}` {
		e.finish(unable, "the job was not answered as succeeded: %v", r)
	}
	var missing []int
	for i := range j.tasks {
		done := false
		for _, run := range e.runsOf(taskName(j.id, i)) {
			done = done || run.ended == "done" && run.endedAt.Before(answered)
		}
		if !done {
			missing = append(missing, i)
		}
	}
	if len(missing) > 0 {
		e.finish(broken, "MIXED broken: job %s was answered 200 %s, but its tasks %v never ended done", j.id, r.body, missing)
	}
	e.finish(held, "held: all tasks of job %s ended done before it was answered as succeeded", j.id)
}
