package main

import (
	"sync"
	"time"
)

// reborn shows a worker whose capacity is exceeded.
//
// A worker of the larger kind crashes and starts again 400 ms later under the same id at the same
// address, as a boot of the smaller kind. It writes its report before it takes an order.
func reborn(e *env) {
	q := route{"main", "/main1/"}
	e.configure(1, q)
	const cpu = 27_000
	large, usual := kind{96_000, 196_608, "b", "r1-1"}, kind{64_000, 131_072, "a", "r1-1"}
	w := startWorker(e, "w-b", "zone1", large)
	for _, id := range []string{"w-1", "w-2", "w-3", "w-4", "w-5", "w-6", "w-7"} {
		startWorker(e, id, "zone1", usual)
	}
	one := e.addInstance("edge-zone1-1", "zone1", false)
	two := e.addInstance("edge-zone1-2", "zone1", false)
	e.awaitReady("zone1")

	// Jobs of one task, 40 a second: somewhat more than the 17 tasks that fit on the workers at once.
	var clients sync.WaitGroup
	clients.Add(1)
	go func() {
		defer clients.Done()
		for i := range 160 {
			clients.Add(1)
			go func() {
				defer clients.Done()
				in := []*instance{one, two}[i%2]
				e.submit(in, jobSpec{id: newID(), prefix: q.prefix, tasks: 1, cpu: cpu, estimate: 500 * time.Millisecond, work: 500 * time.Millisecond, timeout: 1500 * time.Millisecond})
			}()
			time.Sleep(25 * time.Millisecond)
		}
	}()
	time.Sleep(1500 * time.Millisecond)
	if e.trouble {
		w.crash()
		time.Sleep(400 * time.Millisecond)
		if err := w.restart(usual); err != nil {
			e.fail("restart of the worker: %v", err)
		}
	}
	clients.Wait()

	over, afterList := 0, 0
	var first startNote
	started := 0
	for _, worker := range e.workers {
		worker.mu.Lock()
		for _, s := range worker.starts {
			started++
			if s.inUse <= s.limit {
				continue
			}
			if over == 0 {
				first = s
			}
			over++
			if s.sinceBornRead > 0 {
				afterList++
			}
		}
		worker.mu.Unlock()
	}
	if started < 50 {
		e.fail("only %d tasks were started", started)
	}
	if over > 0 {
		e.finish(broken, "LIMIT broken: %d of %d starts brought a worker over its capacity, %d of them after its new boot had sent a list of runs with its born; the first, of %s, to %d of %d",
			over, started, afterList, first.task, first.inUse, first.limit)
	}
	e.finish(held, "held: none of %d starts brought a worker over its capacity", started)
}
