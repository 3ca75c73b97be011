package main

import (
	"time"
)

// perServer shows more tasks of a step on a worker than its max-per-server allows.
//
// Two zones with one home each. Other jobs hold a half of the workers, so a job of 4 tasks, at most
// one on a worker, is divided over the zones. The home of zone 2 is killed shortly before the job.
func perServer(e *env) {
	q, other := route{"main", "/main1/"}, route{"other", "/other1/"}
	e.configure(1, q, other)
	const cpu = 27_000
	usual := kind{64_000, 131_072, "a", "r1-1"}
	for _, id := range []string{"w-1", "w-2"} {
		startWorker(e, id, "zone1", usual)
		startWorker(e, id+"b", "zone2", usual)
	}
	one := e.addInstance("edge-zone1-1", "zone1", false)
	e.addInstance("edge-zone1-2", "zone1", false)
	two := e.addInstance("edge-zone2-1", "zone2", false)
	e.awaitReady("zone1", "zone2")
	if e.homeOf("zone2") != two {
		e.fail("the home of zone 2 is elsewhere")
	}

	fill := func(in *instance, cpu int) {
		for range 2 {
			go e.submit(in, jobSpec{id: newID(), prefix: other.prefix, tasks: 1, cpu: cpu, estimate: 1400 * time.Millisecond, work: 1400 * time.Millisecond, timeout: 5 * time.Second})
		}
	}
	fill(one, 37_000) // one on each worker, by their size
	fill(two, cpu)
	time.Sleep(600 * time.Millisecond)
	if e.trouble {
		two.kill()
		e.rec.note("trouble: instance %s, the home of zone 2, is killed", two.name)
	}
	time.Sleep(150 * time.Millisecond)
	j := jobSpec{id: newID(), prefix: q.prefix, tasks: 4, cpu: cpu, estimate: 900 * time.Millisecond, work: 900 * time.Millisecond, maxPerServer: 1, timeout: 4 * time.Second}
	r := e.submit(one, j)

	worst, where, started := 0, "", 0
	for _, w := range e.workers {
		w.mu.Lock()
		for _, a := range w.history {
			if a.task[:len(j.id)] != j.id {
				continue
			}
			started++
			n := 0
			for _, b := range w.history {
				if b.task[:len(j.id)] == j.id && !b.began.After(a.began) && (b.ended == "" || b.endedAt.After(a.began)) {
					n++
				}
			}
			if n > worst {
				worst, where = n, w.id
			}
		}
		w.mu.Unlock()
	}
	if started == 0 {
		e.fail("no task of the job was started: %v", r)
	}
	if worst > j.maxPerServer {
		e.finish(broken, "ROUTE broken: a start brought %d tasks of one step to worker %s, its max-per-server is %d; the job was answered %v", worst, where, j.maxPerServer, r)
	}
	e.finish(held, "held: at most %d of the tasks were on one worker; the job was answered %v", worst, r)
}
