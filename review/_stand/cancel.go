package main

import (
	"net/http"
	"time"
)

const (
	cancelTime = 3000 * time.Millisecond // bounds.cancel_ms
	stopBound  = 50 * time.Millisecond   // bounds.stop-ms
)

// cancelled shows a task that runs on after its job was cancelled.
func cancelled(e *env) {
	q := route{"main", "/main1/"}
	e.configure(1, q)
	for _, id := range []string{"w-1", "w-2"} {
		startWorker(e, id, "zone1", kind{64_000, 131_072, "a", "r1-1"})
	}
	one := e.addInstance("edge-zone1-1", "zone1", false)
	e.addInstance("edge-zone1-2", "zone1", false)
	e.awaitReady("zone1")

	j := jobSpec{id: newID(), prefix: q.prefix, tasks: 3, cpu: 27_000, estimate: 8 * time.Second, work: 8 * time.Second, timeout: 20 * time.Second}
	answered := make(chan reply, 1)
	go func() { answered <- e.submit(one, j) }()
	time.Sleep(time.Second)
	var acked time.Time
	if e.trouble {
		for {
			r := e.call(one, http.MethodDelete, j.prefix+j.id, nil, 1500*time.Millisecond)
			if r.status == 410 || r.status/100 == 2 {
				break
			}
			time.Sleep(300 * time.Millisecond)
		}
		acked = time.Now()
	}
	r := <-answered

	late, done := 0, 0
	for i := range j.tasks {
		for _, run := range e.runsOf(taskName(j.id, i)) {
			if run.ended == "done" {
				done++
			}
			if e.trouble && (run.ended == "" || run.endedAt.After(acked.Add(cancelTime+stopBound+50*time.Millisecond))) {
				late++
			}
		}
	}
	if late > 0 {
		e.finish(broken, "UNASKED broken: %d tasks ran on more than cancel_ms + stop-ms after the cancelling was acknowledged; the job was answered %v", late, r)
	}
	if !e.trouble && done < j.tasks {
		e.fail("the job did not end: %v", r)
	}
	e.finish(held, "held: no task ran on after its job was cancelled; the job was answered %v", r)
}
